#include "src/quota/shard_lease.h"

#include <algorithm>

namespace dewcrank::quota {

void ShardLease::onConfirmed(TimePoint requested_at, TimePoint received_at, bool is_previous_owner_gone) {
    if (!confirmed_at_) {
        const auto max_term = std::chrono::duration_cast<Duration>(knobs_.term * (1 + knobs_.margin_ratio));
        term_start_ = is_previous_owner_gone ? received_at : received_at + max_term;
    }
    confirmed_at_ = requested_at;
}

void ShardLease::onPreviousOwnerStopped(TimePoint now) {
    term_start_ = std::min(term_start_, now);
}

bool ShardLease::mayGrant(TimePoint now) const {
    const auto usable_term = std::chrono::duration_cast<Duration>(knobs_.term * (1 - knobs_.margin_ratio));
    return confirmed_at_ && now >= term_start_ && now - *confirmed_at_ < usable_term;
}

}  // namespace dewcrank::quota
