#include "src/quota/quota_shard.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace dewcrank::quota {

namespace {

/// Capacity of a bucket in tokens; below one it could never grant any.
constexpr double kMinDepth = 1;
/// Wait reported by a shard that is not of the tenant: the requester's table is of another version.
constexpr std::uint32_t kWrongShardRetryMs = 200;

/// Least capacity of a shard in tokens, if the tenant's burst allows it.
constexpr double kMinTokensPerShard = 8;

}  // namespace

std::uint32_t shardCountOf(const wire::Tenant& tenant) {
    const double depth = std::max(tenant.burst(), kMinDepth);
    return static_cast<std::uint32_t>(std::clamp(std::floor(depth / kMinTokensPerShard), 1.0, double{kShardCount}));
}

std::uint32_t firstShardOf(const std::string& tenant) {
    return static_cast<std::uint32_t>(XXH3_64bits(tenant.data(), tenant.size()) % kShardCount);
}

bool isShardOf(const wire::Tenant& tenant, std::uint32_t shard) {
    return (shard + kShardCount - firstShardOf(tenant.name())) % kShardCount < shardCountOf(tenant);
}

wire::QuotaGrant::Line QuotaShard::grant(TimePoint now, const wire::Tenant& tenant, std::uint32_t wanted,
                                         std::uint32_t returned) {
    wire::QuotaGrant::Line line;
    line.set_tenant(tenant.name());
    if (tenant.rate_per_s() <= 0) {
        line.set_granted(wanted);  // No limit.
        return line;
    }
    if (!isShardOf(tenant, shard_)) {
        line.set_next_ms(kWrongShardRetryMs);
        return line;
    }
    asked_.onAsked(now, tenant.name(), wanted);
    auto& bucket = buckets_.try_emplace(tenant.name(), term_start_).first->second;
    const double rate = tenant.rate_per_s() / shardCountOf(tenant);
    const double depth = std::max(kMinDepth, tenant.burst() / shardCountOf(tenant));
    bucket.returnTokens(returned);
    line.set_granted(bucket.take(now, rate, depth, wanted));
    if (line.granted() < wanted) {
        line.set_next_ms(static_cast<std::uint32_t>(toMilliseconds(bucket.timeToNextToken(rate)) + 1));
    }
    return line;
}

}  // namespace dewcrank::quota
