/// Balancing by pace in a simulated fleet whose instances differ in speed and slow down for a time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"

using namespace dewcrank;

namespace {

constexpr std::size_t kMachines = 9;
constexpr std::uint32_t kSlots = 10;
constexpr Duration kWorkTime = 40ms;
constexpr Duration kObjective = 100ms;
constexpr Duration kLoadTime = 9s;
constexpr double kPerSecond = 1250;  ///< About 0.7 of what the instances can serve while two of them are slowed.

/// Slows down two of the instances, others every 0.6 s.
void slowInTurn(sim::SidecarFleet* fleet, std::size_t turn) {
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
        fleet->instance(machine).options().pace = (machine + turn * 2) % kMachines < 2 ? 2.5 : 1;
    }
    fleet->after(600ms, [fleet, turn] { slowInTurn(fleet, turn + 1); });
}

/// @return the share of all requests that were served within the objective.
double servedInTime(std::uint64_t seed, const OverloadFeatures& overload) {
    sim::InstanceOptions options;
    options.service = "desk";
    options.slots = kSlots;
    options.work_time = kWorkTime;
    options.names_load = true;
    sim::SidecarFleet fleet(seed, {{options, kMachines}}, {}, {}, 3, overload);
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
        fleet.instance(machine).options().speed = 0.5 + 1.1 * static_cast<double>(machine) / (kMachines - 1);
    }
    fleet.putTable("desk", "desk", "desk");
    fleet.runFor(4s);
    slowInTurn(&fleet, 0);
    const auto begin = fleet.queue().now();
    fleet.generateLoad(kPerSecond, begin + kLoadTime, 0.3);
    fleet.runFor(kLoadTime + 3s);
    double sent = 0;
    double in_time = 0;
    for (const auto& request : fleet.requests()) {
        ++sent;
        in_time += request->status == kHttpOk && request->ended - request->sent <= kObjective ? 1 : 0;
    }
    for (const auto& violation : fleet.violations()) {
        BOOST_ERROR("seed " << seed << ": " << violation.invariant << ": " << violation.detail);
    }
    return in_time / sent;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_uneven_instances)

/// Guards against nodes in which the pace that an instance names does not reach the choice of the entries.
BOOST_AUTO_TEST_CASE(requests_avoid_slow_instances_with_balancing_by_pace) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        OverloadFeatures on;
        on.pace_balancing = true;
        on.zone_balancing = true;
        const double without = servedInTime(seed, {});
        const double with = servedInTime(seed, on);
        BOOST_TEST_MESSAGE("seed " << seed << ": in time " << without << " without, " << with << " with");
        BOOST_TEST(with > without + 0.015, "seed " << seed << ": " << without << " without, " << with << " with");
        BOOST_TEST(with > 0.9, "seed " << seed << ": " << with);
    }
}

BOOST_AUTO_TEST_SUITE_END()
