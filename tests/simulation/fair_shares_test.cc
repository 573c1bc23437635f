/// Tenants that compete at a bottleneck two hops below the entries, in a simulated fleet.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"

using namespace dewcrank;

namespace {

constexpr int kSmallTenants = 6;
constexpr double kSmallPerSecond = 25;
/// 3 leaves with 10 slots serve 1,500 calls of 20 ms a second: 375 trees of 4 calls. Demand is 550.
constexpr double kHotPerSecond = 400;
constexpr Duration kLoadTime = 16s;
constexpr Duration kWarmUp = 4s;

wire::Tenant tenantOf(const std::string& name, double rate) {
    wire::Tenant tenant;
    tenant.set_name(name);
    tenant.set_rate_per_s(rate);
    tenant.set_burst(rate);
    tenant.add_keys("key-of-" + name);
    return tenant;
}

std::string smallTenant(int number) {
    return "small-" + std::to_string(number);
}

/// Quotas are above what the tenants send, so that only the bottleneck limits them.
std::vector<wire::Tenant> tenants(double scale) {
    std::vector<wire::Tenant> all = {tenantOf("hot", 2 * kHotPerSecond * scale)};
    for (int number = 0; number < kSmallTenants; ++number) {
        all.push_back(tenantOf(smallTenant(number), 2 * kSmallPerSecond * scale));
    }
    return all;
}

std::vector<sim::FleetService> fleetServices(std::size_t scale) {
    sim::InstanceOptions browse;
    browse.service = "browse";
    browse.work_time = 40ms;
    browse.slots = 60;
    browse.internal_host = "inner.example";
    browse.internal_calls = 4;
    browse.internal_deadline = 700ms;
    browse.fails_with_internal_call = true;
    sim::InstanceOptions leaf;
    leaf.service = "leaf";
    leaf.work_time = 20ms;
    leaf.slots = 10;
    return {{browse, 3 * scale}, {leaf, 3 * scale}};
}

struct Fleet {
    Fleet(std::size_t scale, bool fair_shares)
        : fleet(1, fleetServices(scale), {}, tenants(static_cast<double>(scale)), 3, featuresOf(fair_shares)),
          factor(static_cast<double>(scale)) {
        fleet.putTable("browse", "browse", "leaf");
        fleet.runFor(4s);
        begin = fleet.queue().now();
    }
    static OverloadFeatures featuresOf(bool fair_shares) {
        OverloadFeatures features;
        features.fair_shares = fair_shares;
        return features;
    }
    void generateLoad() {
        fleet.generateKeyedLoad("key-of-hot", kHotPerSecond * factor, begin + kLoadTime);
        for (int number = 0; number < kSmallTenants; ++number) {
            fleet.generateKeyedLoad("key-of-" + smallTenant(number), kSmallPerSecond * factor, begin + kLoadTime);
        }
    }
    /// @return the share of the requests with a key, after the warm-up, for which a condition holds.
    template <typename Condition>
    double shareOf(const std::string& key_prefix, Condition condition) const {
        double requests = 0;
        double found = 0;
        for (const auto& it : fleet.requests()) {
            if (it->key.starts_with(key_prefix) && it->sent >= begin + kWarmUp && it->sent < begin + kLoadTime) {
                requests += 1;
                found += condition(*it) ? 1 : 0;
            }
        }
        return found / std::max(1.0, requests);
    }
    [[nodiscard]] double served(const std::string& key_prefix) const {
        return shareOf(key_prefix, [](const sim::CallerRequest& it) { return it.status == kHttpOk; });
    }
    [[nodiscard]] double refusedAtBottleneck(const std::string& key_prefix) const {
        return shareOf(key_prefix, [](const sim::CallerRequest& it) { return it.body == "bottleneck\n"; });
    }
    std::uint64_t flowRejections() {
        std::uint64_t sum = 0;
        for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
            sum += fleet.node(machine) == nullptr ? 0 : fleet.node(machine)->flowRejections();
        }
        return sum;
    }
    void checkInvariants() const {
        for (const auto& violation : fleet.violations()) {
            BOOST_ERROR(violation.invariant << ": " << violation.detail);
        }
    }

    sim::SidecarFleet fleet;
    double factor;
    TimePoint begin{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_fair_shares)

/// Guards against small tenants that are refused for the demand of a hot one. Without the part, all tenants are refused
/// alike.
BOOST_AUTO_TEST_CASE(small_tenants_are_served_beside_a_hot_one) {
    for (const std::size_t scale : {1U, 4U}) {
        Fleet on(scale, true);
        on.generateLoad();
        on.fleet.runFor(kLoadTime);
        const auto hot = on.fleet.node(0)->quota().fleetRate(tenants(on.factor).front());
        on.fleet.runFor(3s);
        Fleet off(scale, false);
        off.generateLoad();
        off.fleet.runFor(kLoadTime + 3s);
        BOOST_TEST_MESSAGE("scale " << scale << ": small served " << on.served("key-of-small") << " (off "
                                    << off.served("key-of-small") << "), hot " << on.served("key-of-hot") << " (off "
                                    << off.served("key-of-hot") << "), all " << on.served("key") << " (off "
                                    << off.served("key") << "); " << on.flowRejections() << " rejected for a share"
                                    << "; fleet-wide rate of hot " << (hot ? hot->per_s : 0));
        BOOST_TEST(on.served("key-of-small") > 0.93, scale << ": " << on.served("key-of-small"));
        BOOST_TEST(off.served("key-of-small") < 0.85, scale << ": " << off.served("key-of-small"));
        BOOST_TEST(on.served("key-of-hot") > 0.25 * on.served("key"), scale << ": " << on.served("key-of-hot"));
        BOOST_TEST(on.served("key") > off.served("key") - 0.03, scale << ": " << on.served("key"));
        BOOST_TEST(on.flowRejections() > 0U);
        BOOST_TEST(off.flowRejections() == 0U);
        BOOST_REQUIRE(hot.has_value());
        BOOST_TEST(std::abs(hot->per_s - kHotPerSecond * on.factor) < 0.35 * kHotPerSecond * on.factor, hot->per_s);
        on.checkInvariants();
    }
}

/// Guards against shares that depend on the owners of the quota shards, on the nodes that have seen a tenant's
/// requests, or on a tenant's row: all owners are killed and come back, nodes restart, and a tenant is removed.
BOOST_AUTO_TEST_CASE(shares_hold_while_owners_and_nodes_are_lost_and_a_tenant_is_removed) {
    Fleet run(2, true);
    run.generateLoad();
    run.fleet.after(6s, [&run] {
        for (std::size_t machine = 0; machine < run.fleet.machineCount(); ++machine) {
            if (run.fleet.node(machine)->quotaShards() > 0 && machine < 3) {
                run.fleet.killNode(machine);
                run.fleet.after(1s, [&run, machine] { run.fleet.startNode(machine); });
            }
        }
    });
    run.fleet.after(9s, [&run] { run.fleet.restartNode(4); });
    run.fleet.after(11s, [&run] { run.fleet.changeTenants([](std::vector<wire::Tenant>* all) { all->pop_back(); }); });
    run.fleet.runFor(kLoadTime + 3s);
    double worst = 0;
    for (int number = 0; number < kSmallTenants; ++number) {
        worst = std::max(worst, run.refusedAtBottleneck("key-of-" + smallTenant(number)));
    }
    BOOST_TEST_MESSAGE("small tenants refused at the bottleneck " << run.refusedAtBottleneck("key-of-small")
                                                                  << ", worst " << worst << ", hot "
                                                                  << run.refusedAtBottleneck("key-of-hot"));
    BOOST_TEST(worst < 0.12, worst);
    BOOST_TEST(run.refusedAtBottleneck("key-of-hot") > 2 * worst);
    run.checkInvariants();
}

BOOST_AUTO_TEST_SUITE_END()
