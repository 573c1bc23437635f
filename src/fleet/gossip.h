/// @file
/// Replicates node records and the route table between all nodes. Changes spread as rumors, which each receiver that
/// did not have them forwards; a periodic anti-entropy exchange with a random node delivers what rumors have missed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/base/disabled_mechanisms.h"
#include "src/base/http_message.h"
#include "src/fleet/node_directory.h"
#include "src/fleet/rumor_queue.h"
#include "src/policy/route_table.h"
#include "src/policy/table_lease.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/http_transport.h"
#include "src/ports/random_source.h"
#include "src/ports/reconnecting_sender.h"

namespace dewcrank::fleet {

/// Path at a node's address that receives `wire::Gossip` messages.
inline constexpr std::string_view kGossipPath = "/fleet/gossip";

struct GossipKnobs {
    Duration interval = 700ms;           ///< Mean time between two anti-entropy exchanges.
    Duration timeout = 600ms;            ///< Timeout of a message that expects a response.
    RumorKnobs rumors;                   ///< When a rumor is dropped.
    Duration rumor_interval = 100ms;     ///< Mean time between two rounds while rumors are queued.
    std::size_t rumor_fanout = 2;        ///< Number of receivers of a round.
    std::size_t table_fanout = 3;        ///< Number of receivers of a new table's version, ahead of its first round.
    std::size_t self_change_fanout = 8;  ///< Number of receivers of the first round after a change of the own record.
    std::size_t max_records = 64;        ///< Maximum number of records in a rumor message.
    std::size_t initial_exchanges = 4;   ///< Number of random nodes that a starting node exchanges directories with.
    std::size_t max_table_requests = 3;  ///< Concurrent requests for the table, which is large; a node may be down.
    DisabledMechanisms disabled;         ///< Tests only.
};

/// Gossip protocol of one node: sends and receives `wire::Gossip`, and merges it into the directory, the table and the
/// table's lease.
///
/// Log events:
///   node_displaced   a node has responded at the address of another one, `peer`
///   table_adopted    a newer table was received from the node `from`
///   store_returned   a greater era of the store became known
///   gossip_refused   a received message could not be parsed
///   gossip_unanswered   a message to `peer` has no response after `waited_ms`, sent on a `connection` that is new or
///   idle
class Gossip {
public:
    Gossip(Clock& clock, RandomSource& random, EventLog& log, HttpTransport& nodes, NodeDirectory& directory,
           policy::RouteTable& table, policy::TableLease& lease, GossipKnobs knobs);

    /// Starts the periodic anti-entropy exchange.
    void start();
    /// Merges another node's message. @return the response: 200 with a `wire::Gossip` body, or 400 if unparsable.
    HttpResponse handle(const HttpRequest& request);
    /// Spreads this node's own record, and exchanges directories with `initial_exchanges` random nodes.
    void announceSelf();
    /// Contacts whatever node listens at an address, and starts an exchange with it.
    /// @param done called once: true if a node other than this one has responded in time.
    void contact(const std::string& address, std::function<void(bool)> done);
    /// Starts an anti-entropy exchange with a node unless one is in progress.
    void exchangeWith(const std::string& name);
    /// Records an era of the store that was read from the store or received from a node.
    void onStoreEra(std::uint64_t era);
    /// Emitted once for each increase of a known store era: the store was restored from an older copy.
    sigc::signal<void()>& signalStoreRestored() { return signal_store_restored_; }
    /// Emitted with leaves of the local instance that earlier processes of this node have recorded.
    sigc::signal<void(const std::vector<wire::InstanceLeave>&)>& signalLeavesRecovered() {
        return signal_leaves_recovered_;
    }
    /// Sends the own record to other nodes, and waits until they have it as it is now.
    /// @param copies number of them; fewer suffice if fewer are known.
    /// @param done called once, also if `limit` has passed.
    void awaitCopies(std::size_t copies, Duration limit, std::function<void()> done);
    /// The greatest known era of the store; 0 if none is known.
    [[nodiscard]] std::uint64_t storeEra() const { return store_era_; }
    /// Records a node's table version, from gossip or call metadata, and requests the table if it is newer.
    void onTableVersionSeen(const std::string& name, std::uint64_t version);
    /// Checks whether a node responds; the response reports the age of its table. An unknown name is ignored.
    /// @param done called once, after the directory was updated: true if the node itself has responded in time.
    void probe(const std::string& name, Duration timeout, std::function<void(bool)> done);
    /// Probes a random node that is not suspected. @param done called at once with false if there is none.
    void probeRandom(Duration timeout, const std::function<void(bool)>& done);

private:
    /// Receives the response; null if there is none, or another node has responded.
    using OnResponse = std::function<void(const wire::Gossip*)>;
    void scheduleNext();
    Duration jitter(Duration interval);
    void tick();
    void queueRumor(const std::string& name, std::size_t fanout, Duration wait);
    void pushTable();
    void sendRumorRound();
    void sendRumors(const std::string& node, const std::vector<std::string>& names);
    void onRumorResponse(const std::vector<std::string>& names, const wire::Gossip* response);
    void onSelfCopied(const std::string& node, std::uint64_t sequence);
    void endCopyWait(std::uint64_t id);
    void addFormerLeaves(const std::string& receiver, wire::Gossip* message) const;
    [[nodiscard]] wire::Gossip makeMessage() const;
    void send(const std::string& name, const wire::Gossip& message, OnResponse done);
    void send(const std::string& name, const wire::Gossip& message, Duration timeout, OnResponse done);
    void sendTo(const std::string& address, const std::string& name, const wire::Gossip& message, Duration timeout,
                OnResponse done);
    void onResponse(const std::string& name, TimePoint sent, const AttemptResult& result, const OnResponse& done);
    void logUnanswered(const std::string& name, TimePoint sent, const AttemptResult& result);
    void resolveAddressConflict(const std::string& previous, const std::string& claimant);
    void mergeMessage(const wire::Gossip& message, wire::Gossip* reply);
    void sendDigest(const std::string& name);
    void sendRequested(const std::string& name, const wire::Gossip& response);
    void adoptTable(const wire::RouteTable& table, const std::string& from);
    /// Requests the table of a node if it is newer than the own one.
    void fetchIfNewer(const std::string& name, std::uint64_t version);
    std::vector<std::string> randomNodes(std::size_t limit);
    void onExchangeEnded(const std::string& name);

    Clock& clock_;
    RandomSource& random_;
    EventLog& log_;
    ReconnectingSender nodes_;  ///< All messages are idempotent.
    NodeDirectory& directory_;
    policy::RouteTable& table_;
    policy::TableLease& lease_;
    GossipKnobs knobs_;
    std::set<std::string> exchanging_;      ///< Nodes with an exchange in progress.
    std::set<std::string> table_requests_;  ///< Nodes with a request for the table; at most max_table_requests.
    std::map<std::uint64_t, AttemptHandle> in_flight_;  ///< Messages without a response yet, by attempt id.
    std::uint64_t last_attempt_id_ = 0;
    /// A caller of awaitCopies().
    struct CopyWait {
        std::uint64_t sequence = 0;   ///< Of the record that is to be copied.
        std::size_t copies = 0;       ///< Number of nodes that shall have it.
        std::set<std::string> nodes;  ///< Those that have it.
        std::function<void()> done;
        TimerHandle limit_timer;
    };
    std::map<std::uint64_t, CopyWait> copy_waits_;  ///< By an increasing id.
    std::uint64_t last_copy_wait_ = 0;
    RumorQueue rumors_;
    std::uint64_t store_era_ = 0;  ///< The greatest known era of the store; 0 if none is known.
    sigc::signal<void()> signal_store_restored_;
    sigc::signal<void(const std::vector<wire::InstanceLeave>&)> signal_leaves_recovered_;
    std::size_t next_fanout_ = 0;  ///< Number of receivers of the next rumor round; 0 while none is scheduled.
    TimerHandle tick_timer_;
    TimerHandle rumor_timer_;
};

}  // namespace dewcrank::fleet
