/// @file
/// Bounds the age of the route table: polls peers for the age of their tables, and reads the store if no peer has a
/// recent confirmation.
#pragma once

#include <functional>

#include "src/base/disabled_mechanisms.h"
#include "src/fleet/gossip.h"
#include "src/fleet/node_directory.h"
#include "src/fleet/zone_ranking.h"
#include "src/policy/route_table.h"
#include "src/policy/table_lease.h"
#include "src/ports/clock.h"
#include "src/ports/random_source.h"

namespace dewcrank::sidecar {

/// Constants of the table refresher.
struct TableRefresherKnobs {
    /// Time between checks of a table that is old enough to be polled for. Short, so that a reader hears in time of the
    /// read of the one before it.
    Duration check_interval = 50ms;
    /// First nodes of each zone that read the store for all. Bounds the load on a store that is unreachable for all.
    std::size_t readers_per_zone = 4;
    /// Age of the table at which the first node of the first zone reads the store. The others read later, so that the
    /// confirmation of the first one usually reaches them before.
    Duration first_read_age = 1000ms;
    /// The next node of each zone reads this much later, and the zones are spread over this time.
    Duration rank_interval = 300ms;
    /// Above this age a node polls a peer at each check; responses to other calls report their ages as well.
    Duration poll_age = 1100ms;
    /// Readers poll at each check from this long before they would read the store.
    Duration reader_poll_lead = 100ms;
    Duration poll_interval = 100ms;  ///< Between two polls of other nodes, at least.
    Duration poll_timeout = 300ms;
    /// A node reads the store itself after so many polls in a row without a response: other nodes can't tell it of
    /// changes.
    std::uint32_t unanswered_polls = 3;
    /// If the age decides which keys are accepted, all nodes read the store when the table is older than a random age
    /// between these two. The range is a few times the spreading time of a confirmation, so that few nodes read.
    Duration min_read_age = 900ms;
    Duration max_read_age = 2700ms;
    Duration min_backoff = 300ms;  ///< Delay after a failed read; exponential backoff.
    Duration max_backoff = 2s;
    DisabledMechanisms disabled;  ///< Tests only.
};

/// Keeps the time since the table was last confirmed as the newest below a bound, whether or not watches of the store
/// report changes: a watch that hears nothing looks like a table that does not change.
///
/// A few nodes of each zone read the store in turn, so that the number of reads does not grow with the fleet. All other
/// nodes get the age from them, by the responses to calls and by polls of random peers. If revocation of keys is
/// bounded in time (see policy::TableLease::isRequired()) and the table has tenants, any node reads the store.
class TableRefresher {
public:
    /// Starts a read of the store, which calls onReadEnded() when it ends. @return false if none is started, since
    /// another call will show soon whether the store responds.
    using StartRead = std::function<bool()>;
    TableRefresher(Clock& clock, RandomSource& random, fleet::NodeDirectory& directory, fleet::Gossip& gossip,
                   const policy::RouteTable& table, const policy::TableLease& lease, TableRefresherKnobs knobs,
                   StartRead read);
    void start();
    void onReadEnded(bool has_response);  ///< @param has_response true if the store responded.

private:
    void check();
    /// @return the time until the table is old enough for a poll or a read.
    [[nodiscard]] Duration untilNextCheck(Duration age) const;
    void poll();
    void onPolled(bool has_response);
    void drawReadAge();
    [[nodiscard]] bool isReader() const;
    [[nodiscard]] bool decidesAboutKeys() const { return lease_.isRequired() && table_.hasTenants(); }
    /// @return the age above which this node polls.
    [[nodiscard]] Duration pollAge() const;
    [[nodiscard]] bool isCutOff() const { return unanswered_polls_ >= knobs_.unanswered_polls; }
    /// @return true if this node should read the store at this age of the table.
    [[nodiscard]] bool isReadDue(Duration age) const;
    /// @return the age at which this node reads for its zone.
    [[nodiscard]] Duration readerAge() const;

    Clock& clock_;
    RandomSource& random_;
    fleet::NodeDirectory& directory_;
    fleet::Gossip& gossip_;
    fleet::ZoneRanking ranking_;
    const policy::RouteTable& table_;
    const policy::TableLease& lease_;
    TableRefresherKnobs knobs_;
    StartRead read_;
    bool is_reading_ = false;
    std::uint32_t unanswered_polls_ = 0;  ///< In a row.
    Duration random_read_age_{};          ///< Random age at which this node reads if the age decides about keys.
    Duration backoff_{};
    TimePoint next_read_{};
    TimePoint next_poll_{};
    TimerHandle timer_;
};

}  // namespace dewcrank::sidecar
