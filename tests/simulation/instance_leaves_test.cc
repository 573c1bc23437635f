/// What a node has acknowledged to a leaving instance holds for its next process too: no request is run later than the
/// drain bound after the acknowledgement, though a heartbeat from before arrives late.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <string>

#include "sim/sidecar_fleet.h"
#include "tests/support/fleets.h"

using namespace dewcrank;
using tests::instanceOptions;

namespace {

constexpr Duration kServesOn = 14s;      ///< From the announcement of an instance until it ends.
constexpr Duration kLateAfter = 2500ms;  ///< Delay of its last heartbeat, which says that it is ready.
constexpr Duration kRestartDelay = 500ms;
constexpr std::size_t kLeaving = 1;  ///< Machine with an instance of "browse".
constexpr double kRequestsPerSecond = 120;

using Fault = std::function<void(sim::SidecarFleet&)>;

void killFor(sim::SidecarFleet& fleet, std::size_t machine, Duration duration) {
    fleet.killNode(machine);
    fleet.after(duration, [&fleet, machine] { fleet.startNode(machine); });
}

void killEach(sim::SidecarFleet& fleet, std::size_t step) {
    for (std::size_t machine = 0; machine < fleet.machineCount(); machine += step) {
        if (machine != kLeaving) {
            killFor(fleet, machine, kRestartDelay);
        }
    }
    killFor(fleet, kLeaving, kRestartDelay);
}

/// Begin at the moment of the acknowledgement.
const std::map<std::string, Fault> kFaults = {
    {"none", [](sim::SidecarFleet&) {}},
    {"its node is killed", [](sim::SidecarFleet& fleet) { killFor(fleet, kLeaving, kRestartDelay); }},
    {"its node is killed 100 ms later",
     [](sim::SidecarFleet& fleet) { fleet.after(100ms, [&fleet] { killFor(fleet, kLeaving, kRestartDelay); }); }},
    {"its node is killed just before the late heartbeat",
     [](sim::SidecarFleet& fleet) { fleet.after(kLateAfter - 20ms, [&fleet] { killFor(fleet, kLeaving, 10ms); }); }},
    {"its node is killed twice",
     [](sim::SidecarFleet& fleet) {
         killFor(fleet, kLeaving, kRestartDelay);
         fleet.after(1s, [&fleet] { killFor(fleet, kLeaving, kRestartDelay); });
     }},
    {"its node is stopped", [](sim::SidecarFleet& fleet) { fleet.restartNode(kLeaving); }},
    {"its node and half of the others are killed", [](sim::SidecarFleet& fleet) { killEach(fleet, 2); }},
    {"all nodes are killed", [](sim::SidecarFleet& fleet) { killEach(fleet, 1); }},
    {"all nodes are killed twice",
     [](sim::SidecarFleet& fleet) {
         killEach(fleet, 1);
         fleet.after(kLateAfter + kRestartDelay, [&fleet] { killEach(fleet, 1); });
     }},
    {"all nodes are killed while the store is away",
     [](sim::SidecarFleet& fleet) {
         fleet.store().setDown(true);
         killEach(fleet, 1);
         fleet.after(3s, [&fleet] { fleet.store().setDown(false); });
     }},
    {"its node is killed while the store is away",
     [](sim::SidecarFleet& fleet) {
         fleet.store().setDown(true);
         killFor(fleet, kLeaving, kRestartDelay);
         fleet.after(8s, [&fleet] { fleet.store().setDown(false); });
     }},
    {"its node is killed and cut off from the others until the late heartbeat has come",
     [](sim::SidecarFleet& fleet) {
         fleet.setIsolated(kLeaving, true);
         killFor(fleet, kLeaving, kRestartDelay);
         fleet.after(kLateAfter + 500ms, [&fleet] { fleet.setIsolated(kLeaving, false); });
     }},
};

/// How an instance announces its shutdown.
enum class Announcement { kLeave, kDraining };

struct Leave {
    std::string fault;
    std::uint64_t seed = 1;
    std::size_t machines = 3;        ///< Of each service.
    bool reports_start_time = true;  ///< Of the instances.
    int late_heartbeats = 1;         ///< From before the announcement.
    Announcement announcement = Announcement::kLeave;
};

void announce(sim::SidecarInstance& instance, const Leave& leave) {
    instance.sendLateHeartbeats(leave.late_heartbeats, kLateAfter);
    if (leave.announcement == Announcement::kLeave) {
        instance.announceLeave(kServesOn);
    } else {
        instance.announceDraining(kServesOn);
    }
}

/// Runs a fault once the leave is acknowledged. Polls for that moment, as no event shows it.
void whenAcknowledged(sim::SidecarFleet& fleet, const Fault& fault) {
    if (fleet.instance(kLeaving).drainAcknowledged() != TimePoint{}) {
        fault(fleet);
    } else {
        fleet.after(1ms, [&fleet, &fault] { whenAcknowledged(fleet, fault); });
    }
}

void play(const Leave& leave) {
    auto services = tests::callingServices();
    for (auto& service : services) {
        service.machines = leave.machines;
        service.instance.reports_start_time = leave.reports_start_time;
    }
    sim::SidecarFleet fleet(leave.seed, services);
    fleet.setHealthPaths();
    fleet.putTable("browse", "desk", "leaf");
    fleet.runFor(4s);
    fleet.generateLoad(kRequestsPerSecond, fleet.queue().now() + 16s);
    fleet.after(1s, [&fleet, &leave] { announce(fleet.instance(kLeaving), leave); });
    fleet.after(1s, [&fleet, &leave] { whenAcknowledged(fleet, kFaults.at(leave.fault)); });
    fleet.runFor(18s);
    BOOST_TEST((fleet.instance(kLeaving).drainAcknowledged() != TimePoint{}), leave.fault << ", seed " << leave.seed);
    for (const auto& violation : fleet.violations()) {
        BOOST_TEST(false,
                   leave.fault << ", seed " << leave.seed << ": " << violation.invariant << ": " << violation.detail);
    }
    BOOST_TEST(fleet.countResponses(200) > 1000U, leave.fault << ", seed " << leave.seed);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_instance_leaves)

/// Guards against requests sent to an instance that is about to end, since its node has forgotten its leave.
BOOST_AUTO_TEST_CASE(an_acknowledged_leave_holds_for_the_next_process_of_the_node) {
    for (const auto& [name, fault] : kFaults) {
        for (const std::uint64_t seed : {1U, 2U}) {
            for (const bool reports_start_time : {true, false}) {
                play({name, seed, 3, reports_start_time});
            }
        }
    }
}

/// Guards against an instance that several late heartbeats revive, whatever has become of those who knew of its leave
///.
BOOST_AUTO_TEST_CASE(an_acknowledged_leave_holds_whatever_number_of_heartbeats_comes_late) {
    for (const auto& [name, fault] : kFaults) {
        for (const int late_heartbeats : {2, 5}) {
            for (const auto announcement : {Announcement::kLeave, Announcement::kDraining}) {
                play({name, 1, 3, late_heartbeats == 2, late_heartbeats, announcement});
            }
        }
    }
}

/// Guards against an instance that gets no requests for as long as its health path says falsely that it is leaving,
/// once its node has started again.
BOOST_AUTO_TEST_CASE(a_ready_instance_with_a_false_health_path_is_back_within_seconds) {
    auto services = tests::callingServices();
    services.front().instance.denies_health = true;
    sim::SidecarFleet fleet(1, services);
    fleet.setHealthPaths();
    fleet.putTable("browse", "desk", "leaf");
    fleet.runFor(10s);
    killEach(fleet, 1);
    fleet.runFor(6s);
    const auto before = fleet.runs().size();
    fleet.generateLoad(kRequestsPerSecond, fleet.queue().now() + 3s);
    fleet.runFor(5s);
    BOOST_TEST(fleet.runs().size() > before + 200);
    for (const auto& violation : fleet.violations()) {
        BOOST_TEST(false, violation.invariant << ": " << violation.detail);
    }
}

/// The same in a fleet in which few of the nodes hear of the leave at once.
BOOST_AUTO_TEST_CASE(an_acknowledged_leave_holds_in_a_larger_fleet) {
    for (const char* name : {"its node is killed", "its node is killed twice"}) {
        play({name, 3, 25});
    }
}

BOOST_AUTO_TEST_SUITE_END()
