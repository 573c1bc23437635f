/// @file
/// Replicates quarantine records and suspects among the relays of one service.
///
/// A crash is broadcast to all relays at once, so that they recognize client retries of the requests involved. Records
/// are also gossiped periodically to random relays, which covers relays that were unreachable or have just started.
/// No gossip is sent while there are no records.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/base/http_message.h"
#include "src/fleet/node_directory.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/http_transport.h"
#include "src/ports/random_source.h"
#include "src/ports/reconnecting_sender.h"
#include "src/quarantine/quarantine.h"
#include "src/quarantine/run_tracker.h"

namespace dewcrank::quarantine {

/// Path of the exchange at a node's address.
inline constexpr std::string_view kExchangePath = "/fleet/quarantine";

/// Constants of the exchange.
struct ExchangeKnobs {
    Duration timeout = 600ms;  ///< Time within which a message needs a response.
    /// Time between gossip rounds. With two relays per round, a relay that has missed a record has it within 3 s in 399
    /// of 400 cases.
    Duration interval = 1s;
    std::size_t fanout = 2;            ///< Relays per gossip round.
    std::size_t initial_requests = 2;  ///< Relays from which a relay requests records and suspects after its start.
};

/// Sends and receives the quarantine messages of one relay. Log events: `quarantine_learned` when a received record is
/// new here, `quarantine_refused` when a message cannot be parsed.
class Exchange {
public:
    Exchange(Clock& clock, RandomSource& random, EventLog& log, HttpTransport& nodes, fleet::NodeDirectory& directory,
             Quarantine& quarantine, std::string service, ExchangeKnobs knobs);

    /// Starts periodic gossip.
    void start();
    /// Sends all records and the suspects of a crash to all other relays of the service.
    void broadcast(const CrashNotice& notice);
    /// Emitted when another relay reports that its instance has just crashed.
    sigc::signal<void()>& signalInstanceCrashed() { return signal_instance_crashed_; }
    /// Merges another relay's message. The response holds this relay's records, which of the received requests have
    /// recently completed here, and, on request, the suspects; its status is 400 if the message cannot be parsed.
    HttpResponse handle(const HttpRequest& request);

private:
    [[nodiscard]] wire::Quarantine message() const;
    [[nodiscard]] std::vector<std::string> relays() const;
    [[nodiscard]] std::vector<std::string> randomRelays(std::size_t count);
    void gossip();
    void requestInitialState();
    void merge(const wire::Quarantine& message);
    void send(const std::string& name, const wire::Quarantine& message);
    void onResponse(const std::string& name, const AttemptResult& result);

    Clock& clock_;
    RandomSource& random_;
    EventLog& log_;
    ReconnectingSender nodes_;  ///< A notice may arrive twice.
    fleet::NodeDirectory& directory_;
    Quarantine& quarantine_;
    std::string service_;
    ExchangeKnobs knobs_;
    sigc::signal<void()> signal_instance_crashed_;
    bool has_requested_state_ = false;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, AttemptHandle> in_flight_;
    TimerHandle timer_;
};

}  // namespace dewcrank::quarantine
