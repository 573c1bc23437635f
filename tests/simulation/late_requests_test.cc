/// A stopping node passes on only what can end before it does; the callers of the rest are told that it has not run, so
/// that they go to another node.

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "sim/sidecar_fleet.h"
#include "tests/support/fleets.h"

using namespace dewcrank;

namespace {

constexpr Duration kWork = 4s;
constexpr std::uint32_t kTimeoutMs = 8000;
constexpr Duration kGap = 50ms;
constexpr int kRequestsBefore = 30;  ///< From which the nodes learn how long a request takes.
constexpr std::size_t kRelay = 0;    ///< Machine of the service "slow".
constexpr std::size_t kEntry = 1;    ///< Machine of another service.

/// A service whose requests take most of the time of a stop.
std::vector<sim::FleetService> slowServices(std::size_t relays) {
    auto slow = tests::instanceOptions("slow", kWork, 200);
    slow.slow_share = 1;
    slow.slow_time = kWork;
    return {{slow, relays}, {tests::instanceOptions("desk", 20ms, 20), 2}};
}

/// What became of the requests that were sent while a node stopped.
struct StopResult {
    std::size_t responses = 0;  ///< Of the instance.
    std::size_t promises = 0;   ///< 503 with a time to come back.
    std::size_t lost = 0;       ///< Ran, and have no response of the instance.
    std::size_t broken = 0;     ///< Promises about requests that ran.
};

class LateRequests {
public:
    explicit LateRequests(const DisabledMechanisms& disabled = {}) : fleet_(1, slowServices(1), disabled) {
        fleet_.putTable("slow", "slow", "desk");
        fleet_.runFor(4s);
        auto table = fleet_.node(kEntry)->table().contents();
        for (auto& route : *table.mutable_routes()) {
            route.set_timeout_ms(kTimeoutMs);
        }
        table.set_version(table.version() + 1);
        fleet_.store().putTable(table);
        fleet_.runFor(2s);
        for (int request = 0; request < kRequestsBefore; ++request) {
            send("before-" + std::to_string(request));
        }
        fleet_.runFor(kWork + 1s);
        statuses_.clear();
    }

    /// Stops a node, and sends requests to the entry while clients may still do so.
    StopResult play(std::size_t stopped) {
        fleet_.node(stopped)->stop({[] {}, [] { return true; }, [this, stopped] { end(stopped); }});
        for (Duration at{}; at < knobs_.stop.drain_time; at += kGap) {
            send("late-" + std::to_string(toMilliseconds(at)));
            fleet_.runFor(kGap);
        }
        fleet_.runFor(10s);
        return result();
    }

private:
    void send(const std::string& id) {
        const HeaderNames names;
        HttpRequest request;
        request.method = "POST";
        request.path = "/sign/x";
        request.headers.set("Host", "fleet.example");
        request.headers.set(names.request_id, id);
        request.headers.set(names.deadline_ms, std::to_string(kTimeoutMs));
        statuses_[id];
        fleet_.node(kEntry)->handleCall(std::move(request), [this, id](const HttpResponse& response) {
            statuses_[id] = has_ended_ ? 0 : response.status;
        });
    }

    /// The process ends: no response reaches a client any more.
    void end(std::size_t stopped) {
        has_ended_ = stopped == kEntry;
        if (stopped != kEntry) {
            fleet_.killNode(stopped);
        }
    }

    StopResult result() {
        std::map<std::string, bool> has_run;
        for (const auto& run : fleet_.runs()) {
            has_run[run.request_id] = true;
        }
        StopResult result;
        for (const auto& [id, status] : statuses_) {
            result.responses += status == 200 ? 1 : 0;
            result.promises += status == 503 ? 1 : 0;
            result.lost += status != 200 && status != 503 && has_run[id] ? 1 : 0;
            result.broken += status == 503 && has_run[id] ? 1 : 0;
        }
        return result;
    }

    sim::SidecarFleet fleet_;
    const sidecar::Knobs knobs_;
    std::map<std::string, int> statuses_;  ///< By request id; 0: no response.
    bool has_ended_ = false;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_late_requests)

/// Guards against requests that are taken late in a planned stop, run, and are cut with it.
BOOST_AUTO_TEST_CASE(a_stopping_node_takes_no_request_that_it_cannot_end) {
    for (const auto stopped : {kEntry, kRelay}) {
        const auto result = LateRequests().play(stopped);
        BOOST_TEST(result.lost == 0U, "machine " << stopped);
        BOOST_TEST(result.broken == 0U, "machine " << stopped);
        BOOST_TEST(result.promises > 10U, "machine " << stopped);
        BOOST_TEST(result.responses > 10U, "machine " << stopped);
    }
}

/// Shows that the test fails without the check.
BOOST_AUTO_TEST_CASE(without_the_check_late_requests_are_lost) {
    DisabledMechanisms disabled;
    disabled.stop_time_check = true;
    for (const auto stopped : {kEntry, kRelay}) {
        BOOST_TEST(LateRequests(disabled).play(stopped).lost > 10U, "machine " << stopped);
    }
}

BOOST_AUTO_TEST_SUITE_END()
