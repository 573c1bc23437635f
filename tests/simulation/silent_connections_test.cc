/// Calls after connections between nodes, and from nodes to instances, have gone silent.

#include <boost/test/unit_test.hpp>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"
#include "tests/support/fleets.h"

using namespace dewcrank;

namespace {

constexpr std::uint64_t kSeeds = 5;
/// Time in which the first requests on silent connections show this.
constexpr Duration kDetectionTime = 1s;
constexpr Duration kLoadTime = 8s;

struct Outcomes {
    std::size_t sent = 0;
    std::size_t lost = 0;
};

/// @return the requests sent from `begin` on, until `end`.
Outcomes outcomesBetween(const sim::SidecarFleet& fleet, TimePoint begin, TimePoint end) {
    Outcomes outcomes;
    for (const auto& request : fleet.requests()) {
        if (request->sent >= begin && request->sent < end) {
            ++outcomes.sent;
            outcomes.lost += request->status == kHttpOk ? 0 : 1;
        }
    }
    return outcomes;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_silent_connections)

/// Guards against pools whose silent connections take one request after the other.
BOOST_AUTO_TEST_CASE(requests_are_served_soon_after_all_connections_went_silent) {
    for (const double per_second : {20.0, 100.0}) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            sim::SidecarFleet fleet(seed, tests::callingServices());
            fleet.putTable("browse", "desk", "leaf");
            fleet.runFor(4s);
            fleet.generateLoad(per_second, fleet.queue().now() + 4s + kLoadTime, 0.3);
            fleet.runFor(4s);
            const auto begin = fleet.queue().now();
            fleet.silenceNodeConnections();
            fleet.store().silenceConnections();
            fleet.runFor(kLoadTime + 4s);
            const auto first = outcomesBetween(fleet, begin, begin + kDetectionTime);
            const auto later = outcomesBetween(fleet, begin + kDetectionTime, begin + kLoadTime);
            const auto label = std::to_string(per_second) + " a second, seed " + std::to_string(seed);
            BOOST_TEST_MESSAGE(label << ": " << first.lost << " of " << first.sent << " lost in the first second, "
                                     << later.lost << " of " << later.sent << " later");
            BOOST_TEST(later.lost == 0U, label << ": " << later.lost << " of " << later.sent << " lost");
            BOOST_TEST(fleet.violations().empty(), label);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
