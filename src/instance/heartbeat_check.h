/// @file
/// Verification of heartbeats that may be out of date.
///
/// A heartbeat can arrive seconds after it was sent, and several in a row can. A process that knows its sender's
/// incarnation orders it by its sequence number. One that does not, as it has just started, needs a proof that is later
/// than its own start: the incarnation may have announced its shutdown to the process before, or may have been
/// replaced. Neither the number of heartbeats nor the time between them is one.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "src/base/header_names.h"
#include "src/instance/local_instance.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/http_transport.h"

namespace dewcrank::instance {

struct HeartbeatCheckKnobs {
    Duration probe_timeout = 250ms;  ///< An instance without a response in this time cannot be asked.
    /// Exponential backoff from a probe without a usable response to the next one: a full instance rejects probes too.
    Duration min_retry_interval = 250ms;
    Duration max_retry_interval = 4s;
};

/// How a heartbeat has arrived.
struct HeartbeatArrival {
    bool is_known = false;  ///< Its incarnation is on record, so that it can be ordered.
    /// It came to the fresh address, which only responses of this process have named.
    bool is_at_fresh_address = false;
};

/// Passes on the heartbeats of one node's instance. One that says that it is ready, of an incarnation that this process
/// does not know, is passed on if either
/// - the instance at the address confirms it at its health path, or the service has no such path, or
/// - it came to the fresh address, later in the sequence than one whose response has named that: it was composed after
///   that response.
/// Until then the instance is asked again: at each further heartbeat if it says that it is leaving, which may be false,
/// and after increasing intervals if it says nothing.
///
/// Log events:
///   heartbeat_unconfirmed   a heartbeat is held back or dropped, since the instance has not confirmed it: `reason`
class HeartbeatCheck {
public:
    /// Receives the heartbeats that count.
    using Accept = std::function<void(const Heartbeat&)>;

    /// @param address of the instance, "ip:port".
    HeartbeatCheck(Clock& clock, EventLog& log, HttpTransport& instances, const HeaderNames& names, std::string address,
                   Accept accept, HeartbeatCheckKnobs knobs);

    /// The route table is known. @param path health path of the instance's service; empty if it has none.
    void onTable(std::string path);
    /// Calls `accept` inside this call, later, or never.
    void onHeartbeat(const Heartbeat& heartbeat, const HeartbeatArrival& arrival);
    /// @return whether the response to the heartbeat that came last shall name the fresh address: the instance has not
    /// confirmed its heartbeats.
    [[nodiscard]] bool namesFreshAddress() const { return is_unconfirmed_; }
    /// @return the number of probes sent since the start.
    [[nodiscard]] std::uint64_t probesSent() const { return probes_sent_; }

private:
    /// What the instance at the address says about itself.
    enum class Answer {
        kServing,  ///< It takes requests.
        kLeaving,  ///< It takes no further requests.
        kOther,    ///< It is another incarnation.
        kNoPath,   ///< It has no health path, and never says anything.
        kNone,     ///< It has no or no usable response at present.
    };
    void probe();
    void retryLater();
    [[nodiscard]] Answer answerOf(const AttemptResult& result) const;
    void onAnswer(Answer answer);
    /// Registers that the response to this heartbeat names the fresh address.
    void recordNaming(const Heartbeat& heartbeat);
    [[nodiscard]] bool isFresh(const Heartbeat& heartbeat) const;
    void accept(const Heartbeat& heartbeat);
    void logUnconfirmed(std::string_view reason) const;

    Clock& clock_;
    EventLog& log_;
    HttpTransport& instances_;
    HeaderNames names_;
    std::string address_;
    Accept accept_;
    HeartbeatCheckKnobs knobs_;
    std::optional<std::string> path_;  ///< Nothing until the table is known.
    std::optional<Heartbeat> held_;    ///< The newest one that waits for the table or for the probe.
    bool is_unconfirmed_ = false;      ///< The instance was asked, and has not confirmed its heartbeats.
    /// Incarnation whose heartbeats were told the fresh address, and the greatest sequence number of these.
    std::string named_to_;
    std::uint64_t named_at_ = 0;
    AttemptHandle probe_;
    TimerHandle retry_timer_;
    Duration retry_interval_;  ///< After the next probe without a usable response.
    std::uint64_t probes_sent_ = 0;
};

}  // namespace dewcrank::instance
