#include "src/decision/retry_budget.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {

/// Counts are kept per step of the clock: fine enough that the edge of a window of 10 s matters for 0.025 of it.
constexpr Duration kStep = 250ms;
/// First attempts allow retries for this many steps after their own: enough for entries to stop using an instance
/// that has failed. A longer time requires a smaller `kUsableShare`.
constexpr std::int64_t kCarryOverSteps = 4;
/// Share of the limit that is used. If all relays stop within a window of 10 s, the second that is carried over brings
/// the retries to 0.88 of the limit. The rest covers calls of retried requests, of which only the mean is known, and
/// the granularity of steps.
constexpr double kUsableShare = 0.8;
/// Share of the slack that is available at once. The rest accrues over a window and is all that a new relay has in its
/// first one, so that frequent restarts do not multiply the slack.
constexpr double kInitialSlackShare = 0.8;

std::int64_t stepsIn(Duration time) {
    return time / kStep;
}

}  // namespace

/// The first step begins the span over the whole time since the start.
RetryBudget::RetryBudget(RetryLimit limit, TimePoint started)
    : limit_(limit),
      window_steps_(std::max<std::int64_t>(1, stepsIn(limit.window))),
      start_step_(stepsIn(started.time_since_epoch())) {
    steps_.push_back({start_step_, 0, 0});
}

RetryBudget::Step& RetryBudget::currentStep(TimePoint now) {
    const auto number = stepsIn(now.time_since_epoch());
    if (steps_.empty() || steps_.back().number != number) {
        steps_.push_back({number, 0, 0});
    }
    while (steps_.front().number <= number - window_steps_) {
        steps_.pop_front();
    }
    return steps_.back();
}

void RetryBudget::onFirstAttempt(TimePoint now, double retry_probability) {
    auto& step = currentStep(now);
    step.first_attempts += 1 - retry_probability;
    step.retries += retry_probability;
    totals_.requests += 1 - retry_probability;
    totals_.inherited += retry_probability;
}

double RetryBudget::slackPerRelay(std::size_t relays) const {
    return limit_.slack / static_cast<double>(std::max<std::size_t>(1, relays));
}

/// Slack for the time from a step until now. A span that begins at the start of the relay has no initial slack.
double RetryBudget::slackSince(const Step& begin, std::size_t relays) const {
    const double initial = begin.number == start_step_ ? 0 : kInitialSlackShare;
    const auto steps = steps_.back().number - begin.number + 1;
    const double windows = static_cast<double>(steps) / static_cast<double>(window_steps_);
    return slackPerRelay(relays) * (initial + (1 - kInitialSlackShare) * windows);
}

/// True if one more retry fits into every span that ends now. No steps are carried into a span of a complete window:
/// older ones have been dropped.
bool RetryBudget::hasCapacity(const RetryShare& share) const {
    const auto carry_over = share.includes_carry_over ? kCarryOverSteps : 0;
    double retries = 1;
    double first_attempts = 0;
    auto carried = steps_.rbegin();
    for (auto it = steps_.rbegin(); it != steps_.rend(); ++it) {
        retries += it->retries;
        for (; carried != steps_.rend() && carried->number >= it->number - carry_over; ++carried) {
            first_attempts += carried->first_attempts;
        }
        const double slack = share.slack_share * slackSince(*it, share.relays);
        if (retries > share.budget_share * kUsableShare * (limit_.ratio * first_attempts + slack)) {
            return false;
        }
    }
    return true;
}

bool RetryBudget::tryRetry(TimePoint now, const RetryShare& share) {
    auto& step = currentStep(now);
    if (!hasCapacity(share)) {
        ++totals_.denied;
        return false;
    }
    step.retries += 1;
    ++totals_.granted;
    return true;
}

double RetryBudget::capacityPerSecond(double first_attempts_per_second, std::size_t relays) const {
    return kUsableShare * (limit_.ratio * first_attempts_per_second + slackPerRelay(relays) / toSeconds(limit_.window));
}

RetryWindow RetryBudget::window(TimePoint now, std::size_t relays) {
    currentStep(now);
    RetryWindow window;
    for (const auto& step : steps_) {
        window.requests += step.first_attempts;
        window.retries += step.retries;
    }
    window.allowed = limit_.ratio * window.requests + slackPerRelay(relays);
    return window;
}

}  // namespace dewcrank::decision
