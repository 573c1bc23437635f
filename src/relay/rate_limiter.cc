#include "src/relay/rate_limiter.h"

#include <algorithm>

namespace dewcrank::relay {

namespace {

/// Requests per second that are sent even if the instance names a lower rate: without a request, no response could say
/// that the limit has ended.
constexpr double kMinRate = 0.25;
/// Requests that may be sent at once after a pause: those of this many seconds, within bounds.
constexpr double kSavedSeconds = 1;
constexpr double kMinDepth = 2;
constexpr double kMaxDepth = 5;
/// A timer that is set for exactly one token must find it complete despite rounding.
constexpr Duration kRounding = 1us;

}  // namespace

double RateLimiter::pace() const {
    return std::max(kMinRate, rate_.value_or(0));
}

double RateLimiter::depth() const {
    return std::clamp(pace() * kSavedSeconds, kMinDepth, kMaxDepth);
}

void RateLimiter::setRate(std::optional<double> rate) {
    const auto now = clock_.now();
    if (!rate || !rate_) {
        bucket_ = TokenBucket(now);
    } else {
        bucket_.refill(now, pace(), depth());
    }
    rate_ = rate;
    bucket_.refill(now, pace(), depth());
}

bool RateLimiter::tryTake() {
    return !rate_ || bucket_.take(clock_.now(), pace(), depth(), 1) == 1;
}

void RateLimiter::takeAnyway() {
    if (rate_) {
        bucket_.refill(clock_.now(), pace(), depth());
        bucket_.takeAnyway();
    }
}

void RateLimiter::returnToken() {
    if (rate_) {
        bucket_.returnTokens(1);
    }
}

Duration RateLimiter::waitBehind(std::size_t ahead) const {
    if (!rate_) {
        return {};
    }
    auto bucket = bucket_;
    bucket.refill(clock_.now(), pace(), depth());
    const double missing = static_cast<double>(ahead) + 1 - bucket.tokens();
    return missing <= 0 ? Duration::zero() : fromSeconds(missing / pace()) + kRounding;
}

}  // namespace dewcrank::relay
