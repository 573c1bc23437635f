/// A store that comes back from a copy some seconds old: what nodes wrote since is gone, revisions go back and are
/// given out again. Tables never go back, no change is missed, and nodes that start then find the others.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "sim/sidecar_fleet.h"

using namespace dewcrank;

namespace {

/// A change is to be in force so long after it, or after the store's return, at the latest.
constexpr Duration kInForceBound = 7s;
const std::vector<Duration> kAges = {500ms, 2s, 5s, 10s};

std::vector<sim::FleetService> idleNodes(std::size_t count) {
    sim::InstanceOptions options;
    options.service = "leaf";
    return {{options, count}};
}

std::size_t nodesInForce(sim::SidecarFleet& fleet) {
    std::size_t count = 0;
    for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
        const auto* node = fleet.node(machine);
        count += node != nullptr && node->table().version() == fleet.store().table().version() ? 1 : 0;
    }
    return count;
}

void change(sim::SidecarFleet& fleet) {
    fleet.putTable("leaf", "leaf", "leaf");
}

/// Nodes that do not hold the newest table after a return, and a change after it that gets a revision which was given
/// out before. @param times that the store returns, one soon after the other.
std::size_t nodesThatMiss(std::uint64_t seed, Duration age, int times, const Weakening& weakening) {
    sim::SidecarFleet fleet(seed, idleNodes(12), weakening);
    fleet.runFor(1s);
    change(fleet);
    fleet.runFor(8s);
    for (int round = 0; round < 4; ++round) {
        change(fleet);
        fleet.runFor(300ms);
    }
    for (int round = 0; round < times; ++round) {
        fleet.store().restoreFromBackup(age, 200ms);
        fleet.runFor(400ms);
    }
    change(fleet);
    fleet.runFor(kInForceBound);
    return fleet.machineCount() - nodesInForce(fleet);
}

/// Looks at which two nodes could hand out tokens of the same shard: an owner that was cut off, and whom the store
/// names again, beside the one that has taken its place.
std::size_t looksWithTwoOwners(std::uint64_t seed, Duration age, const Weakening& weakening) {
    wire::Tenant tenant;
    tenant.set_name("house");
    tenant.set_rate_per_s(80);
    tenant.set_burst(80);
    tenant.add_keys("key-of-house");
    sim::SidecarFleet fleet(seed, idleNodes(12), weakening, {tenant});
    const auto cut = [&fleet](bool is_cut) {
        for (const char* other : {"zone1", "zone2"}) {
            fleet.network().setCut("zone0", other, is_cut);
            fleet.network().setCut(other, "zone0", is_cut);
        }
        for (std::size_t machine = 0; machine < fleet.machineCount(); machine += 3) {
            fleet.store().setTurnedAway(fleet.machineClock(machine), is_cut);
        }
    };
    fleet.runFor(1s);
    change(fleet);
    fleet.runFor(12s);
    cut(true);
    fleet.runFor(11s);
    cut(false);
    fleet.store().restoreFromBackup(age, 200ms);
    std::size_t found = 0;
    for (int look = 0; look < 1000; ++look) {
        fleet.runFor(20ms);
        for (std::uint32_t shard = 0; shard < quota::kShardCount; ++shard) {
            std::size_t owners = 0;
            for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
                owners += fleet.node(machine)->ownsQuotaShard(shard) ? 1 : 0;
            }
            found += owners > 1 ? 1 : 0;
        }
    }
    return found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_store_returns)

BOOST_AUTO_TEST_CASE(no_change_is_missed_though_revisions_are_given_out_again) {
    std::size_t missed_without_era = 0;
    Weakening weakening;
    weakening.ignores_store_era = true;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const auto age : kAges) {
            for (const int times : {1, 2}) {
                const auto missed = nodesThatMiss(seed, age, times, {});
                BOOST_TEST(missed == 0U, "seed " << seed << ", age " << toMilliseconds(age) << " ms, times " << times);
                missed_without_era += nodesThatMiss(seed, age, times, weakening);
            }
        }
    }
    BOOST_TEST(missed_without_era > 0U);
}

/// The table that nodes hold is newer than the one that the store has come back with.
BOOST_AUTO_TEST_CASE(tables_never_go_back) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        sim::SidecarFleet fleet(seed, idleNodes(9));
        fleet.runFor(1s);
        change(fleet);
        fleet.runFor(8s);
        change(fleet);
        fleet.runFor(2s);
        const auto newest = fleet.store().table().version();
        fleet.store().restoreFromBackup(3s, 5s);
        fleet.killNode(0);
        fleet.startNode(0);
        for (int look = 0; look < 40; ++look) {
            fleet.runFor(100ms);
            for (std::size_t machine = 1; machine < fleet.machineCount(); ++machine) {
                BOOST_TEST(fleet.node(machine)->table().version() == newest);
            }
        }
        fleet.runFor(2s);
        BOOST_TEST(nodesInForce(fleet) == fleet.machineCount());
    }
}

/// The store has lost all contacts: those that live list themselves again.
BOOST_AUTO_TEST_CASE(nodes_that_start_after_a_return_find_the_others) {
    std::size_t lonely_without_era = 0;
    for (const bool is_weak : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            Weakening weakening;
            weakening.ignores_store_era = is_weak;
            sim::SidecarFleet fleet(seed, idleNodes(12), weakening, {}, 0);
            fleet.runFor(1s);
            change(fleet);
            fleet.runFor(9s);
            fleet.store().restoreFromBackup(10s, 200ms);
            fleet.runFor(8s);
            const auto calls = fleet.store().calls();
            sim::InstanceOptions options;
            options.service = "leaf";
            fleet.addMachine(options, fleet.machineCount());
            fleet.runFor(3s);
            const auto known = fleet.node(12)->directory().otherInstanceCount();
            if (is_weak) {
                lonely_without_era += known == 0 ? 1 : 0;
            } else {
                BOOST_TEST(known == 12U, "seed " << seed);
                BOOST_TEST(fleet.node(12)->isReady(), "seed " << seed);
                BOOST_TEST(fleet.store().calls() - calls < 30U);
            }
        }
    }
    BOOST_TEST(lonely_without_era > 0U);
}

BOOST_AUTO_TEST_CASE(shards_of_quotas_have_one_owner_at_a_time_over_a_return) {
    std::size_t without_era = 0;
    Weakening weakening;
    weakening.ignores_store_era = true;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const Duration age : {2000ms, 8000ms, 11500ms}) {
            BOOST_TEST(looksWithTwoOwners(seed, age, {}) == 0U, "seed " << seed << ", age " << toMilliseconds(age));
            without_era += looksWithTwoOwners(seed, age, weakening);
        }
    }
    BOOST_TEST(without_era > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
