#include "src/policy/table_lease.h"

#include <algorithm>

namespace dewcrank::policy {

void TableLease::onRead(TimePoint sent) {
    confirmed_ = std::max(confirmed_.value_or(sent), sent);
}

void TableLease::onPeerResponse(TimePoint sent, Duration age, std::uint64_t peer_version, std::uint64_t own_version) {
    if (own_version >= peer_version && age >= Duration::zero()) {
        onRead(sent - age);
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
    const auto max_age = std::chrono::duration_cast<Duration>(knobs_.revocation * (1 - knobs_.margin_share));
    return known && *known < max_age;
}

}  // namespace dewcrank::policy
