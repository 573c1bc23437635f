/// @file
/// Validity of this node's lease on one quota shard.
#pragma once

#include <optional>

#include "src/base/time.h"

namespace dewcrank::quota {

struct ShardLeaseKnobs {
    /// A lease expires this long after the request of its last confirmation. A new owner waits as long for the previous
    /// lease to expire, so the shard is unavailable for that time after its owner was lost.
    Duration term = 8s;
    double margin_ratio = 0.04;  ///< Share of `term` allowed for clocks that run at different rates.
};

/// Invariant: of all nodes that the store has named as the owner of a shard, at most one grants tokens at a time. The
/// owner counts its term from when it requested the last confirmation; its successor counts the wait from when it
/// received its first one, after which the previous owner can no longer be confirmed.
class ShardLease {
public:
    explicit ShardLease(ShardLeaseKnobs knobs) : knobs_(knobs) {}

    /// The store has named this node as the owner.
    /// @param requested_at when the read of the store was sent.
    /// @param received_at when its response arrived.
    /// @param is_previous_owner_gone true if no other process can still grant tokens of the shard: the term starts now.
    void onConfirmed(TimePoint requested_at, TimePoint received_at, bool is_previous_owner_gone);
    /// The previous owner has confirmed that it no longer grants tokens: the term starts now.
    void onPreviousOwnerStopped(TimePoint now);
    /// The store names another owner, or none.
    void onLost() { confirmed_at_.reset(); }
    /// True from the first confirmation until `onLost`; the lease may have expired.
    [[nodiscard]] bool isOwner() const { return confirmed_at_.has_value(); }
    /// True if the term has started and the lease has not expired.
    [[nodiscard]] bool mayGrant(TimePoint now) const;
    /// True if this node is the owner and its term has not started yet.
    [[nodiscard]] bool waitsForPreviousOwner(TimePoint now) const { return confirmed_at_ && now < term_start_; }
    /// Start of this node's term, which may lie in the future.
    [[nodiscard]] TimePoint termStart() const { return term_start_; }

private:
    ShardLeaseKnobs knobs_;
    std::optional<TimePoint> confirmed_at_;  ///< Request time of the last confirmation; empty if not the owner.
    TimePoint term_start_{};
};

}  // namespace dewcrank::quota
