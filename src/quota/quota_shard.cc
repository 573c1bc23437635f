#include "src/quota/quota_shard.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace dewcrank::quota {

namespace {

/// A shard that held less than one token would never hand one out.
constexpr double kLeastDepth = 1;
/// A tenant with a rate of nothing gets nothing; it is told to ask again after this.
constexpr double kLongestWait = 10;  // seconds
/// Whoever asks the wrong shard goes by another version of the tenant's row.
constexpr std::uint32_t kElsewhereMs = 200;

/// Tokens that a shard holds at least when it is full, where a tenant has so many.
constexpr double kTokensAShard = 8;

}  // namespace

std::uint32_t shardsOf(const wire::Tenant& tenant) {
    const double depth = std::max(tenant.burst(), kLeastDepth);
    return static_cast<std::uint32_t>(std::clamp(std::floor(depth / kTokensAShard), 1.0, double{kShards}));
}

std::uint32_t firstShardOf(const std::string& tenant) {
    return static_cast<std::uint32_t>(XXH3_64bits(tenant.data(), tenant.size()) % kShards);
}

bool isShardOf(const wire::Tenant& tenant, std::uint32_t shard) {
    return (shard + kShards - firstShardOf(tenant.name())) % kShards < shardsOf(tenant);
}

std::uint32_t TokenBucket::take(TimePoint now, double rate, double depth, std::uint32_t wanted) {
    level_ = std::min(depth, level_ + rate * toSeconds(std::max(Duration::zero(), now - filled_)));
    filled_ = std::max(filled_, now);
    const auto taken = std::min<double>(wanted, std::floor(level_));
    level_ -= taken;
    return static_cast<std::uint32_t>(taken);
}

Duration TokenBucket::untilNext(double rate) const {
    const double missing = std::max(0.0, 1 - level_);
    return fromSeconds(missing >= rate * kLongestWait ? kLongestWait : missing / rate);
}

wire::QuotaGrant::Line QuotaShard::grant(TimePoint now, const wire::Tenant& tenant, std::uint32_t wanted,
                                         std::uint32_t returned) {
    wire::QuotaGrant::Line line;
    line.set_tenant(tenant.name());
    if (tenant.rate_per_s() <= 0) {
        line.set_granted(wanted);  // Without a limit.
        return line;
    }
    if (!isShardOf(tenant, shard_)) {
        line.set_next_ms(kElsewhereMs);
        return line;
    }
    auto& bucket = buckets_.try_emplace(tenant.name(), began_).first->second;
    const double rate = tenant.rate_per_s() / shardsOf(tenant);
    const double depth = std::max(kLeastDepth, tenant.burst() / shardsOf(tenant));
    bucket.giveBack(returned);
    line.set_granted(bucket.take(now, rate, depth, wanted));
    if (line.granted() < wanted) {
        line.set_next_ms(static_cast<std::uint32_t>(toMilliseconds(bucket.untilNext(rate)) + 1));
    }
    return line;
}

}  // namespace dewcrank::quota
