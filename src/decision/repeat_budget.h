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

private:
    struct Second {
        std::int64_t number = 0;
        double first = 0;
        double repeats = 0;
    };
    Second& current(TimePoint now);

    RepeatBound bound_;
    std::deque<Second> seconds_;
};

}  // namespace dewcrank::decision
