/// Access by API keys, revocation, and quotas over all machines in a simulated fleet under faults.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"

using namespace dewcrank;

namespace {

constexpr std::uint64_t kSeeds = 3;
constexpr Duration kLoadTime = 24s;

wire::Tenant tenantOf(const std::string& name, double rate, double burst, int keys = 1) {
    wire::Tenant tenant;
    tenant.set_name(name);
    tenant.set_rate_per_s(rate);
    tenant.set_burst(burst);
    for (int number = 0; number < keys; ++number) {
        tenant.add_keys("key-of-" + name + "-" + std::to_string(number));
    }
    return tenant;
}

/// By name: "large" stays within its limit; "small" has a limit of few requests per second; "hot" exceeds its limit;
/// "free" has none; "rotating" has its second key revoked.
std::vector<wire::Tenant> tenants() {
    return {tenantOf("large", 80, 80), tenantOf("small", 4, 4), tenantOf("hot", 20, 20), tenantOf("free", 0, 0),
            tenantOf("rotating", 0, 0, 2)};
}

std::vector<sim::FleetService> fleetServices(std::size_t machines) {
    sim::InstanceOptions browse;
    browse.service = "browse";
    browse.work_time = 30ms;
    browse.slots = 40;
    browse.internal_host = "inner.example";
    sim::InstanceOptions leaf;
    leaf.service = "leaf";
    leaf.work_time = 15ms;
    leaf.slots = 20;
    return {{browse, machines / 2}, {leaf, machines - machines / 2}};
}

void revoke(sim::SidecarFleet& fleet, Duration after) {
    fleet.after(after, [&fleet] {
        fleet.changeTenants([](std::vector<wire::Tenant>* all) { all->back().mutable_keys()->RemoveLast(); });
    });
}

void takeStoreDown(sim::SidecarFleet& fleet, Duration from, Duration to) {
    fleet.after(from, [&fleet] { fleet.store().setDown(true); });
    fleet.after(to, [&fleet] { fleet.store().setDown(false); });
}

void forEachMachine(sim::SidecarFleet& fleet, const std::function<void(std::size_t)>& action) {
    for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
        action(machine);
    }
}

void cutZone(sim::SidecarFleet& fleet, Duration from, Duration to, bool cut_store) {
    const auto cut = [&fleet, cut_store](bool is_cut) {
        for (const char* other : {"zone1", "zone2"}) {
            fleet.network().setCut("zone0", other, is_cut);
            fleet.network().setCut(other, "zone0", is_cut);
        }
        for (std::size_t machine = 0; cut_store && machine < fleet.machineCount(); machine += 3) {
            fleet.store().setRejected(fleet.host(machine), is_cut);
        }
    };
    fleet.after(from, [cut] { cut(true); });
    fleet.after(to, [cut] { cut(false); });
}

using Fault = std::function<void(sim::SidecarFleet&)>;

const std::map<std::string, Fault> kFaults = {
    {"none", [](sim::SidecarFleet&) {}},
    {"the store away for 4.5 s", [](sim::SidecarFleet& fleet) { takeStoreDown(fleet, 6s, 10500ms); }},
    {"the store away for 9 s, a key revoked just before",
     [](sim::SidecarFleet& fleet) { takeStoreDown(fleet, 5010ms, 14s); }},
    {"the store sixty times slower",
     [](sim::SidecarFleet& fleet) {
         fleet.after(4s, [&fleet] { fleet.store().setResponseTime(240ms); });
         fleet.after(12s, [&fleet] { fleet.store().setResponseTime(4ms); });
     }},
    {"a third of the nodes turned away by the store",
     [](sim::SidecarFleet& fleet) {
         for (std::size_t machine = 0; machine < fleet.machineCount(); machine += 3) {
             fleet.after(2s, [&fleet, machine] { fleet.store().setRejected(fleet.host(machine), true); });
             fleet.after(14s, [&fleet, machine] { fleet.store().setRejected(fleet.host(machine), false); });
         }
     }},
    {"a zone cut off from the others, not from the store",
     [](sim::SidecarFleet& fleet) { cutZone(fleet, 4s, 16s, false); }},
    {"a zone cut off from all", [](sim::SidecarFleet& fleet) { cutZone(fleet, 4s, 16s, true); }},
    {"all nodes killed at once",
     [](sim::SidecarFleet& fleet) {
         fleet.after(7s, [&fleet] { forEachMachine(fleet, [&](std::size_t it) { fleet.killNode(it); }); });
         fleet.after(8s, [&fleet] { forEachMachine(fleet, [&](std::size_t it) { fleet.startNode(it); }); });
     }},
    {"nodes restart while the store is away",
     [](sim::SidecarFleet& fleet) {
         takeStoreDown(fleet, 4s, 13s);
         for (const std::size_t machine : {1U, 4U, 7U}) {
             fleet.after(6s, [&fleet, machine] { fleet.killNode(machine); });
             fleet.after(7s, [&fleet, machine] { fleet.startNode(machine); });
         }
     }},
    {"nodes stopped in turn",
     [](sim::SidecarFleet& fleet) {
         forEachMachine(fleet, [&](std::size_t it) {
             fleet.after(1s + 1s * static_cast<int>(it), [&fleet, it] { fleet.restartNode(it); });
         });
     }},
    {"nodes killed in turn",
     [](sim::SidecarFleet& fleet) {
         forEachMachine(fleet, [&](std::size_t it) {
             fleet.after(1s + 800ms * static_cast<int>(it), [&fleet, it] { fleet.killNode(it); });
             fleet.after(2s + 800ms * static_cast<int>(it), [&fleet, it] { fleet.startNode(it); });
         });
     }},
    {"machines suspended over a revocation",
     [](sim::SidecarFleet& fleet) {
         for (const std::size_t machine : {0U, 3U, 6U, 9U}) {
             fleet.after(4500ms, [&fleet, machine] { fleet.suspendMachine(machine, 6s); });
         }
     }},
    {"the store back from a copy of 3 s, a key revoked just before",
     [](sim::SidecarFleet& fleet) { fleet.after(5200ms, [&fleet] { fleet.store().restoreFromBackup(3s, 1s); }); }},
    {"the store back from copies twice in a row while nodes are killed in turn",
     [](sim::SidecarFleet& fleet) {
         for (const Duration at : {5200ms, 6100ms, 14000ms}) {
             fleet.after(at, [&fleet] { fleet.store().restoreFromBackup(2500ms, 700ms); });
         }
         forEachMachine(fleet, [&](std::size_t it) {
             fleet.after(2s + 900ms * static_cast<int>(it), [&fleet, it] { fleet.killNode(it); });
             fleet.after(3s + 900ms * static_cast<int>(it), [&fleet, it] { fleet.startNode(it); });
         });
     }},
    {"a zone cut off from all, and the store back from a copy from before",
     [](sim::SidecarFleet& fleet) {
         cutZone(fleet, 4s, 15s, true);
         fleet.after(15s, [&fleet] { fleet.store().restoreFromBackup(12s, 1s); });
     }},
    {"the store away, and back from a copy of 10 s",
     [](sim::SidecarFleet& fleet) {
         takeStoreDown(fleet, 8s, 9s);
         fleet.after(9s, [&fleet] { fleet.store().restoreFromBackup(10s, 500ms); });
     }},
    {"limits that go down and up",
     [](sim::SidecarFleet& fleet) {
         for (int change = 0; change < 4; ++change) {
             fleet.after(4s + 4s * change, [&fleet, change] {
                 fleet.changeTenants([change](std::vector<wire::Tenant>* all) {
                     all->front().set_rate_per_s(change % 2 == 0 ? 15 : 80);
                     all->front().set_burst(change % 2 == 0 ? 15 : 80);
                 });
             });
         }
     }},
};

/// @return the number of requests with a key whose response had a status.
std::size_t countResponses(const sim::SidecarFleet& fleet, const std::string& key, int status) {
    return static_cast<std::size_t>(
        std::count_if(fleet.requests().begin(), fleet.requests().end(),
                      [&](const auto& it) { return it->key == key && it->status == status; }));
}

/// @return the share of successful requests among those that a single token bucket with the tenant's rate and burst
/// would admit.
double servedShare(const sim::SidecarFleet& fleet, const wire::Tenant& tenant) {
    double tokens = tenant.burst();
    TimePoint filled{};
    double within_limit = 0;
    double served = 0;
    for (const auto& it : fleet.requests()) {
        if (it->key != tenant.keys(0)) {
            continue;
        }
        tokens = std::min(tenant.burst(), tokens + tenant.rate_per_s() * toSeconds(it->sent - filled));
        filled = it->sent;
        if (tokens < 1 && tenant.rate_per_s() > 0) {
            continue;
        }
        tokens -= 1;
        within_limit += 1;
        served += it->status == kHttpOk ? 1 : 0;
    }
    return served / std::max(1.0, within_limit);
}

void runWithFault(sim::SidecarFleet& fleet, const Fault& fault) {
    fleet.putTable("browse", "browse", "leaf");
    fleet.runFor(4s);
    const auto end = fleet.queue().now() + kLoadTime;
    fleet.generateKeyedLoad("key-of-large-0", 50, end);
    fleet.generateKeyedLoad("key-of-small-0", 2, end);
    fleet.generateKeyedLoad("key-of-hot-0", 80, end);
    fleet.generateKeyedLoad("key-of-free-0", 10, end);
    fleet.generateKeyedLoad("key-of-rotating-0", 5, end);
    fleet.generateKeyedLoad("key-of-rotating-1", 20, end);
    fleet.generateKeyedLoad("no-key-at-all", 5, end);
    revoke(fleet, 5s);
    fault(fleet);
    fleet.runFor(kLoadTime + 4s);
}

std::map<std::string, std::string> violationsOf(const sim::SidecarFleet& fleet) {
    std::map<std::string, std::string> found;
    for (const auto& violation : fleet.violations()) {
        found[violation.invariant] = violation.detail;
    }
    return found;
}

/// A mechanism to disable, and the invariant that is violated without it under a fault.
struct DisabledCase {
    const char* fault;
    bool DisabledMechanisms::*mechanism;
    const char* invariant;
};

const DisabledCase kDisabledCases[] = {
    {"a zone cut off from all", &DisabledMechanisms::table_age_check, "revoked keys run nothing"},
    {"none", &DisabledMechanisms::credential_removal, "API keys do not reach instances"},
    {"none", &DisabledMechanisms::credential_removal, "instances receive the tenant of the caller"},
    {"none", &DisabledMechanisms::quota_limit, "tenant quotas are respected"},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_tenants)

BOOST_AUTO_TEST_CASE(no_invariant_of_keys_and_quotas_is_violated_under_faults) {
    for (const auto& [name, fault] : kFaults) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            sim::SidecarFleet fleet(seed, fleetServices(12), {}, tenants());
            runWithFault(fleet, fault);
            for (const auto& [invariant, detail] : violationsOf(fleet)) {
                BOOST_ERROR(name << ", seed " << seed << ": " << invariant << ", such as " << detail);
            }
            BOOST_TEST(countResponses(fleet, "no-key-at-all", kHttpOk) == 0U, name);
        }
    }
}

BOOST_AUTO_TEST_CASE(each_invariant_of_keys_and_quotas_is_violated_without_its_mechanism) {
    for (const auto& row : kDisabledCases) {
        DisabledMechanisms disabled;
        disabled.*row.mechanism = true;
        sim::SidecarFleet fleet(1, fleetServices(12), disabled, tenants());
        runWithFault(fleet, kFaults.at(row.fault));
        BOOST_TEST(violationsOf(fleet).contains(row.invariant), row.invariant);
    }
}

/// Requests within the limit of their tenant succeed, however low the limit is.
BOOST_AUTO_TEST_CASE(tenants_within_their_limits_are_served) {
    for (const std::size_t machines : {20U, 80U}) {
        sim::SidecarFleet fleet(1, fleetServices(machines), {}, tenants());
        runWithFault(fleet, kFaults.at("none"));
        BOOST_TEST(violationsOf(fleet).empty());
        for (const auto& tenant : tenants()) {
            const auto share = servedShare(fleet, tenant);
            BOOST_TEST((share > 0.98 || tenant.name() == "hot"), tenant.name() << " at " << machines << ": " << share);
        }
        const auto hot = static_cast<double>(countResponses(fleet, "key-of-hot-0", kHttpOk)) / toSeconds(kLoadTime);
        BOOST_TEST(hot > 0.93 * 20, hot << " a second, of a limit of 20");
        BOOST_TEST(countResponses(fleet, "key-of-rotating-1", kHttpUnauthorized) > 200U);
    }
}

/// No request is rejected for an outdated table while the node reaches the store directly or through peers, nor in the
/// first three seconds in which the store is down for all.
BOOST_AUTO_TEST_CASE(nodes_that_the_store_rejects_use_their_peers) {
    const struct {
        const char* fault;
        Duration counted_for;  ///< Rejections count for this time from the start of the load.
    } cases[] = {{"a third of the nodes turned away by the store", kLoadTime},
                 {"the store sixty times slower", kLoadTime},
                 {"the store away for 4.5 s", 9s}};
    for (const auto& entry : cases) {
        sim::SidecarFleet fleet(2, fleetServices(20), {}, tenants());
        const auto counted_until = fleet.queue().now() + 4s + entry.counted_for;
        runWithFault(fleet, kFaults.at(entry.fault));
        const auto rejected = std::count_if(fleet.requests().begin(), fleet.requests().end(), [&](const auto& it) {
            return it->body == "table-too-old\n" && it->sent < counted_until;
        });
        BOOST_TEST(rejected <= 2, entry.fault << ": " << rejected);
    }
}

/// The number of calls to the store does not grow with the number of nodes.
BOOST_AUTO_TEST_CASE(few_nodes_read_the_table_for_all) {
    for (const std::size_t machines : {20U, 80U}) {
        sim::SidecarFleet fleet(1, fleetServices(machines), {}, tenants());
        runWithFault(fleet, kFaults.at("none"));
        const auto calls_per_node = static_cast<double>(fleet.store().calls()) / static_cast<double>(machines);
        BOOST_TEST(calls_per_node < 12, machines << " nodes: " << calls_per_node << " calls each in 32 s");
    }
}

BOOST_AUTO_TEST_CASE(quotas_hold_over_300_nodes) {
    sim::SidecarFleet fleet(1, fleetServices(300), {}, tenants());
    runWithFault(fleet, kFaults.at("a zone cut off from all"));
    for (const auto& [invariant, detail] : violationsOf(fleet)) {
        BOOST_ERROR(invariant << ", such as " << detail);
    }
}

BOOST_AUTO_TEST_SUITE_END()
