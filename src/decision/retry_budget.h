/// @file
/// Retry budget: limits the retries that are sent to the instances of a service, as a share of the first attempts.
#pragma once

#include <cstdint>
#include <deque>

#include "src/base/time.h"

namespace dewcrank::decision {

/// Limit of one service, over any window: retries <= ratio * first attempts + slack.
struct RetryLimit {
    double ratio = 0;  ///< Retries per first attempt.
    double slack = 0;  ///< Retries per window that need no first attempts.
    Duration window{};
};

/// Counts of one relay's budget since its start.
struct RetryTotals {
    double requests = 0;        ///< First attempts.
    double inherited = 0;       ///< Expected retries among the calls of retried requests.
    std::uint64_t granted = 0;  ///< Retries that were admitted.
    std::uint64_t denied = 0;   ///< Retries that were not.
};

/// Counts over the last window.
struct RetryWindow {
    double requests = 0;  ///< First attempts.
    double retries = 0;   ///< Retries, inherited and granted.
    double allowed = 0;   ///< Retries within the relay's part of the limit, without the safety margin.
};

/// What one retry may use of a relay's budget.
struct RetryShare {
    std::size_t relays = 1;           ///< Number of relays that share the slack.
    double slack_share = 1;           ///< Usable share, from 0 to 1, of this relay's part of the slack.
    double budget_share = 1;          ///< Usable share, from 0 to 1, of the whole budget; the rest is reserved.
    bool includes_carry_over = true;  ///< First attempts before a span allow retries in it.
};

/// One relay's part of a service's retry budget, kept without messages between relays.
///
/// Invariant: in every span of time up to a window, the relay's retries stay within the ratio of its first attempts
/// in that span and a short time before it, plus its part of the slack. The retries of all relays together then stay
/// within the service's limit in any window, however often relays restart or load moves between them. A limit per
/// relay over its own last window does not ensure this: windows of different relays end at different times, and
/// together they admit retries by the requests of two windows.
///
/// A relay does not know what it has spent before a restart. It starts without slack and accrues it over time.
class RetryBudget {
public:
    /// @param started   when the relay started.
    RetryBudget(RetryLimit limit, TimePoint started);
    /// Counts a first attempt. @param retry_probability probability, from 0 to 1, that a retried request makes this
    /// call. The attempt counts as a retry to that part.
    void onFirstAttempt(TimePoint now, double retry_probability);
    /// Takes one retry from the budget.
    /// @param relays        number of relays that share the slack.
    /// @param slack_share   usable share, from 0 to 1, of this relay's part of the slack.
    /// @return true if the retry is granted, false if the budget is exhausted.
    bool tryRetry(TimePoint now, std::size_t relays, double slack_share) {
        return tryRetry(now, {relays, slack_share});
    }
    /// Takes one retry from a part of the budget.
    bool tryRetry(TimePoint now, const RetryShare& share);
    /// @return retries per second that the budget allows for a lasting rate of first attempts: their ratio, and the
    /// slack spread over its window.
    [[nodiscard]] double capacityPerSecond(double first_attempts_per_second, std::size_t relays) const;
    /// @return the counts since the start.
    [[nodiscard]] const RetryTotals& totals() const { return totals_; }
    /// @return the counts of the window that ends now. @param relays as for `tryRetry`.
    [[nodiscard]] RetryWindow window(TimePoint now, std::size_t relays);

private:
    /// Counts of one short interval of the clock.
    struct Step {
        std::int64_t number = 0;
        double first_attempts = 0;
        double retries = 0;
    };
    Step& currentStep(TimePoint now);
    [[nodiscard]] bool hasCapacity(const RetryShare& share) const;
    [[nodiscard]] double slackSince(const Step& begin, std::size_t relays) const;
    [[nodiscard]] double slackPerRelay(std::size_t relays) const;

    RetryLimit limit_;
    std::int64_t window_steps_;  ///< Steps per window; at least one.
    std::int64_t start_step_;    ///< Number of the step in which the relay started.
    std::deque<Step> steps_;  ///< Steps of the last window, in order of time; steps without a request may be left out.
    RetryTotals totals_;
};

}  // namespace dewcrank::decision
