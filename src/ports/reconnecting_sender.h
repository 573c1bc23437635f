/// @file
/// Sends idempotent requests so that a connection that has gone silent costs less than a timeout.
#pragma once

#include <string>

#include "src/ports/clock.h"
#include "src/ports/http_transport.h"

namespace dewcrank {

/// If a request on an idle connection has no response for this long, or for half of its timeout, it is sent again on a
/// new connection.
inline constexpr Duration kReconnectTime = 250ms;

/// An open connection may lose everything that is sent on it, without a reset, while new connections to the same
/// address work. A request that was sent on an idle connection and gets no response soon is sent a second time, on a
/// new connection; the first response counts. If only the new connection responds, the connections that have been idle
/// since before are closed, as they may be silent too.
class ReconnectingSender {
public:
    /// Both must outlive the sender and its attempts.
    ReconnectingSender(Clock& clock, HttpTransport& transport) : clock_(clock), transport_(transport) {}

    /// As HttpTransport::send(). The request may be received twice.
    [[nodiscard]] AttemptHandle send(const std::string& address, HttpRequest request, Duration timeout,
                                     HttpTransport::Callback callback);

private:
    class Attempt;

    Clock& clock_;
    HttpTransport& transport_;
};

}  // namespace dewcrank
