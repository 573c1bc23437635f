/// A request has all of its caller's time at its instance, however its node learns which calls the instance makes.

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"
#include "tests/support/fleets.h"

using namespace dewcrank;

namespace {

/// Timeout of the routes of a simulated fleet.
constexpr Duration kRouteTimeout = 1500ms;
/// A response that comes at most this long before the timeout is due to it.
constexpr Duration kTimeoutMargin = 60ms;

/// Instances of which one run in twenty takes four fifths of the route's timeout.
std::vector<sim::FleetService> servicesWithSlowRuns() {
    auto services = tests::callingServices();
    for (auto& it : services) {
        if (!it.instance.internal_host.empty()) {
            it.instance.slow_share = 0.05;
            it.instance.slow_time = 1200ms;
        }
    }
    return services;
}

struct RunTimeFixture {
    RunTimeFixture() {
        fleet.putTable("browse", "desk", "leaf");
        fleet.runFor(4s);
    }
    void load(Duration time) {
        fleet.generateLoad(60, fleet.queue().now() + time, 0.5);
        fleet.runFor(time + 3s);
    }
    /// @return the requests that ended before their timeout without a response of an instance.
    [[nodiscard]] std::ptrdiff_t endedEarly() const {
        const auto& requests = fleet.requests();
        return std::count_if(requests.begin(), requests.end(), [](const auto& it) {
            const bool has_node_response = it->status == kHttpBadGateway || it->status == kHttpGatewayTimeout;
            return has_node_response && it->ended - it->sent < kRouteTimeout - kTimeoutMargin;
        });
    }
    sim::SidecarFleet fleet{1, servicesWithSlowRuns()};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(simulation_run_time, RunTimeFixture)

/// Guards against slow runs that are ended before their deadline while the node learns the calls of its instance.
BOOST_AUTO_TEST_CASE(a_slow_run_is_not_ended_before_its_deadline) {
    load(60s);
    BOOST_TEST(endedEarly() == 0);
    BOOST_TEST(fleet.countResponses(kHttpOk) > 3000U);
}

/// Guards against the same for requests whose entry is being stopped: their callers would lose a response that the
/// instance gives in time.
BOOST_AUTO_TEST_CASE(a_stop_of_the_entry_ends_no_slow_run_before_its_deadline) {
    for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
        fleet.after((2 + 6 * machine) * 1s, [this, machine] { fleet.restartNode(machine); });
    }
    load(60s);
    BOOST_TEST(endedEarly() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
