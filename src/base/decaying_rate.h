/// @file
/// A rate of irregular events, averaged over the recent past.
#pragma once

#include <cmath>

#include "src/base/time.h"

namespace dewcrank {

/// Sum of amounts per second, with weights that decay exponentially with their age. Reads low for one time constant
/// after the first amount.
class DecayingRate {
public:
    explicit DecayingRate(Duration time_constant) : time_constant_(time_constant) {}

    void add(TimePoint now, double amount) {
        sum_ = sum_ * decayAt(now) + amount;
        last_ = now;
    }
    [[nodiscard]] double perSecond(TimePoint now) const { return sum_ * decayAt(now) / toSeconds(time_constant_); }

private:
    [[nodiscard]] double decayAt(TimePoint now) const {
        return sum_ == 0 ? 0 : std::exp(-toSeconds(now - last_) / toSeconds(time_constant_));
    }

    Duration time_constant_;
    double sum_ = 0;  ///< As of `last_`.
    TimePoint last_{};
};

}  // namespace dewcrank
