#include "src/decision/repeat_budget.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {
/// Part of the bound that is spent. The rest is for requests that cross the edge of a window and for what
/// repeated runs call below, which is known in the mean only.
constexpr double kSpentShare = 0.8;
}  // namespace

RepeatBudget::Second& RepeatBudget::current(TimePoint now) {
    const auto number = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (seconds_.empty() || seconds_.back().number != number) {
        seconds_.push_back({number, 0, 0});
    }
    const auto length = std::chrono::duration_cast<std::chrono::seconds>(bound_.window).count();
    while (seconds_.front().number < number - length) {
        seconds_.pop_front();
    }
    return seconds_.back();
}

void RepeatBudget::onFirst(TimePoint now, double repeat_share) {
    auto& present = current(now);
    present.first += 1 - repeat_share;
    present.repeats += repeat_share;
}

bool RepeatBudget::tryRepeat(TimePoint now, std::size_t relays) {
    auto& present = current(now);
    double first = 0;
    double repeats = 0;
    for (const auto& second : seconds_) {
        first += second.first;
        repeats += second.repeats;
    }
    const auto part = bound_.slack / static_cast<double>(std::max<std::size_t>(1, relays));
    if (repeats + 1 > kSpentShare * (bound_.ratio * first + part)) {
        return false;
    }
    present.repeats += 1;
    return true;
}

}  // namespace dewcrank::decision
