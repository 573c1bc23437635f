#include "src/decision/repeat_budget.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

namespace {

constexpr decision::RepeatBound kBound{0.2, 0, 10s};
constexpr TimePoint kStart(100s);

int repeatsAfter(int firsts, double repeat_share) {
    decision::RepeatBudget budget(kBound, kStart);
    for (int count = 0; count < firsts; ++count) {
        budget.onFirst(kStart, repeat_share);
    }
    int taken = 0;
    while (budget.tryRepeat(kStart, 1, 1)) {
        ++taken;
    }
    return taken;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_decision_repeat_budget)

/// Calls of repeated runs are repeats here: they use the budget up, and are never refused for it.
BOOST_AUTO_TEST_CASE(what_repeated_runs_call_counts_against_the_budget_below) {
    BOOST_TEST(repeatsAfter(1000, 0) == 160);
    BOOST_TEST(repeatsAfter(1000, 0.05) == 102);  // 0.8 of 0.2 * 950, less 50.
    BOOST_TEST(repeatsAfter(1000, 0.15) == 0);
}

/// At each level of a tree repeats and inherited ones together stay within the bound, however deep.
BOOST_AUTO_TEST_CASE(a_chain_of_services_that_all_repeat_stays_within_the_bound_at_each) {
    double repeat_share = 0;
    for (int depth = 0; depth < 23; ++depth) {
        const int firsts = 1000;
        const int own = repeatsAfter(firsts, repeat_share);
        const double repeats = own + repeat_share * firsts;
        BOOST_TEST(repeats <= kBound.ratio * firsts, depth);
        repeat_share = repeats / (firsts + own);
    }
}

/// A window shorter than a step, or none at all, is one step.
BOOST_AUTO_TEST_CASE(a_window_may_be_as_short_as_one_likes) {
    for (const Duration window : {Duration::zero(), Duration(1ms), Duration(300ms)}) {
        decision::RepeatBudget budget({0.5, 0, window}, kStart);
        for (int count = 0; count < 10; ++count) {
            budget.onFirst(kStart + 1s, 0);
        }
        BOOST_TEST(budget.tryRepeat(kStart + 1s, 1, 1));
        BOOST_TEST(!budget.tryRepeat(kStart + 2s, 1, 1));
    }
}

/// A run that makes calls is let in by a part of the slack, also where others have left the rest.
BOOST_AUTO_TEST_CASE(the_slack_can_be_used_in_part) {
    decision::RepeatBudget budget({0.2, 50, 10s}, kStart - 60s);
    for (int count = 0; count < 50; ++count) {
        budget.onFirst(kStart, 0);
    }
    int taken = 0;
    while (budget.tryRepeat(kStart, 1, 0.25)) {
        ++taken;
    }
    BOOST_TEST(taken == 16);  // 0.8 of 0.2 * 50, and of a quarter of 0.8 * 50.
    BOOST_TEST(budget.tryRepeat(kStart, 1, 1));
}

BOOST_AUTO_TEST_SUITE_END()
