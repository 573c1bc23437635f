/// @file
/// Applies what failed connections and responses tell about the local instance: whether it is reachable, and how many
/// requests may run there at once.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "src/instance/local_instance.h"
#include "src/instance/reachability.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/http_transport.h"
#include "src/relay/connection_limit.h"
#include "src/relay/instance_queue.h"

namespace dewcrank::relay {

/// Sets the state of the local instance to unknown if it is unreachable, and the limit of the queue: the least of the
/// slots, the connection limit and the slow start. The latter two exist only after a connection has failed or the
/// instance was unknown.
///
/// Log events:
///   connection_refused    the instance accepts no further connection at present; at most once a second
class ConnectionControl {
public:
    /// @param runs returns the number of requests that run at the instance or are being sent to it.
    ConnectionControl(Clock& clock, EventLog& log, HttpTransport& instances, instance::LocalInstance& instance,
                      InstanceQueue& queue, std::string address, std::function<std::size_t()> runs);

    /// The instance is ready. @param slots requests that it may run at once.
    void onReady(std::uint32_t slots);
    /// The state of the instance has become unknown: the connections to it are not used any more.
    void onUnknown();
    /// Another incarnation is current.
    void onNewIncarnation() { forgetFailures(); }
    /// The current incarnation has responded.
    void onResponse();
    /// A connection could not be opened. May set the state of the instance to unknown.
    /// @param failure without `others` and `usual_time`.
    void onConnectionFailed(instance::ConnectionFailure failure);

private:
    void forgetFailures();
    void lowerLimit(std::size_t open);
    void judge();
    void applyVerdict(instance::Reachability::Verdict verdict);
    void startVerdictTimer();
    void startRaiseTimer();
    void onRaiseDue();
    void applyLimit();
    void logRefused(std::size_t others);

    Clock& clock_;
    EventLog& log_;
    HttpTransport& instances_;
    instance::LocalInstance& instance_;
    InstanceQueue& queue_;
    std::string address_;
    std::function<std::size_t()> runs_;
    std::uint32_t slots_ = 0;
    bool was_unknown_ = false;  ///< Since it was ready last.
    instance::Reachability reachability_;
    ConnectionLimit limit_{{}};
    SlowStart slow_start_;
    TimePoint logged_at_{};
    std::uint64_t refused_since_ = 0;  ///< Connections that failed since the last line in the log.
    TimerHandle verdict_timer_;
    TimerHandle raise_timer_;
};

}  // namespace dewcrank::relay
