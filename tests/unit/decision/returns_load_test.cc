/// The load pattern of callers that return under overload, replayed without a network, with the part off and on.

#include <boost/test/unit_test.hpp>

#include "tests/unit/decision/return_load.h"

using namespace dewcrank;

namespace {

/// One seed varies by 1 % in the number of callers served, as much as the part gains in long bursts.
constexpr std::uint64_t kSeeds = 10;

void add(const tests::ReturnCount& count, tests::ReturnCount* sum) {
    sum->sent += count.sent;
    sum->served += count.served;
}

/// Sums the outcomes of several seeds.
tests::ReturnOutcome play(tests::ReturnLoad load) {
    tests::ReturnOutcome sum;
    for (load.seed = 1; load.seed <= kSeeds; ++load.seed) {
        const auto outcome = tests::ReturnLoadPlay(load).run();
        add(outcome.callers, &sum.callers);
        add(outcome.first_attempts, &sum.first_attempts);
        add(outcome.told, &sum.told);
        add(outcome.at_once, &sum.at_once);
        sum.refused_twice += outcome.refused_twice;
        sum.told_served_after_burst += outcome.told_served_after_burst;
        sum.totals.reserved += outcome.totals.reserved;
        sum.totals.kept += outcome.totals.kept;
    }
    return sum;
}

tests::ReturnOutcome playOff(tests::ReturnLoad load) {
    load.is_on = false;
    return play(std::move(load));
}

/// An objective of 1,500 ms with a deadline as long, and one of 200 ms with a deadline of three times that.
constexpr Duration kDeadlines[] = {1500ms, 600ms};

struct LoadFixture {
    /// Runs a check on each load: short and long burst, both objectives, one node and sixty.
    template <typename Check>
    void forEachLoad(Check check) {
        for (const Duration burst : {3s, 8s}) {
            for (const auto deadline : kDeadlines) {
                for (const std::size_t nodes : {1, 60}) {
                    tests::ReturnLoad load;
                    load.name = std::to_string(toMilliseconds(burst)) + " ms, deadline " +
                                std::to_string(toMilliseconds(deadline)) + " ms, nodes " + std::to_string(nodes) + ": ";
                    load.burst = burst;
                    load.timeout = deadline;
                    load.nodes = nodes;
                    check(load);
                }
            }
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_decision_returns_load, LoadFixture)

BOOST_AUTO_TEST_CASE(callers_that_wait_as_told_are_served_more_often_and_the_total_does_not_fall) {
    forEachLoad([](const tests::ReturnLoad& load) {
        const auto off = playOff(load);
        const auto on = play(load);
        BOOST_TEST(on.told.share() > off.told.share() + 0.15, load.name << off.told.share() << " " << on.told.share());
        BOOST_TEST(on.refused_twice < off.refused_twice, load.name << off.refused_twice << " " << on.refused_twice);
        BOOST_TEST(on.callers.served >= off.callers.served,
                   load.name << off.callers.served << " " << on.callers.served << " of " << on.callers.sent);
        BOOST_TEST(on.told_served_after_burst > off.told_served_after_burst + 50,
                   load.name << off.told_served_after_burst << " " << on.told_served_after_burst);
    });
}

BOOST_AUTO_TEST_CASE(callers_that_return_at_once_are_not_served_more_often_than_first_attempts) {
    forEachLoad([](const tests::ReturnLoad& load) {
        const auto on = play(load);
        BOOST_TEST(on.at_once.share() < 0.5 * on.first_attempts.share(), load.name << on.at_once.share());
        BOOST_TEST(on.at_once.share() < 0.5 * on.told.share(), load.name << on.at_once.share());
    });
}

/// A caller does not gain by returning at once: over all of its attempts, it is served no more often than a caller that
/// waits as told.
BOOST_AUTO_TEST_CASE(waiting_as_told_pays) {
    forEachLoad([](tests::ReturnLoad load) {
        load.at_once_share = 0;
        const auto patient = play(load);
        load.at_once_share = 1;
        const auto hasty = play(load);
        BOOST_TEST(patient.callers.share() > hasty.callers.share(),
                   load.name << patient.callers.share() << " " << hasty.callers.share());
    });
}

/// Failure: all nodes restart in the burst. Reservations are lost; callers are served as often as with the part off at
/// least, and new reservations are kept.
BOOST_AUTO_TEST_CASE(a_restart_of_the_nodes_costs_only_the_open_reservations) {
    forEachLoad([](tests::ReturnLoad load) {
        load.nodes_restart_at = TimePoint(103s);
        const auto off = playOff(load);
        const auto on = play(load);
        BOOST_TEST(on.callers.served >= off.callers.served,
                   load.name << off.callers.served << " " << on.callers.served);
        BOOST_TEST(on.told.share() > off.told.share() + 0.1, load.name << on.told.share());
    });
}

/// Failure: another service becomes the bottleneck in the burst. Callers that were told a time for the first one rank
/// as with the part off; the new one gives out reservations of its own.
BOOST_AUTO_TEST_CASE(a_change_of_the_bottleneck_costs_only_the_open_reservations) {
    forEachLoad([](tests::ReturnLoad load) {
        load.bottleneck_changes_at = TimePoint(103s);
        const auto off = playOff(load);
        const auto on = play(load);
        BOOST_TEST(on.callers.served >= off.callers.served,
                   load.name << off.callers.served << " " << on.callers.served);
        BOOST_TEST(on.told.share() > off.told.share() + 0.1, load.name << on.told.share());
    });
}

/// Failure: a third of the route's callers use a shorter timeout, so that their first attempts look like retries. They
/// rank last as with the part off, and take few of the reservations of the others.
BOOST_AUTO_TEST_CASE(first_attempts_with_a_shorter_timeout_do_not_take_the_place_of_returns) {
    forEachLoad([](tests::ReturnLoad load) {
        load.short_timeout_share = 1.0 / 3;
        const auto off = playOff(load);
        const auto on = play(load);
        BOOST_TEST(on.callers.served >= 0.99 * off.callers.served,
                   load.name << off.callers.served << " " << on.callers.served);
        BOOST_TEST(on.told.share() > off.told.share() + 0.04, load.name << off.told.share() << " " << on.told.share());
    });
}

/// Failure: the callers' clocks run fast by a fiftieth, far more than real ones do, so that they return early.
BOOST_AUTO_TEST_CASE(callers_with_a_fast_clock_keep_their_reservations) {
    forEachLoad([](tests::ReturnLoad load) {
        load.timer_speed = 1.02;
        const auto off = playOff(load);
        const auto on = play(load);
        BOOST_TEST(on.told.share() > off.told.share() + 0.15, load.name << on.told.share());
        BOOST_TEST(on.refused_twice < off.refused_twice, load.name << off.refused_twice << " " << on.refused_twice);
    });
}

/// Failure: the callers' timers are fast by half. They return before their reservations and rank as with the part off;
/// the others must not lose by it. Earlier returns meet more of the burst, which costs some of the total.
BOOST_AUTO_TEST_CASE(callers_that_return_much_too_early_cost_little_of_the_total) {
    forEachLoad([](tests::ReturnLoad load) {
        load.timer_speed = 1.5;
        const auto off = playOff(load);
        const auto on = play(load);
        BOOST_TEST(on.callers.served > 0.95 * off.callers.served,
                   load.name << off.callers.served << " " << on.callers.served);
    });
}

BOOST_AUTO_TEST_SUITE_END()
