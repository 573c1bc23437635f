/// @file
/// HTTP client interface: sends single requests to instances, other nodes and the store.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "src/base/http_message.h"
#include "src/base/time.h"

namespace dewcrank {

/// What is known about an attempt that has ended.
enum class AttemptOutcome {
    kResponded,  ///< A complete response was received.
    kNotSent,    ///< No byte was sent: the request was not executed.
    kUnknown,    ///< Bytes were sent, but no complete response was received: the request may have been executed.
};

/// Result of an attempt.
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::kNotSent;
    HttpResponse response{};  ///< Only with kResponded.
    std::string reason{};     ///< Why there is no response.
    /// The request went out on a connection that had carried earlier ones. If there is no response, the connection may
    /// be broken rather than the peer.
    bool used_idle_connection = false;
    /// With kNotSent, the request itself if the transport returns it, so that it can be sent again.
    std::optional<HttpRequest> unsent{};
};

/// Values of AttemptResult::reason that the code depends on; other reasons are free text.
inline constexpr std::string_view kConnectionClosed = "connection-closed";
inline constexpr std::string_view kConnectionReset = "connection-reset";
inline constexpr std::string_view kTimedOut = "timeout";

/// @return true if the connection was closed or reset while the attempt waited for the response.
inline bool isConnectionLost(const AttemptResult& result) {
    return result.outcome == AttemptOutcome::kUnknown &&
           (result.reason == kConnectionClosed || result.reason == kConnectionReset);
}

/// @return true if connecting failed at once. A connect timeout does not count: the peer may just be busy.
inline bool isConnectionRefused(const AttemptResult& result) {
    return result.outcome == AttemptOutcome::kNotSent && result.reason != kTimedOut;
}

/// A running attempt; destroying the handle cancels it and suppresses its callback.
class Attempt {
public:
    virtual ~Attempt() = default;
    /// @return true if the peer's host is known to have confirmed no byte of the request, though it was sent.
    [[nodiscard]] virtual bool isUnacknowledged() const { return false; }
};
using AttemptHandle = std::unique_ptr<Attempt>;

/// Connecting fails after this time.
inline constexpr Duration kConnectTimeout = 250ms;

/// Idle connections are closed after this time. Below the usual keep-alive timeout of servers: a request sent while
/// the server closes the connection has an unknown outcome.
inline constexpr Duration kMaxIdleTime = 4s;

/// Asynchronous HTTP client.
class HttpTransport {
public:
    using Callback = std::function<void(AttemptResult)>;
    virtual ~HttpTransport() = default;
    /// Sends a request once, without any retry.
    /// @param address  "ip:port".
    /// @param timeout  after it the outcome is kUnknown, or kNotSent while connecting; connecting takes at most
    ///                 kConnectTimeout.
    /// @param callback runs later on the event loop, never inside this call.
    /// @return the handle that keeps the attempt running.
    [[nodiscard]] virtual AttemptHandle send(const std::string& address, HttpRequest request, Duration timeout,
                                             Callback callback) = 0;

    // Connections that are kept between requests. A transport that keeps none needs none of these.

    /// As send(), on a connection that has carried no request before.
    [[nodiscard]] virtual AttemptHandle sendOnNewConnection(const std::string& address, HttpRequest request,
                                                            Duration timeout, Callback callback) {
        return send(address, std::move(request), timeout, std::move(callback));
    }
    /// @return for how long the connection that send() would use has been idle; nothing if it would open a new one.
    [[nodiscard]] virtual std::optional<Duration> idleTime(const std::string&) const { return std::nullopt; }
    /// Closes the connections to an address that have been idle for at least this time.
    virtual void closeIdleConnections(const std::string&, Duration) {}
};

}  // namespace dewcrank
