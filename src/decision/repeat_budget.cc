#include "src/decision/repeat_budget.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {

/// What came is counted in steps of the clock: fine enough that a window's edge matters for 0.025 of it.
constexpr Duration kStep = 250ms;
/// Requests allow repeats for this long after their step: one second, in which an instance that has just
/// failed is left by the entries. The longer, the smaller the part that may be spent.
constexpr std::int64_t kCarriedSteps = 4;
/// Part of the bound that is spent. If all relays end within a window of 10 s, the second carried over brings it
/// to 0.88; the rest is for calls of repeated runs, of which only the mean is known, and for the edges of steps.
constexpr double kSpentShare = 0.8;
/// Part of the slack that may be spent at once, after a window at the latest. The rest comes with time: what a new
/// relay has in its first window, so that however many lives of a relay in one window have no more than one.
constexpr double kStockShare = 0.8;

std::int64_t stepsIn(Duration time) {
    return time / kStep;
}

}  // namespace

/// The first step is there for the span over the whole life.
RepeatBudget::RepeatBudget(RepeatBound bound, TimePoint born)
    : bound_(bound),
      window_steps_(std::max<std::int64_t>(1, stepsIn(bound.window))),
      born_in_(stepsIn(born.time_since_epoch())) {
    steps_.push_back({born_in_, 0, 0});
}

RepeatBudget::Step& RepeatBudget::current(TimePoint now) {
    const auto number = stepsIn(now.time_since_epoch());
    if (steps_.empty() || steps_.back().number != number) {
        steps_.push_back({number, 0, 0});
    }
    while (steps_.front().number <= number - window_steps_) {
        steps_.pop_front();
    }
    return steps_.back();
}

void RepeatBudget::onFirst(TimePoint now, double repeat_share) {
    auto& present = current(now);
    present.first += 1 - repeat_share;
    present.repeats += repeat_share;
    totals_.requests += 1 - repeat_share;
    totals_.inherited += repeat_share;
}

double RepeatBudget::partOfSlack(std::size_t relays) const {
    return bound_.slack / static_cast<double>(std::max<std::size_t>(1, relays));
}

/// Of the time from a step until now. A span over the whole of a life has no stock to begin with.
double RepeatBudget::slackOver(const Step& begin, std::size_t relays) const {
    const double stock = begin.number == born_in_ ? 0 : kStockShare;
    const auto steps = steps_.back().number - begin.number + 1;
    const double windows = static_cast<double>(steps) / static_cast<double>(window_steps_);
    return partOfSlack(relays) * (stock + (1 - kStockShare) * windows);
}

/// One more repeat has to fit into every span that ends now. Nothing is carried into that of a whole window:
/// older steps are gone.
bool RepeatBudget::hasRoom(std::size_t relays, double slack_share) const {
    double repeats = 1;
    double first = 0;
    auto carried = steps_.rbegin();
    for (auto it = steps_.rbegin(); it != steps_.rend(); ++it) {
        repeats += it->repeats;
        for (; carried != steps_.rend() && carried->number >= it->number - kCarriedSteps; ++carried) {
            first += carried->first;
        }
        const double slack = slack_share * slackOver(*it, relays);
        if (repeats > kSpentShare * (bound_.ratio * first + slack)) {
            return false;
        }
    }
    return true;
}

bool RepeatBudget::tryRepeat(TimePoint now, std::size_t relays, double slack_share) {
    auto& present = current(now);
    if (!hasRoom(relays, slack_share)) {
        ++totals_.denied;
        return false;
    }
    present.repeats += 1;
    ++totals_.granted;
    return true;
}

RepeatWindow RepeatBudget::window(TimePoint now, std::size_t relays) {
    current(now);
    RepeatWindow window;
    for (const auto& step : steps_) {
        window.requests += step.first;
        window.repeats += step.repeats;
    }
    window.allowed = bound_.ratio * window.requests + partOfSlack(relays);
    return window;
}

}  // namespace dewcrank::decision
