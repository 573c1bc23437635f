/// @file
/// Maximum of a step function over a sliding time window.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "src/base/time.h"

namespace dewcrank {

/// Tracks the maximum of a value over the last `window`. A value is current from its set() until the next set(), and
/// counts for another `window` after that. Times must not decrease.
class RecentMaximum {
public:
    RecentMaximum(Duration window, std::size_t value) : window_(window), value_(value) {}

    void set(TimePoint now, std::size_t value) {
        if (value < value_) {
            addPast(now);
        }
        value_ = value;
    }

    /// @return the maximum over [now - window, now].
    [[nodiscard]] std::size_t at(TimePoint now) {
        while (!past_.empty() && now - past_.front().replaced_at > window_) {
            past_.pop_front();
        }
        return past_.empty() ? value_ : std::max(value_, past_.front().value);
    }

private:
    struct Past {
        std::size_t value;
        TimePoint replaced_at;
    };

    /// Moves the current value to past_ and drops the past values that can no longer be the maximum.
    void addPast(TimePoint now) {
        while (!past_.empty() && past_.back().value <= value_) {
            past_.pop_back();
        }
        past_.push_back({value_, now});
    }

    Duration window_;
    std::size_t value_;
    std::deque<Past> past_;  ///< Monotonic queue: ordered by time, values strictly decreasing.
};

}  // namespace dewcrank
