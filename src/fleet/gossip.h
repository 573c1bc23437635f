/// @file
/// Spreads records and the table between nodes: changes as rumors, which each receiver to which
/// they are news passes on, and an anti-entropy exchange with one random node on a timer, which
/// finds what rumors have missed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/base/http_message.h"
#include "src/base/disabled_mechanisms.h"
#include "src/fleet/node_directory.h"
#include "src/fleet/rumor_queue.h"
#include "src/policy/route_table.h"
#include "src/policy/table_lease.h"
#include "src/ports/http_transport.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"

namespace dewcrank::fleet {

/// Path of the exchange at a node's address.
inline constexpr std::string_view kGossipPath = "/fleet/gossip";

/// Constants of the exchange.
struct GossipKnobs {
    Duration interval = 700ms;
    Duration timeout = 600ms;
    RumorKnobs rumors;
    Duration rumor_interval = 100ms;  ///< Between two rounds while there is something to tell.
    std::size_t rumor_fanout = 2;     ///< Nodes that are told in a round.
    std::size_t table_fanout = 3;     ///< Nodes that are told of a new table before its first round.
    std::size_t first_fanout = 8;     ///< The same for the first round of a node's own change.
    std::size_t most_records = 64;    ///< In a message.
    /// Nodes, at random, with which a starting node exchanges all.
    std::size_t first_exchanges = 4;
    /// Nodes that are asked for the table at the same time: it is large, and one may be dead.
    std::size_t most_table_requests = 3;
    DisabledMechanisms disabled;  ///< Tests only.
};

/// The exchange of one node with all others.
class Gossip {
public:
    Gossip(Clock& clock, RandomSource& random, EventLog& log, HttpTransport& nodes, NodeDirectory& directory,
           policy::RouteTable& table, policy::TableLease& lease, GossipKnobs knobs);

    void start();
    /// Answers another node's message.
    HttpResponse handle(const HttpRequest& request);
    /// Makes this node known, and learns from some of those that it knows.
    void introduceSelf();
    /// Asks some nodes how fresh their tables are.
    void askForTableAge(std::size_t nodes);
    /// Asks whoever answers at an address who it is, and exchanges all with it. `done` is called once, with whether
    /// another node has answered in time.
    void contact(const std::string& address, std::function<void(bool)> done);
    /// Exchanges all with one node now, unless an exchange with it is under way.
    void exchangeWith(const std::string& name);
    /// The store has told its era, here or to another node.
    void onStoreEra(std::uint64_t era);
    /// Emitted when the store is known to have come back from an older copy, at each node once for each time.
    sigc::signal<void()>& signalStoreReturned() { return signal_store_returned_; }
    [[nodiscard]] std::uint64_t storeEra() const { return store_era_; }
    /// A node has told its table's version, here or beside a call.
    void onTableVersionSeen(const std::string& name, std::uint64_t version);
    /// Asks one node for a sign of life. `done` is called once, with whether it answered in time;
    /// the directory has been told by then.
    void probe(const std::string& name, Duration timeout, std::function<void(bool)> done);

private:
    using Sent = std::function<void(const wire::Gossip*)>;
    void scheduleNext();
    Duration spreadOut(Duration interval);
    void tick();
    void spread(const std::string& name, std::size_t fanout, Duration wait);
    void spreadTable();
    void tellRumors();
    void tell(const std::string& node, const std::vector<std::string>& names);
    void onTold(const std::vector<std::string>& names, const wire::Gossip* answer);
    [[nodiscard]] wire::Gossip message() const;
    void send(const std::string& name, const wire::Gossip& message, Sent done);
    void send(const std::string& name, const wire::Gossip& message, Duration timeout, Sent done);
    void sendTo(const std::string& address, const std::string& name, const wire::Gossip& message, Duration timeout,
                Sent done);
    void onAnswer(const std::string& name, TimePoint sent, const AttemptResult& result, const Sent& done);
    void settleAddress(const std::string& former, const std::string& latter);
    void mergeAll(const wire::Gossip& message, wire::Gossip* reply);
    void sendDigest(const std::string& name);
    void sendWanted(const std::string& name, const wire::Gossip& answer);
    void adopt(const wire::RouteTable& table, const std::string& from);
    std::vector<std::string> randomNodes(std::size_t most);
    void exchangeEnded(const std::string& name);

    Clock& clock_;
    RandomSource& random_;
    EventLog& log_;
    HttpTransport& nodes_;
    NodeDirectory& directory_;
    policy::RouteTable& table_;
    policy::TableLease& lease_;
    GossipKnobs knobs_;
    std::set<std::string> exchanging_;
    std::set<std::string> asked_for_table_;  ///< Part of the former; most_table_requests at most.
    std::map<std::uint64_t, AttemptHandle> in_flight_;
    std::uint64_t last_number_ = 0;
    RumorQueue rumors_;
    std::uint64_t store_era_ = 0;  ///< The greatest that is known; 0: none.
    sigc::signal<void()> signal_store_returned_;
    std::size_t fanout_ = 0;  ///< Of the next round; 0 while none is due.
    TimerHandle tick_timer_;
    TimerHandle rumor_timer_;
};

}  // namespace dewcrank::fleet
