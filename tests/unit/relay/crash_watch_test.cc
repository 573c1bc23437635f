#include "src/relay/crash_watch.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

/// Ends each probe as it is told, after a millisecond.
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

struct WatchFixture {
    WatchFixture() {
        watch.signalJudged().connect([this](bool has_ended) { judged.push_back(has_ended); });
    }
    /// @return the verdict on a burst.
    bool judgeBurst(std::size_t running, int broken) {
        for (int count = 0; count < broken; ++count) {
            watch.onBroken(running);
        }
        time.advance(1s);
        BOOST_REQUIRE(judged.size() == 1U);
        const bool verdict = judged[0];
        judged.clear();
        return verdict;
    }

    tests::VirtualTime time;
    ScriptedInstance instance{time.clock};
    relay::CrashWatch watch{time.clock, instance, "i:1", {}};
    std::vector<bool> judged;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_relay_crash_watch, WatchFixture)

/// What breaks connections, and whether the instance has ended.
BOOST_AUTO_TEST_CASE(an_end_is_told_from_what_looks_like_it) {
    const struct {
        const char* name;
        std::size_t running;
        int broken;
        AttemptResult probe;
        bool has_ended;
        int probes;
    } cases[] = {
        {"it has ended", 20, 20, {AttemptOutcome::kNotSent, {}, "connect-failed"}, true, 1},
        {"it has ended with its only run", 1, 1, {AttemptOutcome::kNotSent, {}, "connect-failed"}, true, 1},
        {"what holds its address closes", 3, 3, {AttemptOutcome::kUnknown, {}, "connection-closed"}, true, 3},
        {"one answer is lost", 20, 1, {AttemptOutcome::kNotSent, {}, "connect-failed"}, false, 0},
        {"its only answer is lost", 1, 1, {AttemptOutcome::kResponded, {}, ""}, false, 1},
        {"half of its connections are reset", 20, 10, {AttemptOutcome::kResponded, {}, ""}, false, 1},
        {"it is frozen", 4, 4, {AttemptOutcome::kUnknown, {}, "timeout"}, false, 1},
        {"its connects hang", 4, 4, {AttemptOutcome::kNotSent, {}, "timeout"}, false, 1},
    };
    for (const auto& it : cases) {
        instance.next = it.probe;
        instance.probes = 0;
        BOOST_TEST(judgeBurst(it.running, it.broken) == it.has_ended, it.name);
        BOOST_TEST(instance.probes == it.probes, it.name << ": " << instance.probes << " probes");
    }
}

BOOST_AUTO_TEST_CASE(a_refused_connection_of_a_run_saves_the_probe) {
    watch.onRefused();
    BOOST_TEST(judged.empty());  // Nothing has broken: an instance that was not there has not ended now.
    watch.onBroken(2);
    watch.onBroken(2);
    watch.onRefused();
    BOOST_TEST(judged == std::vector<bool>{true}, boost::test_tools::per_element());
    time.advance(1s);
    BOOST_TEST(judged.size() == 1U);
    BOOST_TEST(instance.probes == 0);
}

BOOST_AUTO_TEST_SUITE_END()
