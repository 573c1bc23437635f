/// @file
/// An exponentially decaying mean of irregularly spaced values.
#pragma once

#include <cmath>

#include "src/base/time.h"

namespace dewcrank {

/// Mean whose weights decay with the age of the values, by a time constant, and not with the number of newer values:
/// a rare value dominates the mean, frequent values are averaged.
class DecayingMean {
public:
    explicit DecayingMean(Duration time_constant) : time_constant_(time_constant) {}

    void add(TimePoint now, double value) {
        const double decay = decayAt(now);
        sum_ = sum_ * decay + value;
        weight_ = weight_ * decay + 1;
        last_ = now;
    }

    /// @return the mean times the remaining total weight, at most 1: decays to 0 while no value is added.
    [[nodiscard]] double decayedMean(TimePoint now) const {
        if (sum_ == 0) {
            return 0;
        }
        const double decay = decayAt(now);
        return weight_ * decay >= 1 ? sum_ / weight_ : sum_ * decay;
    }

private:
    /// Factor by which weights have decayed since the last value, from 0 to 1.
    [[nodiscard]] double decayAt(TimePoint now) const {
        return std::exp(-static_cast<double>((now - last_).count()) / static_cast<double>(time_constant_.count()));
    }

    Duration time_constant_;
    double sum_ = 0;     ///< Weighted sum of the values, as of last_.
    double weight_ = 0;  ///< Sum of the weights, as of last_.
    TimePoint last_{};   ///< Time of the last value.
};

}  // namespace dewcrank
