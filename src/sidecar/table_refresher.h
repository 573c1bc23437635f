/// @file
/// Renews the lease of the route table: polls peers for the age of their tables, and reads the store if no peer has a
/// recent confirmation.
#pragma once

#include <functional>

#include "src/fleet/gossip.h"
#include "src/policy/route_table.h"
#include "src/policy/table_lease.h"
#include "src/ports/clock.h"
#include "src/ports/random_source.h"

namespace dewcrank::sidecar {

/// Constants of the table refresher.
struct TableRefresherKnobs {
    Duration check_interval = 100ms;  ///< Time between checks of the lease's age.
    /// A node reads the store when its lease is older than a random age between these two. The confirmation spreads to
    /// the other nodes, which draw new ages. The range is a few times the spreading time, so that few nodes read.
    Duration min_read_age = 900ms;
    Duration max_read_age = 2700ms;
    /// Above this age of the lease, peers are polled at each check; responses to other calls report their ages as well.
    Duration peer_request_age = 800ms;
    std::size_t peers_per_request = 1;  ///< Number of random peers polled at each check.
    Duration min_backoff = 300ms;       ///< Delay after a failed read; exponential backoff.
    Duration max_backoff = 2s;
};

/// Polls peers and the store before the lease of the table expires. Active only if revocation of keys is
/// bounded in time (see policy::TableLease::isRequired()) and the table has tenants.
class TableRefresher {
public:
    /// @param read starts a read of the store, and calls onReadEnded() when it ends.
    TableRefresher(Clock& clock, RandomSource& random, fleet::Gossip& gossip, const policy::RouteTable& table,
                   const policy::TableLease& lease, TableRefresherKnobs knobs, std::function<void()> read);
    void start();
    void onReadEnded(bool has_response);  ///< @param has_response true if the store responded.
    /// @return true if the refresher reads the store when the lease grows old.
    [[nodiscard]] bool isActive() const { return lease_.isRequired() && table_.hasTenants(); }

private:
    void check();
    void drawReadAge();

    Clock& clock_;
    RandomSource& random_;
    fleet::Gossip& gossip_;
    const policy::RouteTable& table_;
    const policy::TableLease& lease_;
    TableRefresherKnobs knobs_;
    std::function<void()> read_;
    bool is_reading_ = false;
    Duration read_age_{};  ///< Random age of the lease at which this node reads the store.
    Duration backoff_{};
    TimePoint next_read_{};
    TimerHandle timer_;
};

}  // namespace dewcrank::sidecar
