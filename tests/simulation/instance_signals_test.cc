/// What instances say about themselves in responses, a rate limit or that they are leaving, is heeded by all nodes.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"

using namespace dewcrank;

namespace {

constexpr std::uint64_t kSeeds = 3;
constexpr double kLoadPerSecond = 150;

sim::InstanceOptions instanceOptions(const std::string& service, Duration work, std::uint32_t slots) {
    sim::InstanceOptions options;
    options.service = service;
    options.work_time = work;
    options.slots = slots;
    return options;
}

/// Two services for callers, both of which make internal calls of a third one.
std::vector<sim::FleetService> fleetServices() {
    auto browse = instanceOptions("browse", 40ms, 20);
    auto desk = instanceOptions("desk", 60ms, 20);
    browse.internal_host = "inner.example";
    desk.internal_host = "inner.example";
    return {{browse, 3}, {desk, 3}, {instanceOptions("leaf", 20ms, 10), 3}};
}

/// A fleet under load that has run for a second.
struct LoadedFleet {
    explicit LoadedFleet(std::uint64_t seed, double per_second = kLoadPerSecond, Duration load = 14s)
        : fleet(seed, fleetServices()) {
        fleet.putTable("browse", "desk", "leaf");
        fleet.runFor(3s);
        fleet.generateLoad(per_second, fleet.queue().now() + load);
        fleet.runFor(1s);
    }
    sim::SidecarFleet fleet;
};

/// Checks the invariants that are about signals, one message an invariant.
void checkSignalInvariants(const sim::SidecarFleet& fleet, const std::string& name) {
    for (const auto* invariant : {"rate limits of instances are respected", "leaving instances receive no requests"}) {
        const auto violations = fleet.violations();
        const auto count = std::count_if(violations.begin(), violations.end(), [invariant](const auto& violation) {
            return violation.invariant == invariant;
        });
        BOOST_TEST(count == 0, name << ": " << invariant << ": " << count << " times");
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_instance_signals)

// Guards against instances that get as many requests as before although they name a lower rate limit.
BOOST_AUTO_TEST_CASE(an_instance_gets_no_more_than_the_rate_that_it_names) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        LoadedFleet it(seed);
        it.fleet.instance(0).options().rate_limit = 8;
        it.fleet.runFor(15s);
        checkSignalInvariants(it.fleet, "seed " + std::to_string(seed));
    }
}

// Guards against requests to an instance that says only in its responses that it is leaving.
BOOST_AUTO_TEST_CASE(no_request_follows_a_response_that_says_the_instance_is_leaving) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        LoadedFleet it(seed);
        it.fleet.instance(0).options().says_leaving = true;
        it.fleet.runFor(15s);
        checkSignalInvariants(it.fleet, "seed " + std::to_string(seed));
    }
}

BOOST_AUTO_TEST_SUITE_END()
