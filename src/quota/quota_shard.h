/// @file
/// One shard of the tenants' quotas: a token bucket per tenant, with the shard's part of the tenant's limit.
///
/// A quota applies to the whole fleet. Most tenants send less than one request per second to each node, so an equal
/// part for each node would reject requests that are within the limit. Tokens are therefore granted by shards, each
/// with one owner: without its owner a shard grants nothing, and no network partition lets the fleet exceed the quota.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "proto/generated/fleet.pb.h"
#include "src/base/time.h"
#include "src/base/token_bucket.h"
#include "src/quota/asked_rates.h"

namespace dewcrank::quota {

/// Number of quota shards. While one has no owner, large tenants lack an eighth of their limits.
inline constexpr std::uint32_t kShardCount = 8;

/// Number of shards that a tenant's quota is divided over. Tenants with a small burst use few: with only a token or two
/// per shard, requests would be rejected at an empty shard while others still have tokens: of a tenant at half of its
/// limit, 0.19 at eight shards of one token each, and none at one shard (2 requests a second over 20 nodes).
std::uint32_t shardCountOf(const wire::Tenant& tenant);
/// The first shard of a tenant, by a hash of the name; the others follow it, modulo `kShardCount`.
std::uint32_t firstShardOf(const std::string& tenant);
/// True if the shard grants tokens of the tenant.
bool isShardOf(const wire::Tenant& tenant, std::uint32_t shard);

/// Invariant: in any time span t, a shard grants at most rate * t + depth tokens of a tenant over all terms of its
/// owners. Over all shards, the rates sum up to the tenant's rate, and the depths to its burst plus one token per
/// shard. This requires terms that do not overlap (`ShardLease`).
class QuotaShard {
public:
    /// @param term_start from when on tokens accumulate.
    QuotaShard(std::uint32_t shard, TimePoint term_start) : shard_(shard), term_start_(term_start) {}

    /// Grants up to `wanted` tokens to a node. @param tenant its current row of the table, with the limit.
    /// @param returned unused tokens that the node gives back.
    /// @return the number granted; if fewer than wanted, also the time in ms until a token is available.
    wire::QuotaGrant::Line grant(TimePoint now, const wire::Tenant& tenant, std::uint32_t wanted,
                                 std::uint32_t returned);
    /// Tokens per second that were requested by all nodes.
    [[nodiscard]] const AskedRates& asked() const { return asked_; }

private:
    std::uint32_t shard_;
    TimePoint term_start_;
    std::map<std::string, TokenBucket> buckets_;  ///< By tenant.
    AskedRates asked_;
};

}  // namespace dewcrank::quota
