/// @file
/// The largest of a quantity's values within a window of time.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "src/base/time.h"

namespace dewcrank {

/// A value holds from when it is set until the next one is, and counts for a window after that.
class RecentMaximum {
public:
    RecentMaximum(Duration window, std::size_t value) : window_(window), value_(value) {}

    void set(TimePoint now, std::size_t value) {
        if (value < value_) {
            keepPast(now);
        }
        value_ = value;
    }

    [[nodiscard]] std::size_t at(TimePoint now) {
        while (!past_.empty() && now - past_.front().left > window_) {
            past_.pop_front();
        }
        return past_.empty() ? value_ : std::max(value_, past_.front().value);
    }

private:
    struct Past {
        std::size_t value;
        TimePoint left;
    };

    /// Earlier ones that are no larger are covered by this one.
    void keepPast(TimePoint now) {
        while (!past_.empty() && past_.back().value <= value_) {
            past_.pop_back();
        }
        past_.push_back({value_, now});
    }

    Duration window_;
    std::size_t value_;
    std::deque<Past> past_;  ///< In order of time; each value is smaller than the one before.
};

}  // namespace dewcrank
