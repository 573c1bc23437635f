/// @file
/// The graceful shutdown of a node: when it begins, drains and ends, and what may still begin meanwhile.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "src/base/disabled_mechanisms.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"

namespace dewcrank::sidecar {

/// What a graceful shutdown needs of the owner of the node, who has the connections.
struct StopCallbacks {
    std::function<void()> drained;  ///< Called after the drain time: no further request may be passed to the node.
    std::function<bool()> has_delivered;  ///< @return whether the peers have received all replies.
    std::function<void()> done;           ///< Called once, when the shutdown has ended.
};

/// What it needs of the node.
struct StopSubject {
    std::function<std::size_t()> in_flight;  ///< @return the number of unfinished calls.
    std::function<void()> close;             ///< Rejects all further calls of other nodes.
    /// @return an event for each request that is unfinished, with its state; at most so many.
    std::function<std::vector<Event>(std::size_t limit)> describe_unfinished;
};

struct StopKnobs {
    /// A stopping node still accepts calls for this time, until callers have moved to other nodes.
    Duration drain_time = 2500ms;
    /// Maximum time from the start of the stop until the node has stopped, with or without calls in flight.
    Duration max_time = 5500ms;
    /// A stopping node begins a call only if its response is expected this long before the end.
    Duration margin = 200ms;
};

/// State machine of one shutdown. It ends once no call is in flight and all replies are delivered, or after the maximum
/// time.
///
/// Log events: `node_stopping`, `node_idle` and `request_unfinished`, as SidecarNode describes them.
class GracefulStop {
public:
    GracefulStop(Clock& clock, EventLog& log, StopSubject subject, const StopKnobs& knobs,
                 const DisabledMechanisms& disabled);

    /// Begins the shutdown. Must not be called twice.
    void start(StopCallbacks callbacks);
    [[nodiscard]] bool hasStarted() const { return started_.has_value(); }
    /// @return the latest deadline of runs at the instance. Valid after start().
    [[nodiscard]] TimePoint runDeadline() const;
    /// @param longest time that a call which begins now takes at most.
    /// @return whether it ends before the node does; true if no shutdown has begun.
    [[nodiscard]] bool leavesTimeFor(Duration longest) const;

private:
    void onDrained();
    void check();
    void logUnfinished() const;

    Clock& clock_;
    EventLog& log_;
    StopSubject subject_;
    const StopKnobs& knobs_;
    const DisabledMechanisms& disabled_;
    std::optional<TimePoint> started_;
    StopCallbacks callbacks_;
    TimerHandle timer_;
};

}  // namespace dewcrank::sidecar
