/// @file
/// Bounds how many repeated requests an instance is sent, as a share of the first ones.
#pragma once

#include <cstdint>
#include <deque>

#include "src/base/time.h"

namespace dewcrank::retry {

/// The bound for one service, over any window: repeats <= ratio * first requests + slack.
struct RepeatBound {
    double ratio = 0;
    double slack = 0;
    Duration window{};
};

/// One relay's part of a service's budget. Each relay spends at most the ratio of its own first
/// requests and its part of the slack, so that the parts sum to the whole without messages.
/// Half of the bound is left as a margin for requests that cross the edge of a window.
class RepeatBudget {
public:
    explicit RepeatBudget(RepeatBound bound) : bound_(bound) {}
    void onFirst(TimePoint now);
    /// Takes one repeat. @param relays how many share the slack. @return false if none is left.
    bool tryRepeat(TimePoint now, std::size_t relays);

private:
    struct Second {
        std::int64_t number = 0;
        std::uint32_t first = 0;
        std::uint32_t repeats = 0;
    };
    Second& current(TimePoint now);

    RepeatBound bound_;
    std::deque<Second> seconds_;
};

}  // namespace dewcrank::retry
