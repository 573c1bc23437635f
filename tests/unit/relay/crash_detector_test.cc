#include "src/relay/crash_detector.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

/// Ends each probe with the result `next`: timeouts after the timeout of the probe, other results after a millisecond.
class ScriptedInstance : public HttpTransport {
public:
    explicit ScriptedInstance(Clock& clock) : clock_(clock) {}
    AttemptHandle send(const std::string&, HttpRequest, Duration timeout, Callback callback) override {
        ++probes;
        auto attempt = std::make_unique<Running>();
        attempt->timer = clock_.startTimer(next.reason == kTimedOut ? timeout : 1ms,
                                           [result = next, callback = std::move(callback)] { callback(result); });
        return attempt;
    }
    AttemptResult next;
    int probes = 0;

private:
    struct Running : Attempt {
        TimerHandle timer;
    };
    Clock& clock_;
};

struct DetectorFixture {
    DetectorFixture() {
        detector.signalDecided().connect([this](bool has_crashed) { decisions.push_back(has_crashed); });
    }
    /// Reports a burst of lost connections. @return the decision on it.
    bool decideBurst(std::size_t running, int lost) {
        for (int count = 0; count < lost; ++count) {
            detector.onConnectionLost(running);
        }
        time.advance(1s);
        BOOST_REQUIRE(decisions.size() == 1U);
        const bool decision = decisions[0];
        decisions.clear();
        return decision;
    }

    tests::VirtualTime time;
    ScriptedInstance instance{time.clock};
    relay::CrashDetector detector{time.clock, instance, "i:1", {}};
    std::vector<bool> decisions;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_relay_crash_detector, DetectorFixture)

/// Guards against missed crashes, and against lost connections that are taken for a crash.
BOOST_AUTO_TEST_CASE(a_crash_is_distinguished_from_other_causes_of_lost_connections) {
    const struct {
        const char* name;
        std::size_t running;
        int lost;
        AttemptResult probe;
        bool has_crashed;
        int probes;
    } cases[] = {
        {"crashed", 20, 20, {AttemptOutcome::kNotSent, {}, "connect-failed"}, true, 1},
        {"crashed with its only run", 1, 1, {AttemptOutcome::kNotSent, {}, "connect-failed"}, true, 1},
        {"crashed behind a proxy that closes connections",
         3,
         3,
         {AttemptOutcome::kUnknown, {}, "connection-closed"},
         true,
         3},
        {"one response is lost", 20, 1, {AttemptOutcome::kNotSent, {}, "connect-failed"}, false, 0},
        {"its only response is lost", 1, 1, {AttemptOutcome::kResponded, {}, ""}, false, 1},
        {"half of its connections are reset", 20, 10, {AttemptOutcome::kResponded, {}, ""}, false, 1},
        {"frozen", 4, 4, {AttemptOutcome::kUnknown, {}, "timeout"}, false, 1},
        {"connection attempts time out", 4, 4, {AttemptOutcome::kNotSent, {}, "timeout"}, false, 1},
    };
    for (const auto& it : cases) {
        instance.next = it.probe;
        instance.probes = 0;
        BOOST_TEST(decideBurst(it.running, it.lost) == it.has_crashed, it.name);
        BOOST_TEST(instance.probes == it.probes, it.name << ": " << instance.probes << " probes");
    }
}

BOOST_AUTO_TEST_CASE(a_refused_connection_of_a_run_saves_the_probe) {
    detector.onConnectionRefused();
    BOOST_TEST(decisions.empty());  // No connection was lost: the instance was down before.
    detector.onConnectionLost(2);
    detector.onConnectionLost(2);
    detector.onConnectionRefused();
    BOOST_TEST(decisions == std::vector<bool>{true}, boost::test_tools::per_element());
    time.advance(1s);
    BOOST_TEST(decisions.size() == 1U);
    BOOST_TEST(instance.probes == 0);
}

BOOST_AUTO_TEST_SUITE_END()
