/// @file
/// Estimates how much longer a bottleneck stays overloaded, from how long it has been and how its admission ratio
/// moves.
#pragma once

#include <optional>

#include "src/base/time.h"

namespace dewcrank::decision {

/// The overload of one bottleneck service as one node sees it.
class OverloadTrend {
public:
    /// Registers the admission ratio that applies to a request.
    void onRatio(TimePoint now, double admit_ratio);
    /// @return the time for which the bottleneck has been overloaded; zero if it is not.
    [[nodiscard]] Duration lasted(TimePoint now) const;
    /// @return the expected time until the overload ends: the time that a rising ratio needs to reach 1, and without a
    /// rise as long as the overload has lasted, which is also the upper bound. Zero if there is no overload.
    [[nodiscard]] Duration expectedRest(TimePoint now) const;

private:
    /// Sum of the ratios within one span of time.
    struct Span {
        double sum = 0;
        double count = 0;
        [[nodiscard]] double mean() const { return sum / count; }
    };
    void addToSpan(TimePoint now, double admit_ratio);

    std::optional<TimePoint> began_;  ///< Begin of the overload; nothing before the first one.
    TimePoint last_low_{};            ///< When a ratio of the overload was registered last.
    TimePoint span_start_{};
    Span current_;
    Span previous_;
};

}  // namespace dewcrank::decision
