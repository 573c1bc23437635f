#include "src/quota/shard_lease.h"

#include <algorithm>

namespace dewcrank::quota {

void ShardLease::onNamed(TimePoint asked, TimePoint answered, bool former_is_gone) {
    if (!confirmed_) {
        const auto longest = std::chrono::duration_cast<Duration>(knobs_.term * (1 + knobs_.margin_share));
        began_ = former_is_gone ? answered : answered + longest;
    }
    confirmed_ = asked;
}

void ShardLease::onHandedOver(TimePoint now) {
    began_ = std::min(began_, now);
}

bool ShardLease::mayGrant(TimePoint now) const {
    const auto shortest = std::chrono::duration_cast<Duration>(knobs_.term * (1 - knobs_.margin_share));
    return confirmed_ && now >= began_ && now - *confirmed_ < shortest;
}

}  // namespace dewcrank::quota
