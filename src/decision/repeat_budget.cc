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
    totals_.requests += 1 - repeat_share;
    totals_.inherited += repeat_share;
}

double RepeatBudget::partOfSlack(std::size_t relays) const {
    return bound_.slack / static_cast<double>(std::max<std::size_t>(1, relays));
}

RepeatWindow RepeatBudget::window(TimePoint now, std::size_t relays) {
    current(now);
    RepeatWindow window;
    for (const auto& second : seconds_) {
        window.requests += second.first;
        window.repeats += second.repeats;
    }
    window.allowed = bound_.ratio * window.requests + partOfSlack(relays);
    return window;
}

bool RepeatBudget::tryRepeat(TimePoint now, std::size_t relays) {
    const auto last = window(now, relays);
    if (last.repeats + 1 > kSpentShare * last.allowed) {
        ++totals_.denied;
        return false;
    }
    current(now).repeats += 1;
    ++totals_.granted;
    return true;
}

}  // namespace dewcrank::decision
