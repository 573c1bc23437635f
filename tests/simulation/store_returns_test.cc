/// A store that is restored from a backup some seconds old: writes of nodes are lost, and revisions are reused. Nodes
/// must not go back to an old table, miss a change or fail to find each other.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "sim/sidecar_fleet.h"

using namespace dewcrank;

namespace {

/// All nodes must have the newest table within this time after it was put, or after a restore.
constexpr Duration kPropagationBound = 7s;
const std::vector<Duration> kAges = {500ms, 2s, 5s, 10s};

std::vector<sim::FleetService> idleNodes(std::size_t count) {
    sim::InstanceOptions options;
    options.service = "leaf";
    return {{options, count}};
}

std::size_t nodesWithNewestTable(sim::SidecarFleet& fleet) {
    std::size_t count = 0;
    for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
        const auto* node = fleet.node(machine);
        count += node != nullptr && node->table().version() == fleet.store().table().version() ? 1 : 0;
    }
    return count;
}

void putNextTable(sim::SidecarFleet& fleet) {
    fleet.putTable("leaf", "leaf", "leaf");
}

/// Restores the store `times` in short succession, and then puts a table whose revision was in use before.
/// @param age of the backups.
/// @return the number of nodes that do not have the newest table.
std::size_t nodesMissingChange(std::uint64_t seed, Duration age, int times, const DisabledMechanisms& disabled) {
    sim::SidecarFleet fleet(seed, idleNodes(12), disabled);
    fleet.runFor(1s);
    putNextTable(fleet);
    fleet.runFor(8s);
    for (int round = 0; round < 4; ++round) {
        putNextTable(fleet);
        fleet.runFor(300ms);
    }
    for (int round = 0; round < times; ++round) {
        fleet.store().restoreFromBackup(age, 200ms);
        fleet.runFor(400ms);
    }
    putNextTable(fleet);
    fleet.runFor(kPropagationBound);
    return fleet.machineCount() - nodesWithNewestTable(fleet);
}

/// The restored store names a shard owner again that was cut off, although another node has taken over its shards.
/// @return the number of shards with more than one owner, summed over samples every 20 ms.
std::size_t samplesWithTwoOwners(std::uint64_t seed, Duration age, const DisabledMechanisms& disabled) {
    wire::Tenant tenant;
    tenant.set_name("house");
    tenant.set_rate_per_s(80);
    tenant.set_burst(80);
    tenant.add_keys("key-of-house");
    sim::SidecarFleet fleet(seed, idleNodes(12), disabled, {tenant});
    const auto set_zone_cut = [&fleet](bool is_cut) {
        for (const char* other : {"zone1", "zone2"}) {
            fleet.network().setCut("zone0", other, is_cut);
            fleet.network().setCut(other, "zone0", is_cut);
        }
        for (std::size_t machine = 0; machine < fleet.machineCount(); machine += 3) {
            fleet.store().setRejected(fleet.host(machine), is_cut);
        }
    };
    fleet.runFor(1s);
    putNextTable(fleet);
    fleet.runFor(12s);
    set_zone_cut(true);
    fleet.runFor(11s);
    set_zone_cut(false);
    fleet.store().restoreFromBackup(age, 200ms);
    std::size_t overlaps = 0;
    for (int sample = 0; sample < 1000; ++sample) {
        fleet.runFor(20ms);
        for (std::uint32_t shard = 0; shard < quota::kShardCount; ++shard) {
            std::size_t owners = 0;
            for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
                owners += fleet.node(machine)->ownsQuotaShard(shard) ? 1 : 0;
            }
            overlaps += owners > 1 ? 1 : 0;
        }
    }
    return overlaps;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_store_returns)

BOOST_AUTO_TEST_CASE(no_change_is_missed_though_revisions_are_reused) {
    std::size_t missed_without_era = 0;
    DisabledMechanisms disabled;
    disabled.store_era_check = true;
    disabled.table_refresh = true;  // Or reads find what the watches have missed.
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const auto age : kAges) {
            for (const int times : {1, 2}) {
                const auto missed = nodesMissingChange(seed, age, times, {});
                BOOST_TEST(missed == 0U, "seed " << seed << ", age " << toMilliseconds(age) << " ms, times " << times);
                missed_without_era += nodesMissingChange(seed, age, times, disabled);
            }
        }
    }
    BOOST_TEST(missed_without_era > 0U);
}

/// Nodes keep their table while the restored store has an older one.
BOOST_AUTO_TEST_CASE(tables_never_go_back) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        sim::SidecarFleet fleet(seed, idleNodes(9));
        fleet.runFor(1s);
        putNextTable(fleet);
        fleet.runFor(8s);
        putNextTable(fleet);
        fleet.runFor(2s);
        const auto newest = fleet.store().table().version();
        fleet.store().restoreFromBackup(3s, 5s);
        fleet.killNode(0);
        fleet.startNode(0);
        for (int sample = 0; sample < 40; ++sample) {
            fleet.runFor(100ms);
            for (std::size_t machine = 1; machine < fleet.machineCount(); ++machine) {
                BOOST_TEST(fleet.node(machine)->table().version() == newest);
            }
        }
        fleet.runFor(2s);
        BOOST_TEST(nodesWithNewestTable(fleet) == fleet.machineCount());
    }
}

/// The restored store has no node addresses; live nodes announce themselves again.
BOOST_AUTO_TEST_CASE(nodes_that_start_after_a_restore_find_the_others) {
    std::size_t isolated_without_era = 0;
    for (const bool ignores_era : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            DisabledMechanisms disabled;
            disabled.store_era_check = ignores_era;
            sim::SidecarFleet fleet(seed, idleNodes(12), disabled, {}, 0);
            fleet.runFor(1s);
            putNextTable(fleet);
            fleet.runFor(9s);
            fleet.store().restoreFromBackup(10s, 200ms);
            fleet.runFor(8s);
            const auto calls = fleet.store().calls();
            sim::InstanceOptions options;
            options.service = "leaf";
            fleet.addMachine(options, fleet.machineCount());
            fleet.runFor(3s);
            const auto known = fleet.node(12)->directory().otherInstanceCount();
            if (ignores_era) {
                isolated_without_era += known == 0 ? 1 : 0;
            } else {
                BOOST_TEST(known == 12U, "seed " << seed);
                BOOST_TEST(fleet.node(12)->isReady(), "seed " << seed);
                BOOST_TEST(fleet.store().calls() - calls < 30U);
            }
        }
    }
    BOOST_TEST(isolated_without_era > 0U);
}

BOOST_AUTO_TEST_CASE(quota_shards_have_one_owner_at_a_time_over_a_restore) {
    std::size_t without_era = 0;
    DisabledMechanisms disabled;
    disabled.store_era_check = true;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const Duration age : {2000ms, 8000ms, 11500ms}) {
            BOOST_TEST(samplesWithTwoOwners(seed, age, {}) == 0U, "seed " << seed << ", age " << toMilliseconds(age));
            without_era += samplesWithTwoOwners(seed, age, disabled);
        }
    }
    BOOST_TEST(without_era > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
