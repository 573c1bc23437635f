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

#include "src/base/disabled_mechanisms.h"
#include "src/fleet/node_directory.h"
#include "src/policy/route_table.h"
#include "src/ports/clock.h"
#include "src/ports/control_store.h"
#include "src/ports/event_log.h"
#include "src/quota/quota_shard.h"
#include "src/quota/shard_lease.h"

namespace dewcrank::quota {

/// Constants of the keeping.
struct ShardKeeperKnobs {
    ShardLeaseKnobs lease;
    /// Between two looks at who owns what, as the directory says: no call to the store.
    Duration look_interval = 100ms;
    /// A shard without an owner is claimed after so many looks in a row: its owner may just be starting. By the next
    /// candidate after as many more, as the first one may not reach the store, and so on.
    std::uint32_t looks_before_claim = 3;
    /// Between two confirmations of an owner, less than half of the lease: one may fail.
    Duration confirm_interval = 3s;
    Duration confirm_retry = 700ms;
    DisabledMechanisms disabled;  ///< Tests only.
};

/// What this node owns. The first candidate for a shard is the node that ranks first by a hash of node and shard
/// (highest random weight, Thaler and Ravishankar 1998) among those that are reached, of one zone for each shard in
/// turn. Nodes need not agree on it: the store's conditional write decides.
class ShardKeeper {
public:
    ShardKeeper(Clock& clock, EventLog& log, ControlStore& store, fleet::NodeDirectory& directory,
                const policy::RouteTable& table, ShardKeeperKnobs knobs);

    void start();
    /// Emitted when the store names this node for a shard whose former owner, a node of that name, may still hand out:
    /// it can be asked to stop.
    sigc::signal<void(std::uint32_t, const std::string&)>& signalTakenOver() { return signal_taken_over_; }
    /// The former owner, in the life that the store knew, has said that it has stopped.
    void onHandedOver(std::uint32_t shard, const std::string& former, std::uint64_t incarnation);
    /// Another node says that the store names it: this one hands out nothing more of the shard.
    void handOver(std::uint32_t shard);
    /// Hands back what it owns: nobody needs to wait for the end of its lease.
    void release();
    /// The shard, if this node may hand out its tokens now; else null.
    [[nodiscard]] QuotaShard* granting(std::uint32_t shard);
    [[nodiscard]] bool mayGrant(std::uint32_t shard) const;
    /// Distinguishes this node's terms as the owner of a shard from each other.
    [[nodiscard]] std::uint64_t termOf(std::uint32_t shard) const;
    /// How many shards this node may hand out the tokens of.
    [[nodiscard]] std::size_t grantingCount() const;

private:
    struct Owned {
        explicit Owned(const ShardLeaseKnobs& knobs) : lease(knobs) {}
        ShardLease lease;
        std::string former;  ///< Whom the store named before, in which life.
        std::uint64_t former_incarnation = 0;
        std::optional<TimePoint> former_ended;  ///< By when it had handed out its last token, if that is known.
        std::uint64_t revision = 0;             ///< Of the store's record that names this node.
        std::unique_ptr<QuotaShard> shard;      ///< From the begin of the term on.
    };
    void look();
    [[nodiscard]] bool isNeeded() const;
    [[nodiscard]] bool hasLiveOwner(std::uint32_t shard) const;
    [[nodiscard]] std::size_t placeAsCandidate(std::uint32_t shard) const;
    void readLeases();
    void noticeEra();
    [[nodiscard]] bool isRecordTrusted() const;
    void onLeases(TimePoint asked, const std::vector<LeaseRecord>& records);
    void onRecord(TimePoint asked, std::uint32_t shard, const LeaseRecord& record);
    [[nodiscard]] std::optional<TimePoint> endOf(const LeaseRecord& record) const;
    void claim(std::uint32_t shard, const LeaseRecord& present);
    [[nodiscard]] bool isLive(std::uint32_t shard, const LeaseRecord& record) const;
    [[nodiscard]] bool isClaimDue(std::uint32_t shard) const;
    [[nodiscard]] bool isOwn(const LeaseRecord& record) const;
    void publish();

    Clock& clock_;
    EventLog& log_;
    ControlStore& store_;
    fleet::NodeDirectory& directory_;
    const policy::RouteTable& table_;
    ShardKeeperKnobs knobs_;
    std::map<std::uint32_t, Owned> owned_;          ///< Shards that the store has named this node for.
    std::map<std::uint32_t, std::uint32_t> looks_;  ///< In a row at which a shard had no owner.
    bool is_confirmed_ = true;                      ///< The last read of the leases was answered.
    sigc::signal<void(std::uint32_t, const std::string&)> signal_taken_over_;
    TimePoint born_;         ///< Of this life: an earlier one has handed out nothing since.
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
