#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <optional>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "src/quota/quota_shard.h"
#include "src/quota/shard_lease.h"

using namespace dewcrank;

namespace {

constexpr TimePoint kStart(100s);

wire::Tenant tenantOf(double rate, double burst) {
    wire::Tenant tenant;
    tenant.set_name("house");
    tenant.set_rate_per_s(rate);
    tenant.set_burst(burst);
    return tenant;
}

/// @return the greatest number of tokens granted within any time span of length `window`.
double maxTokensIn(const std::vector<TimePoint>& granted, Duration window) {
    std::ptrdiff_t max_tokens = 0;
    for (auto begin = granted.begin(); begin != granted.end(); ++begin) {
        max_tokens = std::max(max_tokens, std::lower_bound(begin, granted.end(), *begin + window) - begin);
    }
    return static_cast<double>(max_tokens);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_quota)

BOOST_AUTO_TEST_CASE(small_quotas_use_few_shards_and_large_ones_all) {
    struct Case {
        double burst;
        std::uint32_t shards;
    };
    const Case cases[] = {{0, 1}, {4, 1}, {16, 2}, {38, 4}, {64, 8}, {429, 8}};
    for (const auto& entry : cases) {
        const auto tenant = tenantOf(entry.burst, entry.burst);
        std::uint32_t count = 0;
        for (std::uint32_t shard = 0; shard < quota::kShardCount; ++shard) {
            count += quota::isShardOf(tenant, shard) ? 1 : 0;
        }
        BOOST_TEST(count == entry.shards);
        BOOST_TEST(quota::shardCountOf(tenant) == entry.shards);
    }
}

/// Guards against more grants in any time span than rate and burst allow, over random requests and changes of owner.
BOOST_AUTO_TEST_CASE(shards_together_hand_out_no_more_than_the_quota) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        adapters::SeededRandom random(seed);
        const auto tenant =
            tenantOf(1 + static_cast<double>(random.below(200)), static_cast<double>(random.below(200)));
        std::vector<quota::QuotaShard> shards;
        for (std::uint32_t shard = 0; shard < quota::kShardCount; ++shard) {
            shards.emplace_back(shard, kStart);
        }
        std::vector<TimePoint> granted;
        auto now = kStart;
        for (int step = 0; step < 20'000; ++step) {
            now += Duration(static_cast<std::int64_t>(random.below(3000)));
            const auto shard_index = static_cast<std::uint32_t>(random.below(quota::kShardCount));
            if (random.below(500) == 0) {
                shards[shard_index] = quota::QuotaShard(shard_index, now);  // A change of owner.
            }
            const auto wanted = static_cast<std::uint32_t>(1 + random.below(3));
            const auto line = shards[shard_index].grant(now, tenant, wanted, 0);
            granted.insert(granted.end(), line.granted(), now);
            BOOST_REQUIRE(line.granted() <= wanted);
            BOOST_REQUIRE((line.granted() == wanted || line.next_ms() > 0));
        }
        for (const auto window : {Duration(200ms), Duration(5s)}) {
            const double allowed = tenant.rate_per_s() * toSeconds(window) + tenant.burst() + quota::kShardCount;
            BOOST_TEST(maxTokensIn(granted, window) <= allowed, "seed " << seed);
        }
    }
}

/// Simulates a tenant that sends at 0.62 of its limit, spread over the nodes of a fleet.
/// @param has_shards true: up to three shards are tried per request; false: each node has an equal part of the limit.
/// @return the share of requests that receive no token.
double refusedRatio(double rate, std::size_t nodes, bool has_shards, std::uint64_t seed) {
    adapters::SeededRandom random(seed);
    const auto tenant = tenantOf(rate, rate);
    const auto parts = static_cast<double>(nodes);
    std::vector<TokenBucket> buckets(nodes, TokenBucket(kStart - 10s));
    std::vector<quota::QuotaShard> shards;
    for (std::uint32_t shard = 0; shard < quota::kShardCount; ++shard) {
        shards.emplace_back(shard, kStart - 10s);
    }
    const auto takesToken = [&](TimePoint now) {
        if (!has_shards) {
            return buckets[random.below(nodes)].take(now, rate / parts, std::max(1.0, rate / parts), 1) > 0;
        }
        const auto first = quota::firstShardOf("house");
        const auto count = quota::shardCountOf(tenant);
        const auto begin = random.below(count);
        for (std::uint64_t attempts = 0; attempts < std::min(count, 3U); ++attempts) {
            const auto shard_index =
                static_cast<std::uint32_t>((first + (begin + attempts) % count) % quota::kShardCount);
            if (shards[shard_index].grant(now, tenant, 1, 0).granted() > 0) {
                return true;
            }
        }
        return false;
    };
    int requests = 0;
    int refused = 0;
    for (auto now = kStart; now < kStart + 60s; now += fromSeconds(-std::log(1 - random.unit()) / (0.62 * rate))) {
        ++requests;
        refused += takesToken(now) ? 0 : 1;
    }
    return static_cast<double>(refused) / requests;
}

BOOST_AUTO_TEST_CASE(tenants_within_their_limits_find_tokens_where_equal_parts_of_a_limit_would_refuse_them) {
    for (const double rate : {16.0, 60.0, 429.0}) {
        for (const std::size_t nodes : {20U, 71U, 300U}) {
            BOOST_TEST(refusedRatio(rate, nodes, true, 1) < 0.01, rate << " a second over " << nodes);
            const bool has_part = rate >= static_cast<double>(nodes);  // At least a token per second and node.
            BOOST_TEST((has_part || refusedRatio(rate, nodes, false, 1) > 0.05), rate << " a second over " << nodes);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_changed_limit_applies_at_once_and_no_limit_grants_all) {
    quota::QuotaShard shard(quota::firstShardOf("house"), kStart);
    BOOST_TEST(shard.grant(kStart + 10s, tenantOf(4, 4), 10, 0).granted() == 4U);
    BOOST_TEST(shard.grant(kStart + 10s, tenantOf(0, 0), 10, 0).granted() == 10U);
    const auto denied = shard.grant(kStart + 10s, tenantOf(2, 2), 1, 0);
    BOOST_TEST(denied.granted() == 0U);
    BOOST_TEST(denied.next_ms() > 400U);
    BOOST_TEST(denied.next_ms() < 600U);
    BOOST_TEST(shard.grant(kStart + 10s, tenantOf(2, 2), 1, 1).granted() == 1U);  // One token was returned.
}

/// Simulates changes of owner, with delayed and lost confirmations and random outages of nodes.
/// @return the number of steps at which more than one node may grant.
std::size_t overlaps(std::uint64_t seed, double margin_ratio, Duration max_delay) {
    constexpr std::size_t kNodes = 4;
    adapters::SeededRandom random(seed);
    quota::ShardLeaseKnobs knobs;
    knobs.margin_ratio = margin_ratio;
    std::vector<quota::ShardLease> leases(kNodes, quota::ShardLease(knobs));
    struct Response {
        TimePoint requested_at;
        TimePoint received_at;
        std::size_t node;
        std::size_t named;  ///< The owner according to the store.
    };
    std::vector<Response> responses;
    std::vector<TimePoint> unreachable_until(kNodes, kStart);
    std::optional<std::size_t> owner;
    std::size_t found = 0;
    for (auto now = kStart; now < kStart + 300s; now += 10ms) {
        if (random.below(600) == 0) {
            owner = static_cast<std::size_t>(random.below(kNodes));
        }
        const auto node = static_cast<std::size_t>(random.below(kNodes));
        if (random.below(400) == 0) {
            unreachable_until[node] = now + Duration(static_cast<std::int64_t>(random.below(15'000'000)));
        }
        const bool has_response = random.below(3) > 0 && now >= unreachable_until[node];
        if (owner && has_response) {
            const auto delay =
                Duration(static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(max_delay.count()))));
            responses.push_back({now, now + delay, node, *owner});
        }
        for (const auto& it : responses) {
            if (it.received_at > now || it.received_at <= now - 10ms) {
                continue;
            }
            if (it.named == it.node) {
                leases[it.node].onConfirmed(it.requested_at, now, false);
            } else {
                leases[it.node].onLost();
            }
        }
        std::erase_if(responses, [now](const Response& it) { return it.received_at <= now; });
        const auto granting_count =
            std::count_if(leases.begin(), leases.end(), [now](const auto& it) { return it.mayGrant(now); });
        found += granting_count > 1 ? 1 : 0;
    }
    return found;
}

/// Guards against two owners of a shard that grant tokens at the same time.
BOOST_AUTO_TEST_CASE(no_two_owners_hand_out_at_the_same_time) {
    std::size_t unsafe_overlaps = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const auto max_delay : {Duration(500ms), Duration(4s)}) {
            BOOST_TEST(overlaps(seed, 0.04, max_delay) == 0U, "seed " << seed);
            unsafe_overlaps += overlaps(seed, -0.9, max_delay);  // A negative margin lets leases overlap.
        }
    }
    BOOST_TEST(unsafe_overlaps > 0U);
}

/// Guards against an interruption of grants after a shard owner has stopped in a planned way.
BOOST_AUTO_TEST_CASE(the_successor_of_a_stopped_owner_does_not_wait) {
    quota::ShardLease lease{{}};
    lease.onConfirmed(kStart, kStart + 4ms, true);
    BOOST_TEST(lease.mayGrant(kStart + 4ms));
    quota::ShardLease other{{}};
    other.onConfirmed(kStart, kStart + 4ms, false);
    BOOST_TEST(!other.mayGrant(kStart + 4ms));
    other.onConfirmed(kStart + 6s, kStart + 6004ms, false);
    BOOST_TEST(!other.mayGrant(kStart + 8s));
    BOOST_TEST(other.mayGrant(kStart + 9s));
    BOOST_TEST(!other.mayGrant(kStart + 14s));
    quota::ShardLease third{{}};
    third.onConfirmed(kStart, kStart + 4ms, false);
    third.onPreviousOwnerStopped(kStart + 10ms);
    BOOST_TEST(third.mayGrant(kStart + 10ms));
}

BOOST_AUTO_TEST_SUITE_END()
