/// @file
/// Bounds how many repeated requests an instance is sent, as a share of the first ones.
#pragma once

#include <cstdint>
#include <deque>

#include "src/base/time.h"

namespace dewcrank::decision {

/// The bound for one service, over any window: repeats <= ratio * first requests + slack.
struct RepeatBound {
    double ratio = 0;
    double slack = 0;
    Duration window{};
};

/// What a relay's budget has taken and given, since its start.
struct RepeatTotals {
    double requests = 0;        ///< Counted as first ones.
    double inherited = 0;       ///< Repeats among the calls of runs that were repeats themselves.
    std::uint64_t granted = 0;  ///< Repeats that were let in,
    std::uint64_t denied = 0;   ///< and those that were not.
};

/// The same over the last window, against what is allowed in it.
struct RepeatWindow {
    double requests = 0;
    double repeats = 0;  ///< Inherited and granted.
    double allowed = 0;  ///< By the relay's part of the bound, without the margin.
};

/// One relay's part of a service's budget. Each relay spends at most the ratio of its own first
/// requests and its part of the slack, so that the parts sum to the whole without messages.
/// A fifth of the bound is left as a margin, for requests that cross the edge of a window among others.
class RepeatBudget {
public:
    explicit RepeatBudget(RepeatBound bound) : bound_(bound) {}
    /// A request that is no repeat itself. @param repeat_share how likely it is made for a run that is
    /// one: to that part it counts as a repeat here as well.
    void onFirst(TimePoint now, double repeat_share);
    /// Takes one repeat. @param relays how many share the slack. @return false if none is left.
    bool tryRepeat(TimePoint now, std::size_t relays);
    [[nodiscard]] const RepeatTotals& totals() const { return totals_; }
    [[nodiscard]] RepeatWindow window(TimePoint now, std::size_t relays);

private:
    struct Second {
        std::int64_t number = 0;
        double first = 0;
        double repeats = 0;
    };
    Second& current(TimePoint now);
    [[nodiscard]] double partOfSlack(std::size_t relays) const;

    RepeatBound bound_;
    std::deque<Second> seconds_;
    RepeatTotals totals_;
};

}  // namespace dewcrank::decision
