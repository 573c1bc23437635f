/// @file
/// A token bucket: bounds a rate, and lets a few requests through at once.
#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace dewcrank {

/// Starts empty, so that replacing a bucket does not exceed the rate. In any time span t, at most rate * t + depth
/// tokens are taken. Each call uses the rate that has applied since the last one.
class TokenBucket {
public:
    /// @param start from when on the bucket fills.
    explicit TokenBucket(TimePoint start) : last_refill_(start) {}
    /// Adds the tokens of the time since the last call. @param rate tokens per second. @param depth capacity in tokens.
    void refill(TimePoint now, double rate, double depth);
    /// Refills the bucket and takes up to `wanted` whole tokens. @return the number taken.
    std::uint32_t take(TimePoint now, double rate, double depth, std::uint32_t wanted);
    /// Takes a token even if there is none; the missing one is owed.
    void takeAnyway() { tokens_ -= 1; }
    /// Puts back tokens that were taken and not used.
    void returnTokens(std::uint32_t tokens) { tokens_ += tokens; }
    /// @return the number of tokens as of the last refill; negative if some are owed.
    [[nodiscard]] double tokens() const { return tokens_; }
    /// Time until a whole token is available, at a rate in tokens per second; limited to 10 s.
    [[nodiscard]] Duration timeToNextToken(double rate) const;

private:
    TimePoint last_refill_;
    double tokens_ = 0;
};

}  // namespace dewcrank
