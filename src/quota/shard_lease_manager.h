/// @file
/// Sees to it that each shard of the quotas has one owner, through the platform's store.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/weakening.h"
#include "src/fleet/node_directory.h"
#include "src/policy/route_table.h"
#include "src/ports/clock.h"
#include "src/ports/control_store.h"
#include "src/ports/event_log.h"
#include "src/quota/quota_shard.h"
#include "src/quota/shard_lease.h"

namespace dewcrank::quota {

/// Constants of the keeping.
struct ShardLeaseManagerKnobs {
    ShardLeaseKnobs lease;
    /// Between two looks at who owns what, as the directory says: no call to the store.
    Duration check_interval = 100ms;
    /// A shard without an owner is claimed after so many looks in a row: its owner may just be starting. By the next
    /// candidate after as many more, as the first one may not reach the store, and so on.
    std::uint32_t checks_before_claim = 3;
    /// Between two confirmations of an owner, less than half of the lease: one may fail.
    Duration confirm_interval = 3s;
    Duration confirm_retry_interval = 700ms;
    Weakening weakening;  ///< Tests only.
};

/// What this node owns. The first candidate for a shard is the node that ranks first by a hash of node and shard
/// (highest random weight, Thaler and Ravishankar 1998) among those that are reached, of one zone for each shard in
/// turn. Nodes need not agree on it: the store's conditional write decides.
class ShardLeaseManager {
public:
    ShardLeaseManager(Clock& clock, EventLog& log, ControlStore& store, fleet::NodeDirectory& directory,
                      const policy::RouteTable& table, ShardLeaseManagerKnobs knobs);

    void start();
    /// Emitted when the store names this node for a shard whose former owner, a node of that name, may still hand out:
    /// it can be asked to stop.
    sigc::signal<void(std::uint32_t, const std::string&)>& signalTakeover() { return signal_takeover_; }
    /// The former owner, in the life that the store knew, has said that it has stopped.
    void onPreviousOwnerStopped(std::uint32_t shard, const std::string& previous_owner, std::uint64_t incarnation);
    /// Another node says that the store names it: this one hands out nothing more of the shard.
    void relinquish(std::uint32_t shard);
    /// Hands back what it owns: nobody needs to wait for the end of its lease.
    void release();
    /// The shard, if this node may hand out its tokens now; else null.
    [[nodiscard]] QuotaShard* grantableShard(std::uint32_t shard);
    [[nodiscard]] bool mayGrant(std::uint32_t shard) const;
    /// Distinguishes this node's terms as the owner of a shard from each other.
    [[nodiscard]] std::uint64_t termOf(std::uint32_t shard) const;
    /// How many shards this node may hand out the tokens of.
    [[nodiscard]] std::size_t grantingCount() const;

private:
    struct OwnedShard {
        explicit OwnedShard(const ShardLeaseKnobs& knobs) : lease(knobs) {}
        ShardLease lease;
        std::string previous_owner;  ///< Whom the store named before, in which life.
        std::uint64_t previous_incarnation = 0;
        std::optional<TimePoint> previous_end;  ///< By when it had handed out its last token, if that is known.
        std::uint64_t revision = 0;             ///< Of the store's record that names this node.
        std::unique_ptr<QuotaShard> shard;      ///< From the begin of the term on.
    };
    void checkOwners();
    [[nodiscard]] bool hasRateLimits() const;
    [[nodiscard]] bool hasLiveOwner(std::uint32_t shard) const;
    [[nodiscard]] std::size_t candidateRank(std::uint32_t shard) const;
    void readLeases();
    void checkStoreEra();
    [[nodiscard]] bool isLeaseHistoryComplete() const;
    void onLeases(TimePoint requested_at, const std::vector<LeaseRecord>& records);
    void onLease(TimePoint requested_at, std::uint32_t shard, const LeaseRecord& record);
    [[nodiscard]] std::optional<TimePoint> previousOwnerEnd(const LeaseRecord& record) const;
    void claim(std::uint32_t shard, const LeaseRecord& current);
    [[nodiscard]] bool isOwnerLive(std::uint32_t shard, const LeaseRecord& record) const;
    [[nodiscard]] bool isClaimDue(std::uint32_t shard) const;
    [[nodiscard]] bool isOwnLease(const LeaseRecord& record) const;
    void publishOwnership();

    Clock& clock_;
    EventLog& log_;
    ControlStore& store_;
    fleet::NodeDirectory& directory_;
    const policy::RouteTable& table_;
    ShardLeaseManagerKnobs knobs_;
    std::map<std::uint32_t, OwnedShard> owned_;                    ///< Shards that the store has named this node for.
    std::map<std::uint32_t, std::uint32_t> checks_without_owner_;  ///< In a row at which a shard had no owner.
    bool is_confirmed_ = true;                                     ///< The last read of the leases was answered.
    sigc::signal<void(std::uint32_t, const std::string&)> signal_takeover_;
    TimePoint started_at_;   ///< Of this life: an earlier one has handed out nothing since.
    std::uint64_t era_ = 0;  ///< Of the store, at the last read; 0: it tells none.
    TimePoint era_since_{};  ///< When it was first seen here.
    bool is_reading_ = false;
    bool is_released_ = false;
    TimePoint next_read_{};
    TimerHandle timer_;
};

/// Name of the store's record of a shard.
std::string leaseNameOf(std::uint32_t shard);

}  // namespace dewcrank::quota
