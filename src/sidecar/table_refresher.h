/// @file
/// Keeps the table's lease alive: asks peers how fresh their tables are, and reads the store when none of them knows.
#pragma once

#include <functional>

#include "src/fleet/gossip.h"
#include "src/policy/route_table.h"
#include "src/policy/table_lease.h"
#include "src/ports/clock.h"
#include "src/ports/random_source.h"

namespace dewcrank::sidecar {

/// Constants of the refreshing.
struct TableRefresherKnobs {
    Duration look_interval = 100ms;
    /// A lease that is older than this, uniform between the two, makes a node read the store. Whoever draws the least
    /// reads for all: its answers tell the others, which draw anew. What is between the two is as long as news takes
    /// through the fleet a few times over, so that few read at a time.
    Duration least_age = 900ms;
    Duration most_age = 2700ms;
    /// Older than this: peers are asked at each look, not only heard beside the answers to calls.
    Duration peers_age = 800ms;
    std::size_t peers_asked = 1;
    Duration first_pause = 300ms;  ///< After a read that failed; doubled up to the longest.
    Duration longest_pause = 2s;
};

/// Only where keys are bound to a lease.
class TableRefresher {
public:
    /// @param read reads the store, and tells the refresher what became of it.
    TableRefresher(Clock& clock, RandomSource& random, fleet::Gossip& gossip, const policy::RouteTable& table,
                   const policy::TableLease& lease, TableRefresherKnobs knobs, std::function<void()> read);
    void start();
    void onReadEnded(bool is_read);
    /// True if this part reads the table, so that no watch is needed.
    [[nodiscard]] bool isActive() const { return lease_.isRequired() && table_.hasTenants(); }

private:
    void look();
    void drawAge();

    Clock& clock_;
    RandomSource& random_;
    fleet::Gossip& gossip_;
    const policy::RouteTable& table_;
    const policy::TableLease& lease_;
    TableRefresherKnobs knobs_;
    std::function<void()> read_;
    bool is_reading_ = false;
    Duration read_age_{};  ///< Drawn; the store is read when the lease is older.
    Duration pause_{};
    TimePoint next_read_{};
    TimerHandle timer_;
};

}  // namespace dewcrank::sidecar
