/// @file
/// Rates of tenants over all nodes, as the owners of their quota shards report them to this node.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/base/fleet_rate.h"
#include "src/quota/quota_shard.h"

namespace dewcrank::quota {

/// Keeps the last report of each shard for `kMaxReportAge`. A node requests tokens first from the owners in its zone,
/// so that it hears of some shards of a tenant only.
class FleetRates {
public:
    /// An owner has reported the rate of the tokens requested from its shard; 0: unknown.
    void onReport(TimePoint now, std::uint32_t shard, const std::string& tenant, double per_s);
    /// @param has_owner true if this node knows an owner of the shard. Tokens of other shards are requested from shards
    /// that have one.
    /// @return the sum over the tenant's shards with an owner. Shards without a recent report count as the mean of the
    /// others. Nothing without any recent report. At most the tenant's limit, beyond which its requests do not run.
    [[nodiscard]] std::optional<FleetRate> rateOf(TimePoint now, const wire::Tenant& tenant,
                                                  const std::function<bool(std::uint32_t)>& has_owner) const;

private:
    struct Report {
        double per_s = 0;
        std::optional<TimePoint> received_at;
    };
    using Reports = std::array<Report, kShardCount>;
    [[nodiscard]] static bool isRecent(TimePoint now, const Report& report);
    void evictOld(TimePoint now);

    std::map<std::string, Reports> reports_;  ///< By tenant.
};

}  // namespace dewcrank::quota
