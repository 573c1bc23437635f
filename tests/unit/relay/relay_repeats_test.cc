/// What the relays of a service pay for while some of them stop.
///
/// Symptom: a service was sent 212 repeats for 859 requests within ten seconds, where a fifth of them and a slack of 40
/// are allowed: 211. Sequence: nodes were stopped in turn while all instances of the service refused much. Cause: each
/// relay took the slack divided by the relays that take calls at the moment. While two of three were stopping all three
/// divided it by one, and those that were stopping still paid for what failed at their instances. Settled by the lines
/// `event=repeats` of one second: relays=1 and window_allowed=94, 109 and 85 side by side.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "src/base/http_status.h"
#include "src/decision/call_graph.h"
#include "src/relay/relay_repeats.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

constexpr decision::RepeatBound kBound{0.2, 40, 10s};
constexpr std::size_t kRelays = 3;
constexpr Duration kStep = 500ms;  ///< Each relay gets a request in each.
constexpr double kRequestsInWindow = kRelays * (kBound.window / kStep);

/// Three relays of one service, at each of which more fails than may be repeated.
struct Service {
    tests::VirtualTime time;
    decision::CallGraph graph{{}};
    std::vector<std::unique_ptr<relay::RelayRepeats>> relays;
    double repeats = 0;

    Service() {
        for (std::size_t count = 0; count < kRelays; ++count) {
            relays.push_back(std::make_unique<relay::RelayRepeats>(time.clock, graph, kBound));
        }
        setRelayCount(kRelays);
    }
    void setRelayCount(std::size_t count) {
        for (auto& relay : relays) {
            relay->setRelayCount(count);
        }
    }
    void runFor(Duration length) {
        for (Duration passed{}; passed < length; passed += kStep) {
            for (auto& relay : relays) {
                relay->count({});
            }
            time.advance(kStep);
        }
    }
    void spendAll() {
        relay::RelayRequest request;
        request.failure_plan = relay::FailurePlan::kRepeat;
        relay::RelayResult failure;
        failure.outcome = relay::RelayOutcome::kResponded;
        failure.was_offered = true;
        failure.response.status = kHttpInternalServerError;
        for (auto& relay : relays) {
            while (relay->paysRepeat(request, failure)) {
                repeats += 1;
            }
        }
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_relay_repeats)

/// All repeats come within one window, and every relay spends whatever it may at each moment.
BOOST_AUTO_TEST_CASE(the_slack_is_there_once_while_relays_stop) {
    Service service;
    service.runFor(kBound.window * 2);
    for (std::size_t left = kRelays; left > 0; --left) {
        service.setRelayCount(left);
        service.runFor(1s);
        service.spendAll();
    }
    const double allowed = kBound.ratio * kRequestsInWindow + kBound.slack;
    BOOST_TEST(service.repeats <= allowed, service.repeats << " repeats, " << allowed << " allowed");
}

/// What a relay that has gone may have spent counts for a window, and is the others' afterwards.
BOOST_AUTO_TEST_CASE(the_whole_slack_is_the_last_relays_after_a_window) {
    Service service;
    service.runFor(kBound.window);
    service.setRelayCount(1);
    service.relays.resize(1);
    service.runFor(kBound.window * 2);
    service.spendAll();
    BOOST_TEST(service.repeats > 0.6 * kBound.slack);
}

BOOST_AUTO_TEST_SUITE_END()
