/// @file
/// A node's dealings with the platform's store: makes itself known, learns of the others, and
/// follows the table.
#pragma once

#include "src/fleet/gossip.h"
#include "src/fleet/node_directory.h"
#include "src/policy/route_table.h"
#include "src/ports/clock.h"
#include "src/ports/control_store.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"
#include "src/sidecar/settings.h"

namespace dewcrank::sidecar {

/// Two chains of calls, each with one call under way: announce, then list; read, then watch. Where keys are bound to a
/// lease the table is read when that needs it, by few nodes for all, and one node of each zone watches it, so that a
/// change is known at once: the others hear of it within a few rounds of rumors.
class StoreSession {
public:
    StoreSession(Clock& clock, RandomSource& random, EventLog& log, ControlStore& store,
                 fleet::NodeDirectory& directory, fleet::Gossip& gossip, policy::RouteTable& table,
                 policy::TableLease& lease, const Knobs& knobs);
    void start();
    /// Takes this node off the store's list; it is not coming back.
    void withdraw();
    /// True once the list of nodes has been read.
    [[nodiscard]] bool hasList() const { return has_list_; }

private:
    void announce();
    void list();
    void onList(const std::vector<NodeAddress>& nodes);
    void readTable();
    void refreshTable();
    bool adopt(std::optional<TableRead>* read, TimePoint sent);
    void watchTable(std::uint64_t revision);
    void resumeTable();
    void lookWhoWatches();
    [[nodiscard]] bool isWatcher() const;
    void onTableRead(std::optional<TableRead> read);
    Duration nextPause(Duration* pause);

    Clock& clock_;
    RandomSource& random_;
    EventLog& log_;
    ControlStore& store_;
    fleet::NodeDirectory& directory_;
    fleet::Gossip& gossip_;
    policy::RouteTable& table_;
    policy::TableLease& lease_;
    const Knobs& knobs_;
    bool has_list_ = false;
    bool is_following_ = false;   ///< A read or a watch is under way, or its retry is due.
    std::uint64_t revision_ = 0;  ///< Of the store, from which the watch goes on; 0: read anew.
    Duration list_pause_;
    Duration table_pause_;
    TimerHandle list_timer_;
    TimerHandle table_timer_;
    TimerHandle watcher_timer_;
    TableRefresher refresher_;
};

}  // namespace dewcrank::sidecar
