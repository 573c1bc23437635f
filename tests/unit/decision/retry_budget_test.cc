#include "src/decision/retry_budget.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

namespace {

constexpr decision::RetryLimit kLimit{0.2, 0, 10s};
constexpr TimePoint kStart(100s);

int retriesAfter(int first_attempts, double retry_probability) {
    decision::RetryBudget budget(kLimit, kStart);
    for (int count = 0; count < first_attempts; ++count) {
        budget.onFirstAttempt(kStart, retry_probability);
    }
    int granted = 0;
    while (budget.tryRetry(kStart, 1, 1)) {
        ++granted;
    }
    return granted;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_decision_retry_budget)

/// Guards against calls of retried requests that do not reduce the retry budget of the callee.
BOOST_AUTO_TEST_CASE(calls_of_retried_requests_count_against_the_budget_of_their_callee) {
    BOOST_TEST(retriesAfter(1000, 0) == 160);
    BOOST_TEST(retriesAfter(1000, 0.05) == 102);  // 0.8 * 0.2 * 950, less 50 inherited retries.
    BOOST_TEST(retriesAfter(1000, 0.15) == 0);
}

/// Guards against retries that multiply along a chain of calls: own and inherited retries share one limit.
BOOST_AUTO_TEST_CASE(each_service_of_a_chain_that_retries_stays_within_its_limit) {
    double retry_probability = 0;
    for (int depth = 0; depth < 23; ++depth) {
        const int first_attempts = 1000;
        const int own = retriesAfter(first_attempts, retry_probability);
        const double retries = own + retry_probability * first_attempts;
        BOOST_TEST(retries <= kLimit.ratio * first_attempts, depth);
        retry_probability = retries / (first_attempts + own);
    }
}

BOOST_AUTO_TEST_CASE(a_window_shorter_than_a_step_counts_as_one_step) {
    for (const Duration window : {Duration::zero(), Duration(1ms), Duration(300ms)}) {
        decision::RetryBudget budget({0.5, 0, window}, kStart);
        for (int count = 0; count < 10; ++count) {
            budget.onFirstAttempt(kStart + 1s, 0);
        }
        BOOST_TEST(budget.tryRetry(kStart + 1s, 1, 1));
        BOOST_TEST(!budget.tryRetry(kStart + 2s, 1, 1));
    }
}

/// Guards against a caller that spends more than its share of the slack, and against loss of the remaining slack.
BOOST_AUTO_TEST_CASE(the_slack_can_be_used_in_part) {
    decision::RetryBudget budget({0.2, 50, 10s}, kStart - 60s);
    for (int count = 0; count < 50; ++count) {
        budget.onFirstAttempt(kStart, 0);
    }
    int granted = 0;
    while (budget.tryRetry(kStart, 1, 0.25)) {
        ++granted;
    }
    BOOST_TEST(granted == 16);  // 0.8 * (0.2 * 50 + 0.25 * 0.8 * 50), rounded down.
    BOOST_TEST(budget.tryRetry(kStart, 1, 1));
}

/// Guards against retries by first attempts of an earlier time, where these are not to count.
BOOST_AUTO_TEST_CASE(earlier_first_attempts_can_be_left_out) {
    const auto retriesWith = [](bool includes_carry_over) {
        decision::RetryBudget budget(kLimit, kStart);
        for (int count = 0; count < 100; ++count) {
            budget.onFirstAttempt(kStart, 0);
        }
        for (int count = 0; count < 100; ++count) {
            budget.onFirstAttempt(kStart + 1s, 0);
        }
        int granted = 0;
        while (budget.tryRetry(kStart + 1s, {1, 1, 1, includes_carry_over})) {
            ++granted;
        }
        return granted;
    };
    BOOST_TEST(retriesWith(true) == 32);
    BOOST_TEST(retriesWith(false) == 16);
}

BOOST_AUTO_TEST_CASE(a_reserved_share_is_left_to_others) {
    decision::RetryBudget budget(kLimit, kStart);
    for (int count = 0; count < 100; ++count) {
        budget.onFirstAttempt(kStart, 0);
    }
    int granted = 0;
    while (budget.tryRetry(kStart, {1, 1, 0.5, true})) {
        ++granted;
    }
    BOOST_TEST(granted == 8);
    BOOST_TEST(budget.tryRetry(kStart, {1, 1, 1, true}));
}

/// Guards against a capacity that counts the slack of a whole window as available in each second.
BOOST_AUTO_TEST_CASE(the_capacity_spreads_the_slack_over_the_window) {
    const decision::RetryBudget budget({0.2, 100, 10s}, kStart);
    BOOST_TEST(budget.capacityPerSecond(50, 1) == 0.8 * (10 + 10));
    BOOST_TEST(budget.capacityPerSecond(50, 5) == 0.8 * (10 + 2));
}

BOOST_AUTO_TEST_SUITE_END()
