/// @file
/// Peer discovery: a starting node contacts its seed addresses, then the nodes in the store's list of contacts. Also
/// maintains this node's own entry in that list.
///
/// Contact with one other node is enough, since gossip then provides the other nodes and the table. Only a few nodes of
/// each zone are listed, and a start usually costs the store one stale read. If a whole fleet starts with an empty
/// store, random waits make sure that few nodes list themselves before the others read their entries.
#pragma once

#include <string>
#include <vector>

#include "src/fleet/gossip.h"
#include "src/fleet/node_directory.h"
#include "src/fleet/zone_ranking.h"
#include "src/ports/clock.h"
#include "src/ports/control_store.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"

namespace dewcrank::sidecar {

/// Constants of peer discovery.
struct PeerDiscoveryKnobs {
    /// Listed nodes per zone; more than one, so that a zone stays reachable when a contact fails.
    std::size_t contacts_per_zone = 2;
    /// Listed nodes contacted per round.
    std::size_t contacts_per_round = 3;
    /// Rounds before the list is read again, and the time between rounds. Long enough for contacts that are
    /// starting too.
    std::uint32_t rounds = 15;
    Duration round_interval = 100ms;
    /// Longest random wait of a node without contact before it lists itself; a few times the age of a stale list.
    Duration max_suppression_wait = 3s;
    /// Fleet size up to which the number of nodes that list themselves at a simultaneous start stays constant. A
    /// greater value makes nodes of small fleets wait longer.
    double max_fleet_size = 5'000;
    /// Time between checks whether this node should be listed. A node lists itself after so many positive checks in
    /// a row, since a starting node has a record of few others.
    Duration check_interval = 1s;
    std::uint32_t checks_before_listing = 3;
    /// Exponential backoff between calls to the store.
    Duration min_backoff = 200ms;
    Duration max_backoff = 5s;
};

/// Random wait of a node without contact. The density of the waits grows exponentially up to max_suppression_wait, so
/// that in a fleet of any size only a few nodes are much earlier than the others (feedback suppression with exponential
/// timers, Nonnenmacher and Biersack, "Scalable feedback for large groups", 1999).
/// @param uniform random number in [0, 1).
Duration suppressionWait(double uniform, const PeerDiscoveryKnobs& knobs);

/// Contacts other nodes until one of them has been in contact, whichever node began, and checks periodically whether
/// this node should be listed.
/// Invariant: a node that lists itself reads the list afterwards. So of two partitions of a fleet that started
/// separately, at least one discovers the other.
///
/// Log events:
///   nodes_listed     the store's list was read; it has `count` nodes
///   contact_listed   this node has listed itself
///   fleet_joined     discovery has ended with `known` other nodes; 0: this node is alone
///   store_failed     reading the list (`step=list`) or listing this node (`step=announce`) has failed
class PeerDiscovery {
public:
    /// @param seeds addresses ("ip:port") of other nodes; may be out of date.
    PeerDiscovery(Clock& clock, RandomSource& random, EventLog& log, ControlStore& store,
                  fleet::NodeDirectory& directory, fleet::Gossip& gossip, const PeerDiscoveryKnobs& knobs,
                  std::vector<std::string> seeds);
    void start();
    /// Removes this node from the store's list, before it shuts down for good.
    void withdraw();
    /// @return true once another node has been in contact, or the list has shown that there is none.
    [[nodiscard]] bool isJoined() const { return is_alone_ || directory_.lastContact().has_value(); }

private:
    /// Steps of a node without contact, in this order; the last one is repeated.
    enum class Step {
        kStaleList,             ///< Contacts the nodes of a stale list.
        kStaleListAfterWait,    ///< The same after the suppression wait.
        kNewestList,            ///< Contacts the nodes of a linearizable list, then lists this node.
        kListAfterListingSelf,  ///< Contacts the nodes listed before or at the same time as this node.
        kPeriodicList           ///< This node is alone: reads stale lists with backoff.
    };
    void contactSeeds();
    void runStep(Step step);
    void scheduleStep(Step step, Duration wait);
    void onNodesListed(Step step, const std::optional<std::vector<NodeAddress>>& nodes);
    void addListed(const std::vector<NodeAddress>& nodes);
    std::vector<NodeAddress> sampleListed();
    void contactListed(Step step, std::uint32_t rounds);
    void onContactsTried(Step step);
    void checkListing();
    void listSelf();
    void contactOthers();
    Duration nextBackoff();

    Clock& clock_;
    RandomSource& random_;
    EventLog& log_;
    ControlStore& store_;
    fleet::NodeDirectory& directory_;
    fleet::Gossip& gossip_;
    fleet::ZoneRanking ranking_;
    const PeerDiscoveryKnobs& knobs_;
    std::vector<std::string> seeds_;
    std::vector<NodeAddress> listed_;  ///< Other nodes in the store's list, as last read.
    Duration backoff_;
    bool is_alone_ = false;              ///< This node is listed, and no other node was reachable.
    bool is_listed_ = false;             ///< This process has listed itself.
    std::uint32_t positive_checks_ = 0;  ///< Consecutive checks at which this node should be listed.
    TimerHandle step_timer_;
    TimerHandle listing_timer_;
};

}  // namespace dewcrank::sidecar
