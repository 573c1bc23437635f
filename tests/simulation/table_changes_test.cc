/// Changes of the table are in force at all nodes in touch within their bound, whatever happens to watches,
/// connections and nodes meanwhile.

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sim/sidecar_fleet.h"
#include "sim/table_audit.h"
#include "tests/support/fleets.h"

using namespace dewcrank;
using tests::instanceOptions;

namespace {

/// Environment variable with the number of seeds of each case; for long runs by hand.
constexpr const char* kSeedsVariable = "DEWCRANK_SIM_SEEDS";
constexpr Duration kStartTime = 10s;
constexpr Duration kChangeInterval = 450ms;
constexpr Duration kFaultTime = 2s;   ///< From the first change to the fault, plus a part of the interval by seed.
constexpr Duration kChangeTime = 9s;  ///< How long changes come.
constexpr Duration kProbeTime = 12s;  ///< How long probes are sent.
constexpr Duration kSettleTime = 3s;  ///< For the responses to the last probes.
constexpr Duration kCutTime = 6s;

std::uint64_t seedCount(std::uint64_t by_default) {
    const char* text = std::getenv(kSeedsVariable);
    return text == nullptr ? by_default : std::strtoull(text, nullptr, 10);
}

/// A fleet of two services that has its first table, and an audit of the changes that follow.
struct AuditedFleet {
    AuditedFleet(std::size_t count, std::uint64_t seed, const DisabledMechanisms& disabled = {})
        : fleet(seed,
                {{instanceOptions("leaf", 5ms, 50), count - count / 2}, {instanceOptions("other", 5ms, 50), count / 2}},
                disabled),
          audit(fleet, {"leaf", "other"}) {
        audit.change();
        fleet.runFor(kStartTime);
    }

    /// The machines whose nodes watch the store, at most half of the fleet.
    std::vector<std::size_t> watchers() {
        const auto hosts = fleet.store().hostsServedSince(fleet.queue().now() - 100ms);
        std::vector<std::size_t> found;
        for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
            if (hosts.contains(&fleet.host(machine)) && found.size() < fleet.machineCount() / 2) {
                found.push_back(machine);
            }
        }
        return found;
    }
    void silenceAll() {
        fleet.silenceNodeConnections();
        silenceStore();
    }
    /// Counts as a disturbance of all machines, as the reset of their connections would.
    void silenceStore() {
        fleet.store().silenceConnections();
        audit.onAllDisturbed(Duration::zero());
    }
    /// Cuts the nodes that watch the store off from it; they get no reset.
    void cutWatchers() {
        for (const auto machine : watchers()) {
            rejectAtStore(machine, kCutTime);
            audit.onMachineDisturbed(machine, kCutTime);
        }
    }
    void rejectAtStore(std::size_t machine, Duration duration) {
        fleet.store().setRejected(fleet.host(machine), true);
        fleet.after(duration, [this, machine] { fleet.store().setRejected(fleet.host(machine), false); });
    }
    /// Cuts one machine in ten off from the nodes of all others. Their paths to the store stay, so they are in touch.
    void isolateSome() {
        for (std::size_t machine = 0; machine < fleet.machineCount(); machine += 10) {
            fleet.setIsolated(machine, true);
            fleet.after(kCutTime, [this, machine] { fleet.setIsolated(machine, false); });
        }
    }
    void killWatchers() {
        for (const auto machine : watchers()) {
            fleet.killNode(machine);
            audit.onMachineDisturbed(machine, kCutTime);
            fleet.after(kCutTime, [this, machine] {
                fleet.startNode(machine);
                audit.onNodeRestarted(machine);
            });
        }
    }
    /// A third of the nodes, those that watch among them, get no response from the store.
    void rejectThird() {
        std::set<std::size_t> machines;
        for (const auto machine : watchers()) {
            machines.insert(machine);
        }
        for (std::size_t machine = 0; machines.size() < fleet.machineCount() / 3; ++machine) {
            machines.insert(machine);
        }
        for (const auto machine : machines) {
            rejectAtStore(machine, kCutTime / 2);
            audit.onMachineDisturbed(machine, kCutTime / 2);
        }
    }
    void stopStore() {
        fleet.store().setDown(true);
        fleet.after(kCutTime / 2, [this] { fleet.store().setDown(false); });
        audit.onAllDisturbed(kCutTime / 2);
    }

    sim::SidecarFleet fleet;
    sim::TableAudit audit;
};

struct Fault {
    std::string name;
    std::function<void(AuditedFleet&)> inject;
};

const std::vector<Fault>& faults() {
    static const std::vector<Fault> all = {
        {"none", [](AuditedFleet&) {}},
        {"connections to the store go silent", [](AuditedFleet& it) { it.silenceStore(); }},
        {"connections of nodes go silent",
         [](AuditedFleet& it) {
             it.fleet.silenceNodeConnections();
             it.audit.onAllDisturbed(Duration::zero());
         }},
        {"all connections go silent", [](AuditedFleet& it) { it.silenceAll(); }},
        {"all connections go silent three times",
         [](AuditedFleet& it) {
             it.silenceAll();
             it.fleet.after(1100ms, [&it] { it.silenceAll(); });
             it.fleet.after(2200ms, [&it] { it.silenceAll(); });
         }},
        {"watchers are cut off from the store", [](AuditedFleet& it) { it.cutWatchers(); }},
        {"watchers are cut off from the store, then all connections go silent",
         [](AuditedFleet& it) {
             it.cutWatchers();
             it.fleet.after(700ms, [&it] { it.silenceAll(); });
         }},
        {"a tenth is cut off from all other nodes", [](AuditedFleet& it) { it.isolateSome(); }},
        {"a tenth is cut off from all other nodes, and connections to the store go silent",
         [](AuditedFleet& it) {
             it.isolateSome();
             it.fleet.after(300ms, [&it] { it.silenceStore(); });
         }},
        {"watchers are killed, and connections to the store go silent",
         [](AuditedFleet& it) {
             it.killWatchers();
             it.silenceStore();
         }},
        {"the store turns away a third", [](AuditedFleet& it) { it.rejectThird(); }},
        {"the store turns away a third, then all connections go silent",
         [](AuditedFleet& it) {
             it.rejectThird();
             it.fleet.after(kCutTime / 2, [&it] { it.silenceAll(); });
         }},
        {"the store is silent", [](AuditedFleet& it) { it.stopStore(); }},
        {"the store drops its history, and all connections go silent",
         [](AuditedFleet& it) {
             it.fleet.store().compactHistory();
             it.silenceAll();
         }},
    };
    return all;
}

/// Plays one fault among changes that come all the time.
void play(AuditedFleet& it, const Fault& fault, std::uint64_t seed) {
    const auto begin = it.fleet.queue().now();
    const auto probe_interval = it.fleet.machineCount() > 100 ? 500ms : 150ms;
    it.audit.changeRepeatedly(kChangeInterval, begin + kChangeTime);
    it.audit.probeRepeatedly(probe_interval, begin + kProbeTime);
    it.fleet.after(kFaultTime + kChangeInterval * static_cast<int>(seed % 10) / 10, [&] { fault.inject(it); });
    it.fleet.runFor(kProbeTime + kSettleTime);
}

/// Checks all invariants, one message an invariant.
void checkInvariants(const AuditedFleet& it) {
    std::map<std::string, int> counts;
    std::map<std::string, std::string> examples;
    auto violations = it.fleet.violations();
    const auto of_tables = it.audit.violations();
    violations.insert(violations.end(), of_tables.begin(), of_tables.end());
    for (const auto& violation : violations) {
        ++counts[violation.invariant];
        examples.try_emplace(violation.invariant, violation.detail);
    }
    for (const auto& [invariant, count] : counts) {
        BOOST_TEST(count == 0, invariant << ": " << count << " times, first " << examples[invariant]);
    }
}

/// Delays of changes: the longest, the 99th percentile, and how many changes have never got everywhere.
std::string describe(std::vector<std::optional<Duration>> delays) {
    const auto missing = std::erase(delays, std::nullopt);
    std::sort(delays.begin(), delays.end());
    const auto at = [&](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(delays.size() - 1));
        return delays.empty() ? "-" : std::to_string(toMilliseconds(*delays[index])) + " ms";
    };
    return std::to_string(delays.size()) + " changes, longest " + at(1) + ", 99th percentile " + at(0.99) + ", " +
           std::to_string(missing) + " missing";
}

void checkFault(std::size_t nodes, std::uint64_t seeds, const Fault& fault) {
    std::vector<std::optional<Duration>> all_delays;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        AuditedFleet it(nodes, seed);
        const auto begin = it.fleet.queue().now();
        play(it, fault, seed);
        const auto delays = it.audit.delays(begin);
        all_delays.insert(all_delays.end(), delays.begin(), delays.end());
        BOOST_TEST_CONTEXT(nodes << " nodes, seed " << seed << ", " << fault.name << ": " << describe(delays)) {
            checkInvariants(it);
        }
    }
    BOOST_TEST_MESSAGE("delays at " << nodes << " nodes, " << fault.name << ": " << describe(all_delays));
}

/// @return the index of each fault: a case of its own in the tests below.
auto faultIndexes() {
    return boost::unit_test::data::xrange(faults().size());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_table_changes)

BOOST_DATA_TEST_CASE(changes_are_in_force_in_time_at_3_nodes, faultIndexes(), fault) {
    checkFault(3, seedCount(10), faults()[fault]);
}

BOOST_DATA_TEST_CASE(changes_are_in_force_in_time_at_9_nodes, faultIndexes(), fault) {
    checkFault(9, seedCount(10), faults()[fault]);
}

BOOST_DATA_TEST_CASE(changes_are_in_force_in_time_at_70_nodes, faultIndexes(), fault) {
    checkFault(70, seedCount(2), faults()[fault]);
}

BOOST_DATA_TEST_CASE(changes_are_in_force_in_time_at_300_nodes, faultIndexes(), fault) {
    checkFault(300, seedCount(1), faults()[fault]);
}

/// Watches alone leave changes late, so that the checks above can fail.
BOOST_AUTO_TEST_CASE(changes_are_late_without_a_bound_on_the_age_of_the_table) {
    DisabledMechanisms disabled;
    disabled.table_refresh = true;
    for (const char* name : {"connections to the store go silent", "watchers are cut off from the store"}) {
        const auto fault =
            std::find_if(faults().begin(), faults().end(), [&](const auto& it) { return it.name == name; });
        AuditedFleet it(9, 1, disabled);
        play(it, *fault, 1);
        BOOST_TEST(!it.audit.violations().empty(), name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
