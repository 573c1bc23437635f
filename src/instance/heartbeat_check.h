/// @file
/// Verification of heartbeats that may be out of date.
///
/// A heartbeat can arrive seconds after it was sent. A process that knows its sender's incarnation orders it by its
/// sequence number. One that does not, as it has just started, asks the instance itself: the incarnation may have
/// announced its shutdown to the process before, or may have been replaced.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "src/base/header_names.h"
#include "src/instance/local_instance.h"
#include "src/ports/clock.h"
#include "src/ports/http_transport.h"

namespace dewcrank::instance {

struct HeartbeatCheckKnobs {
    Duration probe_timeout = 250ms;  ///< An instance without a response in this time cannot be asked.
    /// Heartbeats that were delayed arrive together: a further one after this time shows that the instance still sends
    /// them.
    Duration min_interval = 1s;
};

/// Passes on the heartbeats of one node's instance, of which those of unknown incarnations that say that they are ready
/// only if the instance at the address confirms them. They are passed on unverified if the instance cannot be asked.
class HeartbeatCheck {
public:
    /// Receives the heartbeats that count.
    using Accept = std::function<void(const Heartbeat&)>;

    /// @param address of the instance, "ip:port".
    HeartbeatCheck(Clock& clock, HttpTransport& instances, const HeaderNames& names, std::string address, Accept accept,
                   HeartbeatCheckKnobs knobs);

    /// The route table is known. @param path health path of the instance's service; empty if it has none.
    void onTable(std::string path);
    /// Calls `accept` inside this call, later, or never.
    /// @param is_known whether the incarnation is on record: its heartbeats can be ordered.
    void onHeartbeat(const Heartbeat& heartbeat, bool is_known);
    /// @return the number of probes sent since the start.
    [[nodiscard]] std::uint64_t probesSent() const { return probes_sent_; }

private:
    /// What the instance at the address says about itself.
    enum class Answer {
        kServing,  ///< It takes requests.
        kLeaving,  ///< It takes no further requests.
        kOther,    ///< It is another incarnation.
        kNone,     ///< It has no or no usable response.
    };
    void probe();
    [[nodiscard]] Answer answerOf(const AttemptResult& result) const;
    void onAnswer(Answer answer);
    void accept();

    Clock& clock_;
    HttpTransport& instances_;
    HeaderNames names_;
    std::string address_;
    Accept accept_;
    HeartbeatCheckKnobs knobs_;
    std::optional<std::string> path_;  ///< Nothing until the table is known.
    std::optional<Heartbeat> held_;    ///< The newest one that waits for the table or for the probe.
    /// Incarnation that has said that it is leaving, though its heartbeat says that it is ready.
    std::string contradicted_;
    TimePoint contradicted_at_{};
    AttemptHandle probe_;
    std::uint64_t probes_sent_ = 0;
};

}  // namespace dewcrank::instance
