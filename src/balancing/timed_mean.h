/// @file
/// A mean of recent values that keeps its last value while none are added.
#pragma once

#include <algorithm>
#include <cmath>

#include "src/base/time.h"

namespace dewcrank::balancing {

/// Mean whose weights decay with time, but not below a share for each new value, so that rare values are averaged too.
class TimedMean {
public:
    /// @param least_decay factor from 0 to 1 by which weights decay at most when a value is added.
    explicit TimedMean(Duration time_constant, double least_decay = 0)
        : time_constant_(time_constant), least_decay_(least_decay) {}

    void add(TimePoint now, double value) {
        const double passed = static_cast<double>((now - last_).count());
        const double decay = std::max(least_decay_, std::exp(-passed / static_cast<double>(time_constant_.count())));
        sum_ = sum_ * decay + value;
        weight_ = weight_ * decay + 1;
        last_ = now;
    }
    [[nodiscard]] bool isEmpty() const { return weight_ == 0; }
    /// @return the mean; zero without any value.
    [[nodiscard]] double mean() const { return isEmpty() ? 0 : sum_ / weight_; }
    [[nodiscard]] TimePoint lastAdded() const { return last_; }

private:
    Duration time_constant_;
    double least_decay_;
    double sum_ = 0;
    double weight_ = 0;
    TimePoint last_{};
};

}  // namespace dewcrank::balancing
