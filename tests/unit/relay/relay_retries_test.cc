/// Guards against a service that exceeds its retry limit while some of its relays stop: each relay takes a part of the
/// slack that depends on the number of relays, and stopping relays still spend their parts.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "src/base/http_status.h"
#include "src/decision/call_graph.h"
#include "src/relay/relay_retries.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

constexpr decision::RetryLimit kBound{0.2, 40, 10s};
constexpr std::size_t kRelays = 3;
constexpr Duration kStep = 500ms;  ///< Each relay receives one request per step.
constexpr double kRequestsInWindow = kRelays * (kBound.window / kStep);

/// Relays of one service. Each relay has more failed requests than its retry budget covers.
struct Service {
    tests::VirtualTime time;
    decision::CallGraph graph{{}};
    std::vector<std::unique_ptr<relay::RelayRetries>> relays;
    double retries = 0;

    Service() {
        for (std::size_t count = 0; count < kRelays; ++count) {
            relays.push_back(std::make_unique<relay::RelayRetries>(time.clock, graph, kBound));
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
        request.retry_policy = relay::RetryPolicy::kAlways;
        relay::RelayResult failure;
        failure.outcome = relay::RelayOutcome::kResponded;
        failure.was_sent = true;
        failure.response.status = kHttpInternalServerError;
        for (auto& relay : relays) {
            while (relay->payForRetry(request, failure)) {
                retries += 1;
            }
        }
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_relay_retries)

/// Guards against slack that is spent twice while the number of relays decreases within one window and all relays
/// spend their whole budgets.
BOOST_AUTO_TEST_CASE(the_slack_is_spent_only_once_while_relays_stop) {
    Service service;
    service.runFor(kBound.window * 2);
    for (std::size_t left = kRelays; left > 0; --left) {
        service.setRelayCount(left);
        service.runFor(1s);
        service.spendAll();
    }
    const double allowed = kBound.ratio * kRequestsInWindow + kBound.slack;
    BOOST_TEST(service.retries <= allowed, service.retries << " retries, " << allowed << " allowed");
}

/// Guards against the loss of the slack of stopped relays: after one window the remaining relays may use this slack.
BOOST_AUTO_TEST_CASE(the_last_relay_has_the_whole_slack_after_a_window) {
    Service service;
    service.runFor(kBound.window);
    service.setRelayCount(1);
    service.relays.resize(1);
    service.runFor(kBound.window * 2);
    service.spendAll();
    BOOST_TEST(service.retries > 0.6 * kBound.slack);
}

BOOST_AUTO_TEST_SUITE_END()
