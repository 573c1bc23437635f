#include "src/adapters/event_loop.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace dewcrank;

namespace {

/// For how long the machine was suspended, as the clocks of the test say. Nothing else moves them: two clocks that go
/// on are never read at the same time. Timers take their real time all the same.
Duration suspended{};
constexpr TimePoint kStart(100s);

const adapters::LoopClocks kClocks{[] { return kStart + suspended; }, [] { return kStart; }};

}  // namespace

BOOST_AUTO_TEST_SUITE(contract_event_loop)

/// The machine is suspended for an hour while timers wait: those that are due then fire at once, in a loop that
/// does nothing else than ask for the time now and then; the others keep what is left of their time.
BOOST_AUTO_TEST_CASE(time_and_timers_go_on_while_the_machine_is_suspended) {
    suspended = {};
    adapters::EventLoop loop(kClocks);
    std::vector<int> fired;
    Duration reported{};
    loop.signalResumed().connect([&](Duration lasted) { reported += lasted; });
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

/// Without a suspension nothing is told, and a timer that is started in another's callback fires once.
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
