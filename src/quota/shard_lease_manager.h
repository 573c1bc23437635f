/// @file
/// Acquires and renews this node's leases on quota shards, through the control store.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/disabled_mechanisms.h"
#include "src/fleet/node_directory.h"
#include "src/policy/route_table.h"
#include "src/ports/clock.h"
#include "src/ports/control_store.h"
#include "src/ports/event_log.h"
#include "src/quota/quota_shard.h"
#include "src/quota/shard_lease.h"

namespace dewcrank::quota {

struct ShardLeaseManagerKnobs {
    ShardLeaseKnobs lease;
    Duration check_interval = 100ms;  ///< Between two checks of the directory for shards without an owner.
    /// A shard is claimed by its first candidate after this many checks in a row found no owner, which may be starting.
    /// Each further candidate waits for as many checks more, in case those before it can't reach the store.
    std::uint32_t checks_before_claim = 3;
    Duration confirm_interval = 3s;  ///< Between two reads of the leases; below half of the term: one may fail.
    Duration confirm_retry_interval = 700ms;  ///< Delay after a failed read or a claim.
    DisabledMechanisms disabled;              ///< Tests only.
};

/// Leases of one node. Candidates for a shard are ordered by highest random weight (Thaler and Ravishankar 1998) over
/// node and shard; nodes of one zone come first, a different zone for each shard. Nodes may disagree on the order: the
/// store's conditional write decides.
///
/// Log events:
///   quota_shard_owned   this node has become the owner, and starts to grant tokens in `from_ms` milliseconds
///   quota_shard_lost    it is no longer the owner; `peer` is the new holder in the store (empty: none), `by-takeover`
///                       (a new owner has requested that this node stops) or `store-returned` (the store was restored)
///   store_failed        a read of the leases has failed (`step=leases`)
class ShardLeaseManager {
public:
    ShardLeaseManager(Clock& clock, EventLog& log, ControlStore& store, fleet::NodeDirectory& directory,
                      const policy::RouteTable& table, ShardLeaseManagerKnobs knobs);

    /// Starts the periodic check.
    void start();
    /// Emitted with a shard and its previous owner's name when this node has become the owner and the previous owner's
    /// lease may not have expired. The receiver may request that the previous owner stops, which shortens the wait.
    sigc::signal<void(std::uint32_t, const std::string&)>& signalTakeover() { return signal_takeover_; }
    /// The previous owner has confirmed that it no longer grants tokens of the shard.
    /// @param incarnation of the responding process; one before the incarnation in the lease is ignored.
    void onPreviousOwnerStopped(std::uint32_t shard, const std::string& previous_owner, std::uint64_t incarnation);
    /// Stops granting tokens of a shard, on request of its new owner.
    void relinquish(std::uint32_t shard);
    /// Releases all leases in the store when this node stops, so that the next owners need not wait for expiry.
    void release();
    /// The shard if this node may grant its tokens now; else null.
    [[nodiscard]] QuotaShard* grantableShard(std::uint32_t shard);
    [[nodiscard]] bool mayGrant(std::uint32_t shard) const;
    /// Identifies this node's current term as the owner of a shard; 0 if it is not the owner.
    [[nodiscard]] std::uint64_t termOf(std::uint32_t shard) const;
    /// Number of shards with a valid lease.
    [[nodiscard]] std::size_t grantingCount() const;

private:
    struct OwnedShard {
        explicit OwnedShard(const ShardLeaseKnobs& knobs) : lease(knobs) {}
        ShardLease lease;
        std::string previous_owner;  ///< Holder of the lease when this node claimed it; empty if none.
        std::uint64_t previous_incarnation = 0;
        std::optional<TimePoint> previous_end;  ///< Time after which the previous owner has granted no token, if known.
        std::uint64_t revision = 0;             ///< Of the lease record that names this node.
        std::unique_ptr<QuotaShard> shard;      ///< Null until the store has named this node.
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
    std::map<std::uint32_t, OwnedShard> owned_;                    ///< Claimed or owned shards.
    std::map<std::uint32_t, std::uint32_t> checks_without_owner_;  ///< Consecutive ones, by shard.
    bool is_confirmed_ = true;                                     ///< The last read of the leases has succeeded.
    sigc::signal<void(std::uint32_t, const std::string&)> signal_takeover_;
    TimePoint started_at_;             ///< Of this process; an earlier one granted nothing after it.
    std::uint64_t first_incarnation_;  ///< Of this process, which goes on under a later one if others remember that.
    std::uint64_t era_ = 0;            ///< Store era at the last read; 0 if unknown.
    TimePoint era_since_{};            ///< When this node first read it.
    bool is_reading_ = false;
    bool is_released_ = false;
    TimePoint next_read_{};
    TimerHandle timer_;
};

/// Name of a shard's lease record in the store.
std::string leaseNameOf(std::uint32_t shard);

}  // namespace dewcrank::quota
