/// @file
/// A mean over what came lately.
#pragma once

#include <cmath>

#include "src/base/time.h"

namespace dewcrank {

/// Values weigh less the older they are, by a time constant and not by how many came since: rare
/// values count almost alone, frequent ones are averaged.
class DecayingMean {
public:
    explicit DecayingMean(Duration time_constant) : time_constant_(time_constant) {}

    void add(TimePoint now, double value) {
        const double kept = keptAt(now);
        sum_ = sum_ * kept + value;
        weight_ = weight_ * kept + 1;
        last_ = now;
    }

    /// The mean times what is left of the weight, at most 1: fades to 0 while nothing comes.
    [[nodiscard]] double fadedAt(TimePoint now) const {
        if (sum_ == 0) {
            return 0;
        }
        const double kept = keptAt(now);
        return weight_ * kept >= 1 ? sum_ / weight_ : sum_ * kept;
    }

private:
    [[nodiscard]] double keptAt(TimePoint now) const {
        return std::exp(-static_cast<double>((now - last_).count()) / static_cast<double>(time_constant_.count()));
    }

    Duration time_constant_;
    double sum_ = 0;     ///< Of the values, faded.
    double weight_ = 0;  ///< Their number, faded as the sum is.
    TimePoint last_{};   ///< When the last value was added.
};

}  // namespace dewcrank
