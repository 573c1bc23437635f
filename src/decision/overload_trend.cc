#include "src/decision/overload_trend.h"

#include <algorithm>

#include "src/decision/bottleneck_view.h"

namespace dewcrank::decision {

namespace {

/// An overload has ended after this time without a ratio below the normal one.
constexpr Duration kEndGap = 500ms;
/// The means of two consecutive spans of this length show how the ratio moves.
constexpr Duration kSpan = 300ms;
/// Smallest rise of the ratio per second that counts as one; less is noise of single reports.
constexpr double kMinRise = 0.1;

}  // namespace

void OverloadTrend::onRatio(TimePoint now, double admit_ratio) {
    if (admit_ratio < kMinNormalAdmitRatio) {
        if (lasted(now) == Duration::zero()) {
            began_ = now;
            current_ = previous_ = {};
            span_start_ = now;
        }
        last_low_ = now;
    }
    addToSpan(now, admit_ratio);
}

void OverloadTrend::addToSpan(TimePoint now, double admit_ratio) {
    if (now - span_start_ >= kSpan) {
        previous_ = now - span_start_ < 2 * kSpan ? current_ : Span{};
        current_ = {};
        span_start_ = now;
    }
    current_.sum += admit_ratio;
    current_.count += 1;
}

Duration OverloadTrend::lasted(TimePoint now) const {
    return began_ && now - last_low_ <= kEndGap ? now - *began_ : Duration::zero();
}

Duration OverloadTrend::expectedRest(TimePoint now) const {
    const auto longest = lasted(now);
    if (longest == Duration::zero() || previous_.count == 0 || current_.count == 0) {
        return longest;
    }
    const double rise_per_s = (current_.mean() - previous_.mean()) / toSeconds(kSpan);
    return rise_per_s < kMinRise ? longest : std::min(longest, fromSeconds((1 - current_.mean()) / rise_per_s));
}

}  // namespace dewcrank::decision
