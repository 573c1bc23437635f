/// @file
/// Paces the requests to one instance at the rate that the instance names.
#pragma once

#include <cstddef>
#include <optional>

#include "src/base/token_bucket.h"
#include "src/ports/clock.h"

namespace dewcrank::relay {

/// Admits at most rate * t + 5 requests in any time span t while a rate is set, and any number while none is.
class RateLimiter {
public:
    explicit RateLimiter(Clock& clock) : clock_(clock), bucket_(clock.now()) {}

    /// @param rate requests per second; nothing: no limit. Tokens that were saved at a higher rate are lost.
    void setRate(std::optional<double> rate);
    [[nodiscard]] const std::optional<double>& rate() const { return rate_; }
    /// @return whether a request may be sent now, which takes a token.
    bool tryTake();
    /// Takes a token for a request that cannot wait for one.
    void takeAnyway();
    /// Puts back the token of a request that was not sent after all.
    void returnToken();
    /// @return the time until a request may be sent before which `ahead` others are sent; zero without a limit.
    [[nodiscard]] Duration waitBehind(std::size_t ahead) const;

private:
    [[nodiscard]] double pace() const;
    [[nodiscard]] double depth() const;

    Clock& clock_;
    std::optional<double> rate_;
    TokenBucket bucket_;
};

}  // namespace dewcrank::relay
