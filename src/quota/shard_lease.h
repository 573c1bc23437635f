/// @file
/// Whether this node may hand out the tokens of one shard now.
#pragma once

#include <optional>

#include "src/base/time.h"

namespace dewcrank::quota {

/// Constants of the ownership of a shard.
struct ShardLeaseKnobs {
    /// An owner that has not been confirmed for this long hands out nothing. A new owner waits as long, so it is also
    /// how long a shard stands still when its owner is lost: one shard of several.
    Duration term = 8s;
    double margin_ratio = 0.04;  ///< Of the term, for clocks that run at different rates.
};

/// Invariant: of all nodes that the store has ever named as the owner of a shard, at most one hands out tokens at a
/// time. An owner goes by the moment at which its last confirmation was asked for; whoever takes its place, by the
/// moment at which it has heard that the store names it: after that, no confirmation of the former can succeed.
class ShardLease {
public:
    explicit ShardLease(ShardLeaseKnobs knobs) : knobs_(knobs) {}

    /// The store names this node as the owner. @param asked when that was asked for. @param answered when it was
    /// heard. @param is_previous_owner_gone no other process can hand out this shard's tokens any more.
    void onConfirmed(TimePoint requested_at, TimePoint received_at, bool is_previous_owner_gone);
    /// The former owner has said that it hands out nothing more.
    void onPreviousOwnerStopped(TimePoint now);
    /// The store names another one, or none.
    void onLost() { confirmed_at_.reset(); }
    /// True while the store names this node, as far as it has heard.
    [[nodiscard]] bool isOwner() const { return confirmed_at_.has_value(); }
    [[nodiscard]] bool mayGrant(TimePoint now) const;
    /// True while it waits for the former owner's lease to end.
    [[nodiscard]] bool waitsForPreviousOwner(TimePoint now) const { return confirmed_at_ && now < term_start_; }
    /// When this node's term began: from then on it may hand out.
    [[nodiscard]] TimePoint termStart() const { return term_start_; }

private:
    ShardLeaseKnobs knobs_;
    std::optional<TimePoint> confirmed_at_;  ///< When the last confirmation was asked for.
    TimePoint term_start_{};
};

}  // namespace dewcrank::quota
