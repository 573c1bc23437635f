/// Instances that accept a bounded number of connections, fewer while nearly all of their slots are in use, and refuse
/// further ones.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"
#include "tests/support/fleets.h"

using namespace dewcrank;

namespace {

constexpr Duration kWork = 200ms;
constexpr std::uint32_t kSlots = 40;
/// Requests per second that one instance can run.
constexpr double kInstanceRate = 185;
constexpr Duration kSurge = 3s;
/// All requests are served again within this time after the load that caused the refusals has ended.
constexpr Duration kRecovery = 2s;

/// With the last free slots in use, the instance refuses connections although it answers on those that are open.
sim::InstanceOptions boundedInstance() {
    auto options = tests::instanceOptions("work", kWork, kSlots);
    options.max_connections = 45;
    options.max_connections_full = 33;
    return options;
}

/// A small instance with long runs, for a large fleet at a rate that can be simulated.
sim::InstanceOptions smallInstance() {
    auto options = tests::instanceOptions("work", 700ms, 4);
    options.max_connections = 4;
    options.max_connections_full = 3;
    return options;
}

/// A fleet of one service whose load has been a third of the capacity, and 1.2 of it for `kSurge`.
struct SurgedFleet {
    /// @param instance_rate requests per second that one instance can run.
    SurgedFleet(std::uint64_t seed, std::size_t instances, const sim::InstanceOptions& instance = boundedInstance(),
                double instance_rate = kInstanceRate)
        : fleet(seed, {{instance, instances}}) {
        fleet.putTable("work", "work", "work");
        spreadHeartbeats(instances);
        const double capacity = instance_rate * static_cast<double>(instances);
        surge_end = fleet.queue().now() + 1s + kSurge;
        fleet.generateLoad(capacity / 3, surge_end + 7s);
        fleet.runFor(1s);
        fleet.generateLoad(0.87 * capacity, surge_end);
    }
    /// Gives the heartbeats of the instances different phases, as those of processes have.
    void spreadHeartbeats(std::size_t instances) {
        const auto interval = boundedInstance().heartbeat_interval;
        for (std::size_t index = 0; index < instances; ++index) {
            fleet.instance(index).options().heartbeat_interval =
                interval + interval * static_cast<std::int64_t>(index) / static_cast<std::int64_t>(instances);
        }
        fleet.runFor(2s);
        for (std::size_t index = 0; index < instances; ++index) {
            fleet.instance(index).options().heartbeat_interval = interval;
        }
        fleet.runFor(2s);
    }
    void runUntil(TimePoint time) { fleet.runFor(time - fleet.queue().now()); }
    sim::SidecarFleet fleet;
    TimePoint surge_end{};
};

/// @return the share of the requests sent in a time that were served.
double servedShare(const sim::SidecarFleet& fleet, TimePoint begin, TimePoint end) {
    double sent = 0;
    double served = 0;
    for (const auto& request : fleet.requests()) {
        if (request->sent >= begin && request->sent < end) {
            sent += 1;
            served += request->status == kHttpOk ? 1 : 0;
        }
    }
    return served / std::max(1.0, sent);
}

void checkInvariants(const sim::SidecarFleet& fleet, const std::string& label) {
    for (const auto& violation : fleet.violations()) {
        BOOST_ERROR(label << violation.invariant << ": " << violation.detail);
    }
}

/// @param fault happens in the surge, while connections are refused.
void checkRecovery(const std::string& name, std::size_t instances, std::uint64_t seed,
                   const std::function<void(SurgedFleet*)>& fault = {}) {
    SurgedFleet surged(seed, instances);
    surged.runUntil(surged.surge_end - 2s);
    if (fault) {
        fault(&surged);
    }
    surged.runUntil(surged.surge_end + 8s);
    const auto label = name + ", " + std::to_string(instances) + " instances, seed " + std::to_string(seed) + ": ";
    const double in_surge = servedShare(surged.fleet, surged.surge_end - kSurge, surged.surge_end);
    const double after = servedShare(surged.fleet, surged.surge_end + kRecovery, surged.surge_end + kRecovery + 4s);
    BOOST_TEST(in_surge > (fault ? 0.4 : 0.7), label << in_surge << " served in the surge");
    BOOST_TEST(after == 1, label << after << " served after it");
    checkInvariants(surged.fleet, label);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_refused_connections)

/// Guards against an instance taken out of service by a refused connection: its load then makes the next one refuse,
/// and all instances of the service are out of service long after the surge.
BOOST_AUTO_TEST_CASE(all_is_served_again_soon_after_a_surge_in_which_connections_were_refused) {
    for (const std::size_t instances : {3U, 6U}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            checkRecovery("no fault", instances, seed);
        }
    }
}

/// @return the time until the node of a machine counts its instance as down.
Duration timeUntilDown(SurgedFleet* surged, std::size_t machine) {
    const auto began = surged->fleet.queue().now();
    const auto& directory = surged->fleet.node(machine)->directory();
    while (directory.self().instance().state() == wire::INSTANCE_READY && surged->fleet.queue().now() < began + 2s) {
        surged->fleet.runFor(1ms);
    }
    return surged->fleet.queue().now() - began;
}

void crashAndRestart(SurgedFleet* surged) {
    surged->fleet.instance(0).crash();
    const auto time = timeUntilDown(surged, 0);
    BOOST_TEST(toMilliseconds(time) <= 25, "the crash was detected after " << toMilliseconds(time) << " ms");
    surged->fleet.after(1500ms, [surged] { surged->fleet.instance(0).start(boundedInstance()); });
}

/// Nothing arrives at the instance any more, and it sends no heartbeat.
void loseHost(SurgedFleet* surged) {
    auto& fleet = surged->fleet;
    auto& host = fleet.instance(0).host();
    const auto setDark = [&fleet, &host](bool is_dark) {
        fleet.network().setCut(fleet.host(0), host, is_dark);
        fleet.network().setCut(host, fleet.host(0), is_dark);
    };
    host.freeze();
    setDark(true);
    const auto time = timeUntilDown(surged, 0);
    BOOST_TEST(toMilliseconds(time) <= 700, "the dark host was detected after " << toMilliseconds(time) << " ms");
    fleet.after(1s, [&host, setDark] {
        setDark(false);
        host.resume();
    });
}

void restartRelay(SurgedFleet* surged) {
    surged->fleet.killNode(0);
    surged->fleet.after(500ms, [surged] { surged->fleet.startNode(0); });
}

struct Fault {
    const char* name;
    void (*begin)(SurgedFleet*);
};

/// Guards against a crash or a dark host that is taken for an instance at its connection limit, and against limits that
/// outlive what they were learned from.
BOOST_AUTO_TEST_CASE(all_is_served_again_if_something_fails_while_connections_are_refused) {
    const Fault faults[] = {
        {"instance crashes", crashAndRestart}, {"host goes dark", loseHost}, {"relay restarts", restartRelay}};
    for (const auto& fault : faults) {
        for (const std::size_t instances : {3U, 6U}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                checkRecovery(fault.name, instances, seed, fault.begin);
            }
        }
    }
}

/// Cuts the links between all instances of a service and their nodes, and restores them.
void checkFoundAgain(std::uint64_t seed) {
    constexpr std::size_t kInstances = 3;
    sim::SidecarFleet fleet(seed, {{tests::instanceOptions("work", 20ms, kSlots), kInstances}});
    fleet.putTable("work", "work", "work");
    for (std::size_t index = 0; index < kInstances; ++index) {
        fleet.instance(index).options().heartbeat_interval = 60s;
    }
    fleet.runFor(4s);
    const auto begin = fleet.queue().now();
    fleet.generateLoad(200, begin + 6s);
    fleet.runFor(1s);
    const auto setCut = [&fleet](bool is_cut) {
        for (std::size_t index = 0; index < kInstances; ++index) {
            fleet.network().setCut(fleet.host(index), fleet.instance(index).host(), is_cut);
        }
    };
    setCut(true);
    fleet.runFor(2s);
    for (std::size_t index = 0; index < kInstances; ++index) {
        BOOST_TEST(!fleet.node(index)->directory().self().instance().state());
    }
    setCut(false);
    fleet.runFor(4s);
    const double after = servedShare(fleet, begin + 4s, begin + 6s);
    BOOST_TEST(after == 1, "seed " << seed << ": " << after << " served from 1 to 3 s after the links were restored");
    checkInvariants(fleet, "seed " + std::to_string(seed) + ": ");
}

/// Guards against a service whose instances are all counted as down, while they are up, until their next heartbeats.
BOOST_AUTO_TEST_CASE(instances_that_all_counted_as_down_are_found_again_before_their_next_heartbeats) {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        checkFoundAgain(seed);
    }
}

BOOST_AUTO_TEST_CASE(instances_that_all_counted_as_down_are_found_again_on_further_seeds) {
    for (const std::uint64_t seed : {85U, 105U}) {
        checkFoundAgain(seed);
    }
}

/// Three machines of a service for callers, each of whose runs makes four calls of "leaf", and three of "leaf". The
/// leaves send no heartbeat for a minute after the first seconds.
std::vector<sim::FleetService> callingFleet() {
    auto browse = tests::instanceOptions("browse", 40ms, 60);
    browse.internal_host = "inner.example";
    browse.internal_calls = 4;
    browse.fails_with_internal_call = true;
    return {{browse, 3}, {tests::instanceOptions("leaf", 20ms, 20), 3}};
}

/// Guards against call trees that are admitted while no instance of a service that they need is up, so that the work
/// of the services above is wasted.
BOOST_AUTO_TEST_CASE(call_trees_are_rejected_at_their_entry_while_the_service_below_is_down) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        sim::SidecarFleet fleet(seed, callingFleet());
        fleet.putTable("browse", "browse", "leaf");
        const auto setLeavesCut = [&fleet](bool is_cut) {
            for (std::size_t index = 3; index < 6; ++index) {
                fleet.instance(index).options().heartbeat_interval = 60s;
                fleet.network().setCut(fleet.host(index), fleet.instance(index).host(), is_cut);
            }
        };
        setLeavesCut(false);
        fleet.runFor(4s);
        const auto begin = fleet.queue().now();
        fleet.generateLoad(150, begin + 9s);
        fleet.runFor(2s);
        setLeavesCut(true);
        fleet.runFor(3s);
        setLeavesCut(false);
        fleet.runFor(5s);
        const auto isInOutage = [begin](TimePoint at) { return at >= begin + 3500ms && at < begin + 5s; };
        const auto runs = std::count_if(fleet.runs().begin(), fleet.runs().end(), [&](const auto& run) {
            return run.service == "browse" && isInOutage(run.began);
        });
        const auto requests = std::count_if(fleet.requests().begin(), fleet.requests().end(),
                                            [&](const auto& request) { return isInOutage(request->sent); });
        const double after = servedShare(fleet, begin + 7s, begin + 9s);
        const auto label = "seed " + std::to_string(seed) + ": ";
        BOOST_TEST(static_cast<double>(runs) < 0.4 * static_cast<double>(requests),
                   label << runs << " runs above the service that is down, of " << requests << " requests");
        BOOST_TEST(after > 0.99, label << after << " served from 2 to 4 s after it");
        checkInvariants(fleet, label);
    }
}

/// The same with a service of 300 instances. Each entry then hears so rarely from the service that some reject requests
/// by an admission ratio of the surge, also without any refused connection (0.8 % in that time); these do not count
/// here.
BOOST_AUTO_TEST_CASE(all_is_served_again_soon_after_a_surge_at_300_instances) {
    constexpr std::size_t kInstances = 300;
    constexpr double kSmallInstanceRate = 5;
    SurgedFleet surged(1, kInstances, smallInstance(), kSmallInstanceRate);
    surged.runUntil(surged.surge_end + 6s);
    const auto begin = surged.surge_end + kRecovery;
    const double in_surge = servedShare(surged.fleet, surged.surge_end - kSurge, surged.surge_end);
    const double after = servedShare(surged.fleet, begin, begin + 2s);
    BOOST_TEST(in_surge > 0.7, in_surge << " served in the surge");
    BOOST_TEST(after > 0.98, after << " served after it");
    for (const auto& request : surged.fleet.requests()) {
        const bool is_after = request->sent >= begin && request->sent < begin + 2s;
        BOOST_TEST((!is_after || request->status == kHttpOk || request->body == "bottleneck\n"),
                   request->id << ": " << request->status << ' ' << request->body);
    }
    checkInvariants(surged.fleet, "300 instances: ");
}

BOOST_AUTO_TEST_SUITE_END()
