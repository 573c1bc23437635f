/// @file
/// Tells the other relays of the service which requests its instances ended with.
///
/// Each end of an instance is told to all of them at once, before callers can come again: they are the only
/// door to the instances that are left. Records are told again and again, to some relays at random, so that
/// one that was cut off or has just started has them within seconds. While nothing is quarantined nothing is sent.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/base/http_message.h"
#include "src/fleet/node_directory.h"
#include "src/ports/back_end_port.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"
#include "src/quarantine/quarantine.h"
#include "src/quarantine/run_tracker.h"

namespace dewcrank::quarantine {

/// Path of the exchange at a node's address.
inline constexpr std::string_view kExchangePath = "/fleet/quarantine";

/// Constants of the exchange.
struct ExchangeKnobs {
    Duration timeout = 600ms;
    /// Between two rounds while something is quarantined: with two relays told in each, one that has missed the
    /// news has it within 3 s in 399 of 400 cases.
    Duration interval = 1s;
    std::size_t fanout = 2;
    /// Relays that a relay asks for what they know when it first knows of any.
    std::size_t initial_requests = 2;
};

/// The exchange of one relay with the others of its service.
class Exchange {
public:
    Exchange(Clock& clock, RandomSource& random, EventLog& log, BackEndPort& nodes, fleet::NodeDirectory& directory,
             Quarantine& quarantine, std::string service, ExchangeKnobs knobs);

    void start();
    /// Tells all relays of the service.
    void broadcast(const CrashNotice& notice);
    /// Emitted when another relay tells that its instance has just ended by itself.
    sigc::signal<void()>& signalInstanceCrashed() { return signal_instance_crashed_; }
    /// Answers another relay's message.
    HttpAnswer handle(const HttpRequest& request);

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
    BackEndPort& nodes_;
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
