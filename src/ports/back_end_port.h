/// @file
/// How a node sends calls to the instances of a service.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/http_message.h"
#include "src/base/time.h"

namespace dewcrank {

/// What is known about one attempt when it has ended.
enum class AttemptOutcome {
    kAnswered,  ///< A whole answer came back.
    kNotSent,   ///< No byte was sent: the instance cannot have run it.
    kUnknown,   ///< Something was sent and no whole answer came back.
};

/// One attempt's end.
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::kNotSent;
    HttpAnswer answer;   ///< Only with kAnswered.
    std::string reason;  ///< Why there is no answer.
};

/// Reasons of attempts that have no answer, where more than their text is of use.
inline constexpr std::string_view kConnectionClosed = "connection-closed";
inline constexpr std::string_view kConnectionReset = "connection-reset";
inline constexpr std::string_view kTimedOut = "timeout";

/// True if the other side, or the link, has ended the connection that had the attempt.
inline bool isConnectionLost(const AttemptResult& result) {
    return result.outcome == AttemptOutcome::kUnknown &&
           (result.reason == kConnectionClosed || result.reason == kConnectionReset);
}

/// True if a connection was not to be had, and that was said at once. One that hangs may be taken later.
inline bool isRefused(const AttemptResult& result) {
    return result.outcome == AttemptOutcome::kNotSent && result.reason != kTimedOut;
}

/// A running attempt; destroying the handle cancels it and suppresses its callback.
class Attempt {
public:
    virtual ~Attempt() = default;
};
using AttemptHandle = std::unique_ptr<Attempt>;

/// A connection that is not there after this time counts as not to be had.
inline constexpr Duration kConnectTimeout = 250ms;

/// A connection that was idle for longer is not used again: it may just be being closed by the
/// other side, which would leave the next request's outcome unknown.
inline constexpr Duration kLongestIdle = 4s;

class BackEndPort {
public:
    using Callback = std::function<void(AttemptResult)>;
    virtual ~BackEndPort() = default;
    /// Sends one request once, never again by itself.
    /// @param address "ip:port" of the instance.
    /// @param timeout after which the outcome is kUnknown; while connecting it is kNotSent,
    /// at the latest after kConnectTimeout.
    /// The callback runs later on the loop, never inside this call.
    [[nodiscard]] virtual AttemptHandle send(const std::string& address, HttpRequest request, Duration timeout,
                                             Callback callback) = 0;
};

}  // namespace dewcrank
