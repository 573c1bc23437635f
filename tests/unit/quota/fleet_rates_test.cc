#include "src/quota/fleet_rates.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

#include "src/quota/asked_rates.h"

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

bool allShards(std::uint32_t) {
    return true;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_quota_fleet_rates)

/// Guards against a new owner that reports a wrong rate: it reports none at first, and then that of the time for which
/// it has been the owner.
BOOST_AUTO_TEST_CASE(owners_measure_the_rate_of_requested_tokens) {
    quota::AskedRates rates;
    auto now = kStart;
    for (int request = 0; request < 300; ++request, now += 10ms) {
        rates.onAsked(now, "house", 2);
        const double rate = rates.perSecond(now, "house");
        BOOST_REQUIRE((now - kStart < 1s ? rate == 0 : std::abs(rate - 200) < 10));
    }
    BOOST_TEST(rates.perSecond(now, "other") == 0);
    BOOST_TEST(rates.perSecond(now + 10s, "house") < 2);
}

/// Guards against a tenant with a quota over several shards that looks as small as one shard's part.
BOOST_AUTO_TEST_CASE(rates_of_all_shards_of_a_tenant_are_summed) {
    quota::FleetRates rates;
    const auto tenant = tenantOf(429, 429);
    for (std::uint32_t shard = 0; shard < quota::kShardCount; ++shard) {
        rates.onReport(kStart + 100ms * shard, shard, "house", 10 + shard);
    }
    const auto rate = rates.rateOf(kStart + 1s, tenant, allShards);
    BOOST_REQUIRE(rate.has_value());
    BOOST_TEST(rate->per_s == 108);
    BOOST_TEST((rate->age == 1s));
}

/// Guards against a rate that falls with the number of shards whose owners this node has not asked lately, or that
/// counts the part of a shard without an owner.
BOOST_AUTO_TEST_CASE(shards_without_a_report_count_as_the_mean_and_shards_without_an_owner_do_not) {
    quota::FleetRates rates;
    const auto tenant = tenantOf(429, 429);
    rates.onReport(kStart, 0, "house", 10);
    rates.onReport(kStart, 1, "house", 14);
    BOOST_TEST(rates.rateOf(kStart, tenant, allShards)->per_s == 96);
    const auto without_last = [](std::uint32_t shard) { return shard != 7; };
    BOOST_TEST(rates.rateOf(kStart, tenant, without_last)->per_s == 84);
    BOOST_TEST(!rates.rateOf(kStart, tenant, [](std::uint32_t) { return false; }).has_value());
}

/// Guards against old rates: an owner that has gone away, or reports none since it has just become the owner.
BOOST_AUTO_TEST_CASE(old_and_withdrawn_reports_are_ignored) {
    quota::FleetRates rates;
    const auto tenant = tenantOf(429, 429);
    rates.onReport(kStart, 3, "house", 10);
    BOOST_TEST(rates.rateOf(kStart + 3s, tenant, allShards).has_value());
    BOOST_TEST(!rates.rateOf(kStart + 3001ms, tenant, allShards).has_value());
    rates.onReport(kStart + 4s, 3, "house", 20);
    rates.onReport(kStart + 5s, 3, "house", 0);
    BOOST_TEST(!rates.rateOf(kStart + 5s, tenant, allShards).has_value());
    BOOST_TEST(!rates.rateOf(kStart + 5s, tenantOf(0, 0), allShards).has_value());
}

/// Guards against a tenant over its quota that is refused twice: requests beyond the quota do not reach a bottleneck.
BOOST_AUTO_TEST_CASE(a_rate_is_at_most_the_limit_of_the_tenant) {
    quota::FleetRates rates;
    const auto tenant = tenantOf(4, 4);
    rates.onReport(kStart, quota::firstShardOf("house"), "house", 26);
    BOOST_TEST(rates.rateOf(kStart, tenant, allShards)->per_s == 4);
}

BOOST_AUTO_TEST_SUITE_END()
