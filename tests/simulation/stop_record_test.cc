/// The log of a node that stops names each request whose answer is lost, and the hop.

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/adapters/sidecar_metrics.h"
#include "tests/support/fleets.h"

using namespace dewcrank;

namespace {

/// Has the fleet that is built after it write its log to a file, which is removed at the end.
class TraceFile {
public:
    TraceFile() { setenv(sim::kTraceVariable, path_.c_str(), 1); }
    ~TraceFile() {
        unsetenv(sim::kTraceVariable);
        std::filesystem::remove(path_);
    }
    TraceFile(const TraceFile&) = delete;
    TraceFile& operator=(const TraceFile&) = delete;
    /// @return the lines that contain `text`, each with its line break.
    [[nodiscard]] std::string linesWith(const std::string& text) const {
        std::ifstream file(path_);
        std::string line;
        std::string found;
        while (std::getline(file, line)) {
            found += line.find(text) == std::string::npos ? "" : line + "\n";
        }
        return found;
    }

private:
    std::filesystem::path path_ =
        std::filesystem::temp_directory_path() / ("dewcrank-stop-record-" + std::to_string(getpid()) + ".log");
};

struct StopRecordFixture {
    StopRecordFixture() {
        fleet->putTable("slow", "slow", "slow");
        fleet->runFor(4s);
    }
    /// Ends the fleet, so that its log is complete. @return the lines of the log that contain `text`.
    std::string linesWith(const std::string& text) {
        fleet.reset();
        return trace.linesWith(text);
    }

    TraceFile trace;
    std::unique_ptr<sim::SidecarFleet> fleet = std::make_unique<sim::SidecarFleet>(
        1,
        std::vector<sim::FleetService>{{tests::instanceOptions("front", 40ms, 20), 1},
                                       {tests::instanceOptions("slow", 3s, 20), 2}},
        withLateRequests());
    const sidecar::Knobs knobs;

private:
    /// A request that does not end in time is not refused before: what is recorded of it is tested here.
    static DisabledMechanisms withLateRequests() {
        DisabledMechanisms disabled;
        disabled.stop_time_check = true;
        return disabled;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(simulation_stop_record, StopRecordFixture)

/// Guards against a stop that ends at its limit and names only the number of requests that it leaves.
BOOST_AUTO_TEST_CASE(a_stop_that_ends_at_its_limit_names_the_requests_it_leaves) {
    bool has_ended = false;
    fleet->node(0)->stop({[] {}, [] { return false; }, [&] { has_ended = true; }});
    fleet->runFor(knobs.stop.max_time - 500ms);
    fleet->send(0, "/sign/x", false);
    const auto id = fleet->requests().back()->id;
    fleet->runFor(600ms);
    BOOST_REQUIRE(has_ended);
    BOOST_TEST(linesWith("event=node_idle in_flight=1 delivered=no").find("m0") != std::string::npos);
    const auto lines = linesWith("event=request_unfinished request=" + id);
    BOOST_TEST(lines.find("hop=entry route=/sign/ relay=m") != std::string::npos, lines);
    BOOST_TEST(lines.find("state=at-work remaining_ms=1") != std::string::npos, lines);
}

/// Guards against a request whose answer was lost between entry and relay, and whose record at the entry names neither
/// the relay nor whether the entry was stopping.
BOOST_AUTO_TEST_CASE(a_request_that_is_lost_at_its_relay_names_the_relay_and_the_stop) {
    fleet->node(0)->stop({[] {}, [] { return false; }, [] {}});
    fleet->send(0, "/sign/x", false);
    const auto id = fleet->requests().back()->id;
    fleet->runFor(300ms);
    fleet->killNode(1);
    fleet->killNode(2);
    fleet->runFor(2s);
    const auto failed = linesWith("event=relay_failed request=" + id);
    BOOST_TEST(failed.find("peer=m") != std::string::npos, failed);
    BOOST_TEST(failed.find("sent=yes") != std::string::npos, failed);
    BOOST_TEST(failed.find("offered=0 remaining_ms=") != std::string::npos, failed);
    BOOST_TEST(failed.find("stopping=yes") != std::string::npos, failed);
    const auto given_up = linesWith("event=request_given_up request=" + id);
    BOOST_TEST(given_up.find("reason=no-whole-answer status=502") != std::string::npos, given_up);
    BOOST_TEST(given_up.find("relay=m") != std::string::npos, given_up);
    BOOST_TEST(given_up.find("stopping=yes") != std::string::npos, given_up);
}

/// Guards against cut responses and runs that only the log shows, where lines can be left out.
BOOST_AUTO_TEST_CASE(cut_responses_and_runs_are_counted_in_the_metrics) {
    fleet->send(0, "/sign/x", false, 200ms);
    fleet->runFor(1s);
    adapters::AdapterStats stats;
    stats.response_cuts[{"callers", "reset"}] = 3;
    std::string text;
    for (const std::size_t machine : {1, 2}) {
        adapters::SidecarMetrics metrics;
        text += metrics.text(*fleet->node(machine), stats);
    }
    BOOST_TEST(text.find("dewcrank_response_cuts{reason=\"reset\",server=\"callers\"} 3") != std::string::npos);
    BOOST_TEST(text.find("dewcrank_run_cuts{reason=\"cancelled\"} 1") != std::string::npos, text);
}

BOOST_AUTO_TEST_SUITE_END()
