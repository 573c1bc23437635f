#include "src/adapters/event_loop.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace dewcrank;

namespace {

/// Simulated duration of the suspension. Both clocks stand still otherwise; libevent timers run in real time.
Duration suspended{};
constexpr TimePoint kBootTime(100s);

const adapters::LoopClocks kClocks{[] { return kBootTime + suspended; }, [] { return kBootTime; }};

}  // namespace

BOOST_AUTO_TEST_SUITE(contract_event_loop)

/// Guards against timers that ignore a suspension: after the resume, overdue timers fire at once and the others keep
/// their remaining time.
BOOST_AUTO_TEST_CASE(time_and_timers_include_a_suspension) {
    suspended = {};
    adapters::EventLoop loop(kClocks);
    std::vector<int> fired;
    Duration reported{};
    loop.signalResumed().connect([&](Duration duration) { reported += duration; });
    const auto before = loop.now();
    const auto due = loop.startTimer(std::chrono::minutes(30), [&] { fired.push_back(1); });
    const auto later = loop.startTimer(std::chrono::hours(1) + 50ms, [&] {
        fired.push_back(2);
        loop.stop();
    });
    const auto never = loop.startTimer(std::chrono::hours(3), [&] { fired.push_back(3); });
    auto replaced = loop.startTimer(std::chrono::minutes(40), [&] { fired.push_back(4); });
    replaced.reset();
    const auto activity = loop.startTimer(5ms, [&] { loop.now(); });
    suspended = std::chrono::hours(1);
    loop.run();
    BOOST_TEST(fired == (std::vector<int>{1, 2}), boost::test_tools::per_element());
    BOOST_TEST((loop.now() - before == std::chrono::hours(1)));
    BOOST_TEST((reported == std::chrono::hours(1)));
}

/// Guards against a false resume signal, and against a timer started in a callback that fires twice or never.
BOOST_AUTO_TEST_CASE(timers_fire_in_order_without_a_suspension) {
    suspended = std::chrono::hours(2);
    adapters::EventLoop loop(kClocks);
    std::vector<int> fired;
    loop.signalResumed().connect([&](Duration) { fired.push_back(0); });
    TimerHandle second;
    const auto first = loop.startTimer(1ms, [&] {
        fired.push_back(1);
        second = loop.startTimer(1ms, [&] {
            fired.push_back(2);
            loop.stop();
        });
    });
    loop.run();
    BOOST_TEST(fired == (std::vector<int>{1, 2}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
