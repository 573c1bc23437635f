/// @file
/// A node's use of the platform's store: peer discovery, then watching the route table.
#pragma once

#include "src/sidecar/peer_discovery.h"
#include "src/sidecar/settings.h"
#include "src/sidecar/table_watcher.h"

namespace dewcrank::sidecar {

/// Starts peer discovery, and the table watcher once discovery has ended: which nodes watch depends on the known nodes.
class StoreSession {
public:
    StoreSession(Clock& clock, RandomSource& random, EventLog& log, ControlStore& store,
                 fleet::NodeDirectory& directory, fleet::Gossip& gossip, policy::RouteTable& table,
                 policy::TableLease& lease, const Settings& settings)
        : clock_(clock),
          discovery_(clock, random, log, store, directory, gossip, settings.knobs.peer_discovery, settings.seeds),
          watcher_(clock, random, log, store, directory, gossip, table, lease, settings.knobs.table_watcher,
                   settings.knobs.table_refresher) {}

    void start() {
        discovery_.start();
        awaitJoined();
    }
    /// Removes this node from the store's list, before it shuts down for good.
    void withdraw() { discovery_.withdraw(); }
    /// @return true once another node has been in contact, or the list has shown that there is none.
    [[nodiscard]] bool isJoined() const { return discovery_.isJoined(); }

private:
    static constexpr Duration kJoinCheckInterval = 50ms;

    void awaitJoined() {
        if (isJoined()) {
            watcher_.start();
        } else {
            timer_ = clock_.startTimer(kJoinCheckInterval, [this] { awaitJoined(); });
        }
    }

    Clock& clock_;
    PeerDiscovery discovery_;
    TableWatcher watcher_;
    TimerHandle timer_;
};

}  // namespace dewcrank::sidecar
