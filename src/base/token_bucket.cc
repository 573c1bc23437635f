#include "src/base/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace dewcrank {

namespace {

/// Upper bound of the reported wait, for tiny rates.
constexpr double kMaxWaitSeconds = 10;

}  // namespace

void TokenBucket::refill(TimePoint now, double rate, double depth) {
    tokens_ = std::min(depth, tokens_ + rate * toSeconds(std::max(Duration::zero(), now - last_refill_)));
    last_refill_ = std::max(last_refill_, now);
}

std::uint32_t TokenBucket::take(TimePoint now, double rate, double depth, std::uint32_t wanted) {
    refill(now, rate, depth);
    const auto taken = std::clamp<double>(std::floor(tokens_), 0, wanted);
    tokens_ -= taken;
    return static_cast<std::uint32_t>(taken);
}

Duration TokenBucket::timeToNextToken(double rate) const {
    const double missing = std::max(0.0, 1 - tokens_);
    return fromSeconds(missing >= rate * kMaxWaitSeconds ? kMaxWaitSeconds : missing / rate);
}

}  // namespace dewcrank
