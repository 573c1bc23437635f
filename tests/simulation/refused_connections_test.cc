/// Instances that accept a bounded number of connections, fewer while nearly all of their slots are in use, and refuse
/// further ones.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

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

/// A fleet of one service whose load has been a third of the capacity, and 1.2 of it for `kSurge`.
struct SurgedFleet {
    SurgedFleet(std::uint64_t seed, std::size_t instances, double rate_factor = 1)
        : fleet(seed, {{boundedInstance(), instances}}) {
        fleet.putTable("work", "work", "work");
        spreadHeartbeats(instances);
        const double capacity = kInstanceRate * static_cast<double>(instances) * rate_factor;
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

void checkRecovery(std::size_t instances, std::uint64_t seed) {
    SurgedFleet surged(seed, instances);
    surged.runUntil(surged.surge_end + 8s);
    const auto label = std::to_string(instances) + " instances, seed " + std::to_string(seed) + ": ";
    const double in_surge = servedShare(surged.fleet, surged.surge_end - kSurge, surged.surge_end);
    const double after = servedShare(surged.fleet, surged.surge_end + kRecovery, surged.surge_end + kRecovery + 4s);
    BOOST_TEST(in_surge > 0.6, label << in_surge << " served in the surge");
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
            checkRecovery(instances, seed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
