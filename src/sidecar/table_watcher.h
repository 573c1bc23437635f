/// @file
/// Keeps the route table up to date: a few nodes of each zone watch the store, the others receive changes by gossip.
#pragma once

#include "src/fleet/gossip.h"
#include "src/fleet/node_directory.h"
#include "src/fleet/zone_ranking.h"
#include "src/policy/route_table.h"
#include "src/policy/table_lease.h"
#include "src/ports/clock.h"
#include "src/ports/control_store.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"
#include "src/sidecar/table_refresher.h"

namespace dewcrank::sidecar {

/// Constants of the table watcher.
struct TableWatcherKnobs {
    /// Minimum number of nodes in the fleet that watch the store; some may be cut off from it without notice.
    std::size_t watchers = 3;
    /// First nodes of each zone that may watch. Bounds the load on a store that is unreachable for all nodes.
    std::size_t candidates = 4;
    /// Time between checks whether this node should watch.
    Duration check_interval = 300ms;
    /// During this time after its start, a node watches only after so many positive checks in a row: its directory is
    /// still incomplete, so that it seems to be among the first of its zone.
    Duration startup_period = 5s;
    std::uint32_t checks_before_watching = 3;
    /// While the node has no table, checks are more frequent, and fewer of them are needed.
    Duration first_check_interval = 100ms;
    std::uint32_t first_checks_before_watching = 2;
    /// A candidate probes its predecessors in the ranking after this time without contact.
    Duration max_silence = 700ms;
    Duration probe_timeout = 400ms;
    /// Other nodes probe their predecessor once in so many checks, so that the loss of all candidates is detected.
    std::uint32_t checks_between_probes = 16;
    /// A node without contact to any other node for this long watches the store, whatever its rank.
    Duration max_isolation = 3s;
    /// Consecutive failed calls after which another node should watch instead.
    std::uint32_t failures_to_hand_over = 2;
    /// Exponential backoff between calls to the store.
    Duration min_backoff = 200ms;
    Duration max_backoff = 2s;
    /// Timeout of one watch. Long, since the TableRefresher shows much earlier whether the store responds.
    Duration watch_timeout = 20s;
    /// A watch that has not reported a change so long after this node has learned of it is replaced: its connection may
    /// have gone silent.
    Duration max_watch_lag = 500ms;
};

/// Checks periodically whether this node should watch the store. While it should, the watcher reads the table and then
/// watches it for changes, with at most one such call in flight. Watches make changes known at once; that they hear
/// nothing proves nothing. Owns the TableRefresher, which bounds the age of the table by reads of its own.
///
/// Log events:
///   store_followed   this node starts to watch the store
///   watch_replaced   a watch has not reported a change that this node knows of
///   table_adopted    a newer table was read from the store (`from=store`), by a `call` that took `waited_ms`
///   store_failed     a read or watch (`step=table`), or a read of the refresher (`step=refresh`) has failed; `call`
///                    and `waited_ms` as above
class TableWatcher {
public:
    TableWatcher(Clock& clock, RandomSource& random, EventLog& log, ControlStore& store,
                 fleet::NodeDirectory& directory, fleet::Gossip& gossip, policy::RouteTable& table,
                 policy::TableLease& lease, const TableWatcherKnobs& knobs, const TableRefresherKnobs& refresher);
    /// Called once peer discovery has ended.
    void start();

private:
    /// A call to the store that has ended.
    struct EndedCall {
        std::string_view name;  ///< "read", "watch" or "refresh".
        TimePoint sent{};
    };
    void check();
    void countPositiveChecks();
    [[nodiscard]] bool isDue() const;
    void probePredecessors();
    void probeIfNoRecentContact(const fleet::KnownNode& node);
    [[nodiscard]] bool isCandidate() const;
    [[nodiscard]] bool isWatcher() const;
    [[nodiscard]] bool isIsolated() const;
    void startNextCall();
    void read();
    void watch();
    void onTableAdopted();
    void replaceWatch(std::uint64_t watch_id);
    bool refresh();
    void onRefreshed(std::optional<TableRead> response, const EndedCall& call);
    void adoptTable(wire::RouteTable table, const EndedCall& call);
    void logFailed(std::string_view step, const EndedCall& call);
    bool adopt(std::optional<TableRead>* response, const EndedCall& call);
    void onResponse(std::optional<TableRead> response, const EndedCall& call);
    void onFailed(const EndedCall& call);
    void countFailure();
    Duration nextBackoff();

    Clock& clock_;
    RandomSource& random_;
    EventLog& log_;
    ControlStore& store_;
    fleet::NodeDirectory& directory_;
    fleet::Gossip& gossip_;
    fleet::ZoneRanking ranking_;
    policy::RouteTable& table_;
    policy::TableLease& lease_;
    const TableWatcherKnobs& knobs_;
    bool is_watching_ = false;    ///< A read or a watch is in flight, or scheduled.
    std::uint64_t revision_ = 0;  ///< Store revision, in era_, from which to watch; 0: read the table.
    std::uint64_t era_ = 0;       ///< Newest known store era at the last response.
    std::uint32_t failures_ = 0;  ///< Consecutive failed calls.
    std::uint32_t checks_ = 0;    ///< Checks at which this node was no candidate; see checks_between_probes.
    TimePoint started_{};
    std::size_t nodes_at_check_ = 0;     ///< Other nodes in the directory at the last check.
    std::uint32_t positive_checks_ = 0;  ///< Consecutive checks at which this node should watch.
    Duration backoff_;
    bool is_watch_open_ = false;
    std::uint64_t watch_id_ = 0;  ///< Of the last watch; responses to earlier ones are ignored.
    TimerHandle check_timer_;
    TimerHandle retry_timer_;
    TimerHandle lag_timer_;
    TableRefresher refresher_;
};

}  // namespace dewcrank::sidecar
