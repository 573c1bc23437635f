#include "src/policy/table_lease.h"

#include <algorithm>

namespace dewcrank::policy {

void TableLease::onRead(TimePoint sent) {
    confirmed_ = std::max(confirmed_.value_or(sent), sent);
}

void TableLease::onPeer(TimePoint asked, Duration age, std::uint64_t theirs, std::uint64_t mine) {
    if (mine >= theirs && age >= Duration::zero()) {
        onRead(asked - age);
    }
}

std::optional<Duration> TableLease::age(TimePoint now) const {
    return confirmed_ ? std::optional(std::max(Duration::zero(), now - *confirmed_)) : std::nullopt;
}

bool TableLease::isValid(TimePoint now) const {
    if (!isRequired() || knobs_.disabled.table_age_check) {
        return true;
    }
    const auto known = age(now);
    const auto most = std::chrono::duration_cast<Duration>(knobs_.revocation * (1 - knobs_.margin_share));
    return known && *known < most;
}

}  // namespace dewcrank::policy
