/// @file
/// State of the application instance that is co-located with a node, derived from its heartbeats.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "proto/generated/fleet.pb.h"
#include "src/base/time.h"
#include "src/ports/clock.h"

namespace dewcrank::instance {

/// One heartbeat of an instance.
struct Heartbeat {
    std::string id;              ///< Id of the instance; most instances use a new one after each start.
    std::uint64_t start_ms = 0;  ///< Unix time of the start in ms, by the clock of its host; 0 if not reported.
    std::string service;
    std::uint32_t slots = 0;  ///< Requests that the instance runs at once.
    bool is_draining = false;
    std::uint64_t sequence = 0;  ///< Increases with each heartbeat of one incarnation.
    Duration cold_left{};        ///< Time until the instance is warmed up.
};

/// Name of one incarnation of an instance: its id and, if known, its start time. Used in logs and as a key, since
/// several incarnations may share an id.
std::string incarnationName(const std::string& id, std::uint64_t start_ms);
std::string incarnationName(const wire::InstanceRecord& record);

/// Most incarnations whose leaves a node reports to others. An incarnation lives for seconds at least, and its messages
/// are delayed by seconds.
inline constexpr std::size_t kMaxReportedLeaves = 8;

/// Tracks the one instance co-located with the node. Each start of an instance is an incarnation (id, start time).
/// Invariants: an older heartbeat never overrides a newer one of the same incarnation, and an incarnation that has
/// left never returns, nor does one that is leaving become ready again. Of two incarnations the one with the later
/// start time is current, since both use the same address; without start times it is the one received last.
class LocalInstance {
public:
    /// @param contact_timeout time without heartbeat and response after which the state becomes unknown.
    LocalInstance(Clock& clock, Duration contact_timeout);

    /// @return whether the incarnation is on record, so that its heartbeats can be ordered.
    [[nodiscard]] bool knows(const std::string& id, std::uint64_t start_ms) const {
        return incarnations_.contains({id, start_ms});
    }
    /// @return false if the heartbeat is outdated and was ignored.
    bool onHeartbeat(const Heartbeat& heartbeat);
    /// The instance has announced its shutdown. @param start_ms start time of the incarnation that leaves; 0 if
    /// unknown.
    void onLeave(const std::string& id, std::uint64_t start_ms = 0);
    /// The instance has said in a response that it is leaving: it counts as draining, whatever its heartbeats say.
    /// @return whether that is new.
    bool onLeaving();
    /// The instance could not be reached: its state is unknown until its next heartbeat or response.
    void onUnreachable();
    /// The instance has responded to a request: restarts the contact timeout.
    void onResponse() { last_contact_ = clock_.now(); }
    /// The current incarnation has responded to a request. It is ready again if its state was unknown.
    void onReachable();
    /// @return when a heartbeat or a response arrived last.
    [[nodiscard]] TimePoint lastContact() const { return last_contact_; }
    /// The host has resumed from suspension: restarts the contact timeout, as nothing could arrive meanwhile.
    void onHostResumed();
    /// Takes over the leaves that an earlier process of this node has acknowledged.
    /// @return whether any of them was unknown here.
    bool restoreLeaves(const std::vector<wire::InstanceLeave>& leaves);
    /// @return the incarnations that have announced their shutdown, the latest last; at most kMaxReportedLeaves.
    [[nodiscard]] std::vector<wire::InstanceLeave> leaves() const;

    /// Another instance than `expected` has responded at the address: `expected` counts as gone.
    void onMisdirected(const std::string& expected);

    /// The current incarnation as it is sent to other nodes.
    [[nodiscard]] const wire::InstanceRecord& record() const { return record_; }
    /// Number of incarnations with a record here, including the current one.
    [[nodiscard]] std::size_t knownIncarnations() const { return incarnations_.size(); }
    [[nodiscard]] bool isUnknown() const { return record_.state() == wire::INSTANCE_UNKNOWN; }
    [[nodiscard]] bool isReady() const { return record_.state() == wire::INSTANCE_READY; }
    /// @return whether calls for the instance `id` may be sent to the address.
    [[nodiscard]] bool acceptsCallsFor(const std::string& id) const { return isReady() && record_.id() == id; }

    /// Emitted after each change of id, state, slots or service.
    sigc::signal<void()>& signalChanged() { return signal_changed_; }
    /// Emitted after each change of leaves().
    sigc::signal<void()>& signalLeavesChanged() { return signal_leaves_changed_; }

private:
    using Incarnation = std::pair<std::string, std::uint64_t>;  ///< Id and start time in ms.
    /// Last reported state of a current or former incarnation.
    struct IncarnationState {
        std::uint64_t sequence = 0;           ///< Sequence number of its newest heartbeat.
        bool has_left = false;                ///< Later heartbeats are ignored.
        bool is_leaving = false;              ///< Later heartbeats cannot make it ready again.
        std::uint64_t last_use = 0;           ///< The entry with the lowest value is evicted first.
        std::optional<TimePoint> first_seen;  ///< Set while an earlier start time delays the replacement.
    };
    /// Records that an incarnation is leaving, or has left. @return whether that is new.
    static bool recordLeave(IncarnationState* state, bool has_left);
    bool restoreLeave(const wire::InstanceLeave& leave);
    IncarnationState& stateOf(const Incarnation& incarnation);
    [[nodiscard]] Incarnation current() const { return {record_.id(), record_.born_ms()}; }
    bool replacesCurrent(const Incarnation& incarnation, IncarnationState* state);
    void setState(wire::InstanceState state);
    void startContactTimer();

    Clock& clock_;
    Duration contact_timeout_;
    wire::InstanceRecord record_;
    std::map<Incarnation, IncarnationState> incarnations_;  ///< At most kMaxIncarnations.
    std::uint64_t last_use_ = 0;
    TimePoint last_contact_{};
    TimerHandle contact_timer_;
    sigc::signal<void()> signal_changed_;
    sigc::signal<void()> signal_leaves_changed_;
};

}  // namespace dewcrank::instance
