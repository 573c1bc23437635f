/// @file
/// One shard of all tenants' quotas: hands out its part of each, whoever asks.
///
/// A quota holds for the fleet, while requests come at every node and most tenants make less than one request a second
/// at each: a fixed part of the quota for each node would refuse most of what is within it. So tokens are handed out
/// where they are asked for. They are divided over several shards, each with an owner of its own: while a shard has no
/// owner, the others go on, and what is handed out can never be more, however the fleet is cut.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "proto/generated/fleet.pb.h"
#include "src/base/time.h"

namespace dewcrank::quota {

/// Shards of the quotas. While one of them has no owner, an eighth of a large tenant's limit is not to be had.
inline constexpr std::uint32_t kShardCount = 8;

/// How many shards a tenant's quota is divided over. Where a shard held less than a few tokens, one would often have
/// none while others have: at eight shards of one token each a tenant at half of its limit was refused 0.19 of its
/// requests, at one shard none (simulated, 2 requests a second over 20 nodes).
std::uint32_t shardCountOf(const wire::Tenant& tenant);
/// The first of them; the others follow in order, around.
std::uint32_t firstShardOf(const std::string& tenant);
/// True if a shard hands out tokens of a tenant.
bool isShardOf(const wire::Tenant& tenant, std::uint32_t shard);

/// A token bucket (rate and burst) that begins empty, so that whatever its owner's former life has handed out, both
/// together stay within the rate.
class TokenBucket {
public:
    explicit TokenBucket(TimePoint start) : last_refill_(start) {}
    /// Takes so many whole tokens as there are. @param rate tokens a second. @param depth the most that it holds.
    std::uint32_t take(TimePoint now, double rate, double depth, std::uint32_t wanted);
    /// Tokens that were taken and not spent.
    void returnTokens(std::uint32_t tokens) { tokens_ += tokens; }
    /// Until there is a whole token.
    [[nodiscard]] Duration timeToNextToken(double rate) const;

private:
    TimePoint last_refill_;
    double tokens_ = 0;
};

/// Invariant: in every span of time t a shard hands out, over all terms of its owners, at most rate * t + depth tokens
/// of a tenant, where over all shards the rates sum to the tenant's, and the depths to its burst and one token a shard.
/// It needs terms that do not overlap (`ShardLease`).
class QuotaShard {
public:
    QuotaShard(std::uint32_t shard, TimePoint term_start) : shard_(shard), term_start_(term_start) {}

    /// @param tenant as the table says now. @return tokens granted, and when there is one again.
    wire::QuotaGrant::Line grant(TimePoint now, const wire::Tenant& tenant, std::uint32_t wanted,
                                 std::uint32_t returned);

private:
    std::uint32_t shard_;
    TimePoint term_start_;
    std::map<std::string, TokenBucket> buckets_;  ///< By tenant.
};

}  // namespace dewcrank::quota
