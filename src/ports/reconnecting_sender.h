/// @file
/// Sends requests so that a connection that has gone silent costs less than a timeout.
#pragma once

#include <string>

#include "src/ports/clock.h"
#include "src/ports/http_transport.h"

namespace dewcrank {

/// If a request on an idle connection has no response for this long, or for half of its timeout, its connection may be
/// silent.
inline constexpr Duration kReconnectTime = 250ms;
/// A call that must not run twice is sent on a new connection instead of one that has been idle for longer, since
/// nothing has shown meanwhile that the idle one still works.
inline constexpr Duration kMaxUnverifiedTime = 1s;

/// An open connection may lose everything that is sent on it, without a reset, while new connections to the same
/// address work. A request that was sent on an idle connection and gets no response soon is sent a second time, on a
/// new connection; the first response counts. Once the idle connection is known to be silent, the connections that have
/// been idle since before are closed, as they may be silent too.
class ReconnectingSender {
public:
    /// Both must outlive the sender and its attempts.
    ReconnectingSender(Clock& clock, HttpTransport& transport) : clock_(clock), transport_(transport) {}

    /// Sends a request whose response is due at once, as HttpTransport::send(). It may be received twice.
    [[nodiscard]] AttemptHandle send(const std::string& address, HttpRequest request, Duration timeout,
                                     HttpTransport::Callback callback);
    /// Sends a request whose response may take any time. Only a request of which the peer has acknowledged nothing is
    /// sent again, and only if it may run twice. Other requests use only connections that have worked recently.
    [[nodiscard]] AttemptHandle sendCall(const std::string& address, HttpRequest request, Duration timeout,
                                         bool may_run_twice, HttpTransport::Callback callback);
    /// As sendCall(), to a peer that is stopping. A call that must not run twice is sent on a new connection: a peer
    /// that has ended refuses that one, while the outcome of a request on a connection that it has closed is unknown.
    [[nodiscard]] AttemptHandle sendCallToStopping(const std::string& address, HttpRequest request, Duration timeout,
                                                   bool may_run_twice, HttpTransport::Callback callback);

private:
    class Attempt;
    /// When a request is sent again.
    enum class Resend { kWithoutResponse, kUnacknowledged, kNever };
    [[nodiscard]] AttemptHandle start(const std::string& address, HttpRequest request, Duration timeout, Resend resend,
                                      HttpTransport::Callback callback);

    Clock& clock_;
    HttpTransport& transport_;
};

}  // namespace dewcrank
