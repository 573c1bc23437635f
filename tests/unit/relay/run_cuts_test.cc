/// Runs that the relay itself ends at the instance before their deadlines are reported.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/relay/relay_service.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

/// Holds requests until a test fails them.
class HoldingInstance : public HttpTransport {
public:
    AttemptHandle send(const std::string&, HttpRequest, Duration, Callback callback) override {
        callbacks.push_back(std::move(callback));
        return std::make_unique<Attempt>();
    }
    void failAll(std::string_view reason) {
        for (auto& callback : std::exchange(callbacks, {})) {
            AttemptResult result;
            result.outcome = AttemptOutcome::kUnknown;
            result.reason = reason;
            callback(result);
        }
    }
    std::vector<Callback> callbacks;
};

struct RunCutFixture {
    RunCutFixture() {
        time.advance(1s);
        beat("i1", 1);
    }
    void beat(const std::string& id, std::uint64_t start_ms) {
        instance::Heartbeat heartbeat;
        heartbeat.id = id;
        heartbeat.start_ms = start_ms;
        heartbeat.slots = 20;
        heartbeat.sequence = start_ms;
        local.onHeartbeat(heartbeat);
    }
    relay::RelayService::CallId start(bool is_only_candidate = false) {
        relay::RelayRequest request;
        request.request.path = "/a";
        request.request.headers.set(names.request_id, "r1");
        request.instance = "i1";
        request.route = "sign";
        request.deadline = time.clock.now() + 1500ms;
        request.max_wait = 1s;
        request.is_only_candidate = is_only_candidate;
        const auto id = relay.start(std::move(request), [](const relay::RelayResult&) {});
        time.advance(180ms);
        BOOST_REQUIRE(instances.callbacks.size() == 1U);
        return id;
    }
    [[nodiscard]] std::vector<std::string> cutLines() const {
        std::vector<std::string> found;
        for (const auto& line : log.lines) {
            if (line.starts_with("event=run_cut ")) {
                found.push_back(line);
            }
        }
        return found;
    }

    tests::VirtualTime time;
    tests::RecordingLog log;
    HoldingInstance instances;
    instance::LocalInstance local{time.clock, 8s};
    quarantine::Quarantine quarantine{time.clock, {}};
    const HeaderNames names;
    relay::RelayService relay{
        time.clock, log, instances, local, quarantine, names, "i:1", [](const std::string&) { return 1.0; }, knobs()};

private:
    /// A run that does not end in time is not refused before: what is recorded of it is tested here.
    static relay::RelayKnobs knobs() {
        relay::RelayKnobs knobs;
        knobs.disabled.stop_time_check = true;
        return knobs;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_relay_run_cuts, RunCutFixture)

/// Guards against a run that the relay's own timer ends early without a record.
BOOST_AUTO_TEST_CASE(a_run_that_a_timer_ends_before_the_deadline_is_reported) {
    start();
    instances.failAll(kTimedOut);
    const auto lines = cutLines();
    BOOST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines[0].find("request=r1 ") != std::string::npos);
    BOOST_TEST(lines[0].find(" instance=i1") != std::string::npos);
    BOOST_TEST(lines[0].ends_with("route=sign reason=timeout elapsed_ms=180 remaining_ms=1320 stopping=no"), lines[0]);
    BOOST_TEST(relay.runCuts().at("timeout") == 1U);
}

/// Guards against reports of runs that end at their deadlines, which is ordinary.
BOOST_AUTO_TEST_CASE(a_run_that_ends_at_its_deadline_is_not_reported) {
    start();
    time.advance(1320ms);
    instances.failAll(kTimedOut);
    BOOST_TEST(cutLines().empty());
    BOOST_TEST(relay.runCuts().empty());
}

/// Guards against a lost connection that is taken for an act of this node.
BOOST_AUTO_TEST_CASE(a_connection_that_the_instance_closes_is_not_reported) {
    const auto id = start();
    instances.failAll(kConnectionClosed);
    relay.cancel(id);  // While the crash detector still decides.
    BOOST_TEST(cutLines().empty());
}

/// Guards against a run that ends with the connection of its entry without a record at the relay.
BOOST_AUTO_TEST_CASE(a_cancelled_run_is_reported) {
    const auto id = start();
    relay.cancel(id);
    const auto lines = cutLines();
    BOOST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines[0].ends_with("reason=cancelled elapsed_ms=180 remaining_ms=1320 stopping=no"), lines[0]);
}

/// Guards against a run of a replaced instance that ends without a record.
BOOST_AUTO_TEST_CASE(a_run_at_a_replaced_instance_is_reported) {
    start();
    beat("i2", 2);
    BOOST_REQUIRE(cutLines().size() == 1U);
    BOOST_TEST(cutLines()[0].find("reason=next-life") != std::string::npos, cutLines()[0]);
}

/// Guards against a stop whose limit on runs is taken for another early timeout.
BOOST_AUTO_TEST_CASE(a_run_that_the_limit_of_a_stop_ends_is_told_apart) {
    relay.stop(time.clock.now() + 500ms);
    start(true);
    time.advance(320ms);
    instances.failAll(kTimedOut);
    BOOST_REQUIRE(cutLines().size() == 1U);
    BOOST_TEST(cutLines()[0].ends_with("reason=stop-limit elapsed_ms=500 remaining_ms=1000 stopping=yes"),
               cutLines()[0]);
}

/// Guards against a stop that ends at its limit and does not name what it leaves at the relay.
BOOST_AUTO_TEST_CASE(unfinished_calls_are_described_up_to_a_limit) {
    start();
    const auto events = relay.describeUnfinished("request_unfinished", 10);
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST(events[0].line() ==
               "event=request_unfinished request=r1 hop=relay route=sign instance=i1 state=at-work remaining_ms=1320");
    BOOST_TEST(relay.describeUnfinished("request_unfinished", 0).empty());
}

BOOST_AUTO_TEST_SUITE_END()
