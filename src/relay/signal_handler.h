/// @file
/// Applies what the local instance says about itself in its responses: its rate limit, its load, and that it is
/// leaving.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <string>

#include "src/base/disabled_mechanisms.h"
#include "src/base/header_names.h"
#include "src/base/http_message.h"
#include "src/instance/local_instance.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/relay/instance_queue.h"
#include "src/relay/instance_signals.h"
#include "src/relay/named_rate_limit.h"
#include "src/relay/unread_headers.h"

namespace dewcrank::relay {

/// Sets the rate limit of the queue and the state of the local instance. The signals of another incarnation than the
/// current one are ignored.
///
/// Log events:
///   rate_limit_changed    the instance names a rate limit, another one, or none any more
///   rate_limit_invalid    the instance names a rate limit that is not a number in range; once an incarnation
///   server_load_invalid   the instance names a load that cannot be used; once an incarnation
///   instance_leaving      the instance says in a response that it is leaving
class SignalHandler {
public:
    SignalHandler(Clock& clock, EventLog& log, instance::LocalInstance& instance, InstanceQueue& queue,
                  const HeaderNames& names, const DisabledMechanisms& disabled);

    /// Call when the local instance is another incarnation.
    void onNewIncarnation();
    /// Reads and applies the signals of a response. @param sent when its request was sent. @return the signals.
    InstanceSignals onResponse(const HttpResponse& response, const std::string& incarnation, TimePoint sent,
                               const std::string& request_id);
    /// An entry was told this limit before; it holds until a response says otherwise, if none has been read here yet.
    void onPeerNotice(double rate_limit, const std::string& incarnation, const std::string& request_id);

    /// Emitted when another rate limit, or none, has come into force by a signal.
    sigc::signal<void()>& signalRateLimitChanged() { return signal_rate_limit_changed_; }
    [[nodiscard]] const NamedRateLimit& rateLimit() const { return rate_limit_; }
    /// @return the number of rate limits named since the start that could not be used.
    [[nodiscard]] std::uint64_t invalidRateLimits() const { return invalid_rate_limits_; }
    /// @return the number of loads named since the start that could not be used.
    [[nodiscard]] std::uint64_t invalidLoads() const { return invalid_loads_; }
    /// @return the number of different headers in responses of the instance that nothing reads.
    [[nodiscard]] std::size_t unreadHeaders() const { return unread_headers_.count(); }

private:
    void onInvalidRateLimit(const HttpResponse& response, const std::string& incarnation);
    void onLoad(const InstanceSignals& signals, const HttpResponse& response, const std::string& incarnation);
    /// @param source name of the header that named the limit, "response" if none did, or "peer".
    void applyRateLimit(const std::string& incarnation, const std::string& request_id, const std::string& source);

    Clock& clock_;
    EventLog& log_;
    instance::LocalInstance& instance_;
    InstanceQueue& queue_;
    const HeaderNames& names_;
    DisabledMechanisms disabled_;
    UnreadHeaders unread_headers_;
    NamedRateLimit rate_limit_;
    sigc::signal<void()> signal_rate_limit_changed_;
    std::uint64_t invalid_rate_limits_ = 0;
    std::uint64_t invalid_loads_ = 0;
    bool has_logged_invalid_ = false;       ///< Rate limit of the current incarnation.
    bool has_logged_invalid_load_ = false;  ///< Load of the current incarnation.
};

}  // namespace dewcrank::relay
