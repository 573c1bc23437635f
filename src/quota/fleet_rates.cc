#include "src/quota/fleet_rates.h"

#include <algorithm>

namespace dewcrank::quota {

namespace {

/// A sudden rise of a tenant's rate is in all reports that count after this time.
constexpr Duration kMaxReportAge = 3s;

}  // namespace

bool FleetRates::isRecent(TimePoint now, const Report& report) {
    return report.received_at && now - *report.received_at <= kMaxReportAge;
}

/// Removes tenants without recent reports, such as those whose rows are no longer in the table.
void FleetRates::evictOld(TimePoint now) {
    std::erase_if(reports_, [now](const auto& entry) {
        return std::none_of(entry.second.begin(), entry.second.end(),
                            [now](const Report& report) { return isRecent(now, report); });
    });
}

void FleetRates::onReport(TimePoint now, std::uint32_t shard, const std::string& tenant, double per_s) {
    if (!reports_.contains(tenant)) {
        evictOld(now);
    }
    auto& report = reports_[tenant][shard];
    report = per_s > 0 ? Report{per_s, now} : Report();
}

std::optional<FleetRate> FleetRates::rateOf(TimePoint now, const wire::Tenant& tenant,
                                            const std::function<bool(std::uint32_t)>& has_owner) const {
    const auto found = reports_.find(tenant.name());
    if (found == reports_.end()) {
        return std::nullopt;
    }
    FleetRate rate;
    double owned = 0;
    double reported = 0;
    for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
        if (!isShardOf(tenant, shard) || !has_owner(shard)) {
            continue;
        }
        ++owned;
        if (const auto& report = found->second.at(shard); isRecent(now, report)) {
            ++reported;
            rate.per_s += report.per_s;
            rate.age = std::max(rate.age, now - *report.received_at);
        }
    }
    if (reported == 0) {
        return std::nullopt;
    }
    rate.per_s *= owned / reported;
    if (tenant.rate_per_s() > 0) {
        rate.per_s = std::min(rate.per_s, tenant.rate_per_s());
    }
    return rate;
}

}  // namespace dewcrank::quota
