/// @file
/// The instance beside a node, as its heartbeats tell it.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "proto/generated/fleet.pb.h"
#include "src/base/time.h"
#include "src/ports/clock.h"

namespace dewcrank::instance {

/// One heartbeat.
struct Heartbeat {
    std::string id;             ///< Mostly new with each start of the instance.
    std::uint64_t born_ms = 0;  ///< Unix time of that start, by its machine's clock; 0: it does not say.
    std::string service;
    std::uint32_t slots = 0;
    bool is_draining = false;
    std::uint64_t sequence = 0;  ///< Rises with each call of this life of the instance.
    Duration cold_left{};        ///< How much longer it is slow from its start.
};

/// The name of one life of an instance, for logs and for what is kept by life: several may have the same id.
std::string incarnationName(const wire::InstanceRecord& record);

/// Aggregate: what is known of the one instance beside the node. What an acknowledged heartbeat has said is never taken
/// back by a later arrival of an earlier one; a life of an instance that has left never returns. Of two lives the one
/// that started later is the present one, whatever their ids and counts: the former has ended, as both have the same
/// address. Where starts are not told, the last one heard is.
class LocalInstance {
public:
    /// @param longest_silence without heartbeat and answer, after which it counts as unknown.
    LocalInstance(Clock& clock, Duration longest_silence);

    /// @return false if the heartbeat is older than what is known.
    bool onHeartbeat(const Heartbeat& heartbeat);
    void onLeave(const std::string& id, std::uint64_t born_ms = 0);
    /// It could not be reached: unknown until its next heartbeat.
    void onUnreachable();
    /// It has answered.
    void onAnswered() { last_heard_ = clock_.now(); }
    /// The machine was suspended: neither heartbeats nor answers could come.
    void onWoken();
    /// Another instance than `expected` has answered at the address.
    void onMisdirected(const std::string& expected);

    [[nodiscard]] const wire::InstanceRecord& record() const { return record_; }
    /// Lives that it knows something of, the present one included.
    [[nodiscard]] std::size_t knownIncarnations() const { return known_lives_.size(); }
    [[nodiscard]] bool isReady() const { return record_.state() == wire::INSTANCE_READY; }
    [[nodiscard]] bool takesCallsFor(const std::string& id) const { return isReady() && record_.id() == id; }

    /// Emitted after each change.
    sigc::signal<void()>& signalChanged() { return signal_changed_; }

private:
    /// A start of an instance: its id, and when it was.
    using Life = std::pair<std::string, std::uint64_t>;
    /// What is known of a life, past ones included.
    struct Past {
        std::uint64_t sequence = 0;
        bool is_gone = false;
        std::uint64_t touched = 0;               ///< Numbers what was told last; the least is forgotten first.
        std::optional<TimePoint> waiting_since;  ///< It seems earlier than the present life, which has ended.
    };
    Past& pastOf(const Life& life);
    [[nodiscard]] Life present() const { return {record_.id(), record_.born_ms()}; }
    bool succeeds(const Life& life, Past* past);
    void setState(wire::InstanceState state);
    void watchSilence();

    Clock& clock_;
    Duration longest_silence_;
    wire::InstanceRecord record_;
    std::map<Life, Past> known_lives_;  ///< kMostLives at most.
    std::uint64_t last_touch_ = 0;
    TimePoint last_heard_{};
    TimerHandle silence_timer_;
    sigc::signal<void()> signal_changed_;
};

}  // namespace dewcrank::instance
