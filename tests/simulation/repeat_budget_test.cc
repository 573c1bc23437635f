/// Retries over a whole fleet while instances shed load and nodes restart: budgets that each relay keeps by its own
/// window can together exceed the limit when load moves between relays.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"

using namespace dewcrank;

namespace {

constexpr std::size_t kLeaves = 4;
constexpr std::size_t kDesks = 3;
constexpr Duration kLoadTime = 26s;

/// @param callers services each run of which makes four internal calls of the last service.
std::vector<sim::FleetService> fleetServices(const std::vector<std::string>& callers) {
    sim::InstanceOptions desk;
    desk.work_time = 20ms;
    desk.slots = 60;
    desk.internal_host = "inner.example";
    desk.internal_calls = 4;
    desk.fails_with_internal_call = true;
    sim::InstanceOptions leaf;
    leaf.service = "leaf";
    leaf.work_time = 10ms;
    leaf.slots = 40;
    std::vector<sim::FleetService> all;
    for (const auto& caller : callers) {
        desk.service = caller;
        all.push_back({desk, kDesks});
    }
    all.push_back({leaf, kLeaves});
    return all;
}

/// Calls `action` with each machine of the last service.
void forEachLeaf(const std::function<void(std::size_t)>& action) {
    for (std::size_t leaf = 0; leaf < kLeaves; ++leaf) {
        action(kDesks + leaf);
    }
}

void setShedShare(sim::SidecarFleet& fleet, Duration after, double share) {
    fleet.after(after, [&fleet, share] {
        forEachLeaf([&](std::size_t machine) { fleet.instance(machine).options().shed_share = share; });
    });
}

void restartInTurn(sim::SidecarFleet& fleet, Duration after, Duration gap) {
    for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
        fleet.after(after + gap * static_cast<int>(machine), [&fleet, machine] { fleet.restartNode(machine); });
    }
}

void killInTurn(sim::SidecarFleet& fleet, Duration after, Duration gap) {
    for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
        const auto begin = after + gap * static_cast<int>(machine);
        fleet.after(begin, [&fleet, machine] { fleet.killNode(machine); });
        fleet.after(begin + 1s, [&fleet, machine] { fleet.startNode(machine); });
    }
}

/// Crashes instances one after the other; each restarts after 3 s. Their nodes stay up.
void replaceInTurn(sim::SidecarFleet& fleet, Duration after, Duration gap) {
    for (std::size_t leaf = 0; leaf < kLeaves; ++leaf) {
        const auto machine = kDesks + leaf;
        const auto options = fleet.instance(machine).options();
        fleet.after(after + gap * static_cast<int>(leaf), [&fleet, machine] { fleet.instance(machine).crash(); });
        fleet.after(after + gap * static_cast<int>(leaf) + 3s, [&fleet, machine, options] {
            auto restart_options = options;
            restart_options.shed_share = 0.5;
            fleet.instance(machine).start(restart_options);
        });
    }
}

using Fault = std::function<void(sim::SidecarFleet&)>;

const std::map<std::string, Fault> kFaults = {
    {"shedding alone", [](sim::SidecarFleet& fleet) { setShedShare(fleet, 5s, 0.5); }},
    {"shedding while nodes are stopped in turn",
     [](sim::SidecarFleet& fleet) {
         setShedShare(fleet, 5s, 0.5);
         restartInTurn(fleet, 2s, 1300ms);
     }},
    {"shedding while nodes are stopped in turn, twice",
     [](sim::SidecarFleet& fleet) {
         setShedShare(fleet, 5s, 0.7);
         restartInTurn(fleet, 1s, 800ms);
         restartInTurn(fleet, 10s, 800ms);
     }},
    {"shedding while nodes are killed in turn",
     [](sim::SidecarFleet& fleet) {
         setShedShare(fleet, 5s, 0.5);
         killInTurn(fleet, 6s, 700ms);
         killInTurn(fleet, 13s, 700ms);
     }},
    {"shedding while instances are replaced in turn",
     [](sim::SidecarFleet& fleet) {
         setShedShare(fleet, 5s, 0.5);
         replaceInTurn(fleet, 6s, 2s);
     }},
};

constexpr double kLoad = 160;
constexpr std::uint64_t kSeeds = 4;

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_repeat_budget)

/// The limit holds in each sliding window and at each service.
BOOST_AUTO_TEST_CASE(retries_stay_within_their_limit_over_the_whole_fleet) {
    for (const auto& [name, fault] : kFaults) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            sim::SidecarFleet fleet(seed, fleetServices({"desk"}));
            fleet.putTable("desk", "desk", "leaf");
            fleet.runFor(4s);
            fleet.generateLoad(kLoad, fleet.queue().now() + kLoadTime, 0.3);
            fault(fleet);
            fleet.runFor(kLoadTime + 4s);
            for (const auto& violation : fleet.violations()) {
                BOOST_ERROR(name << ", seed " << seed << ": " << violation.invariant << ": " << violation.detail);
            }
        }
    }
}

/// A retry at the first service makes four calls again, which count against the limit of the second one.
BOOST_AUTO_TEST_CASE(calls_of_retried_runs_stay_within_the_limit_downstream) {
    for (const double load : {10.0, 20.0, 40.0}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            sim::SidecarFleet fleet(seed, fleetServices({"desk", "browse"}));
            fleet.putTable("desk", "browse", "leaf");
            fleet.runFor(12s);
            fleet.generateLoad(load, fleet.queue().now() + kLoadTime, 0.3);
            fleet.after(8s, [&fleet] {
                for (std::size_t machine = 0; machine < 2 * kDesks; ++machine) {
                    fleet.instance(machine).options().error_share = 0.5;
                }
            });
            fleet.runFor(kLoadTime + 4s);
            for (const auto& violation : fleet.violations()) {
                BOOST_ERROR(load << " a second, seed " << seed << ": " << violation.invariant << ": "
                                 << violation.detail);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
