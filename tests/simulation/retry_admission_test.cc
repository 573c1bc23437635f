/// Call trees whose deepest service rejects a part of its arrivals: the retries that its budget allows let short trees
/// complete, and almost none of the long ones.

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"

using namespace dewcrank;

namespace {

constexpr std::size_t kLeaves = 5;
constexpr std::size_t kCallers = 3;  ///< Machines of each service that calls the leaves.
constexpr double kRejectedShare = 0.55;

sim::InstanceOptions callerOf(const std::string& service, int calls) {
    sim::InstanceOptions options;
    options.service = service;
    options.work_time = 20ms;
    options.slots = 80;
    options.internal_host = "inner.example";
    options.internal_calls = calls;
    options.fails_with_internal_call = true;
    return options;
}

/// "quote" makes one call per request, "order" eight.
std::vector<sim::FleetService> fleetServices() {
    sim::InstanceOptions leaf;
    leaf.service = "leaf";
    leaf.work_time = 15ms;
    leaf.slots = 80;
    return {{callerOf("quote", 1), kCallers}, {callerOf("order", 8), kCallers}, {leaf, kLeaves}};
}

/// Requests of one route that were sent within some time.
struct Counts {
    double sent = 0;
    double run = 0;  ///< An instance of the route's service began to run it.
    double completed = 0;
};

std::map<std::string, Counts> countsBetween(const sim::SidecarFleet& fleet, TimePoint begin, TimePoint end) {
    std::map<std::string, bool> has_run;
    for (const auto& run : fleet.runs()) {
        has_run[run.request_id] = true;
    }
    std::map<std::string, Counts> counts;
    for (const auto& request : fleet.requests()) {
        if (request->sent >= begin && request->sent < end) {
            auto& it = counts[request->path.substr(0, 6)];
            it.sent += 1;
            it.run += has_run.contains(request->id) ? 1 : 0;
            it.completed += request->status == kHttpOk ? 1 : 0;
        }
    }
    return counts;
}

struct Outcome {
    std::map<std::string, Counts> during;  ///< From one second after the rejections began until they end.
    std::map<std::string, Counts> after;   ///< From two seconds after they have ended.
    std::uint64_t wasted = 0;              ///< As the relays of "order" count it, for "leaf" as the bottleneck.
};

Outcome play(bool is_on, std::uint64_t seed) {
    OverloadFeatures overload;
    overload.retry_admission = is_on;
    sim::SidecarFleet fleet(seed, fleetServices(), {}, {}, 3, overload);
    fleet.putTable("order", "quote", "leaf");
    fleet.runFor(4s);
    fleet.generateLoad(150, fleet.queue().now() + 22s, 0.3);
    fleet.runFor(6s);
    const auto setRejectedShare = [&fleet](double share) {
        for (std::size_t leaf = 0; leaf < kLeaves; ++leaf) {
            fleet.instance(2 * kCallers + leaf).options().shed_share = share;
        }
    };
    setRejectedShare(kRejectedShare);
    const auto begin = fleet.queue().now();
    fleet.runFor(8s);
    setRejectedShare(0);
    const auto end = fleet.queue().now();
    fleet.runFor(10s);
    Outcome outcome;
    outcome.during = countsBetween(fleet, begin + 1s, end);
    outcome.after = countsBetween(fleet, end + 2s, end + 7s);
    for (std::size_t machine = kCallers; machine < 2 * kCallers; ++machine) {
        const auto& wasted = fleet.node(machine)->counters().wasted_executions;
        const auto found = wasted.find({"/work/", "leaf"});
        outcome.wasted += found == wasted.end() ? 0 : found->second;
    }
    for (const auto& violation : fleet.violations()) {
        BOOST_ERROR("seed " << seed << ": " << violation.invariant << ": " << violation.detail);
    }
    return outcome;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_retry_admission)

/// Guards against executions of long call trees that the retry budget cannot let complete, and against entries that go
/// on rejecting afterwards.
BOOST_AUTO_TEST_CASE(long_trees_wait_until_their_calls_are_accepted_again) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        auto off = play(false, seed);
        auto on = play(true, seed);
        BOOST_TEST_MESSAGE("seed " << seed << ": order ran " << off.during["/work/"].run << " and "
                                   << on.during["/work/"].run << " of " << on.during["/work/"].sent << ", completed "
                                   << off.during["/work/"].completed << " and " << on.during["/work/"].completed
                                   << "; quote completed " << off.during["/sign/"].completed << " of "
                                   << off.during["/sign/"].sent << " and " << on.during["/sign/"].completed << " of "
                                   << on.during["/sign/"].sent << "; wasted " << off.wasted << " and " << on.wasted
                                   << "; after " << on.after["/work/"].completed << " of " << on.after["/work/"].sent);
        BOOST_TEST(off.during["/work/"].run > 0.9 * off.during["/work/"].sent);
        BOOST_TEST(on.during["/work/"].run < 0.2 * on.during["/work/"].sent, "seed " << seed);
        BOOST_TEST(on.wasted < off.wasted / 3, "seed " << seed << ": " << on.wasted << " of " << off.wasted);
        BOOST_TEST(on.during["/sign/"].run > 0.99 * on.during["/sign/"].sent, "seed " << seed);
        for (const auto* route : {"/work/", "/sign/"}) {
            BOOST_TEST(on.after[route].completed > 0.99 * on.after[route].sent,
                       "seed " << seed << ", " << route << ": " << on.after[route].completed << " of "
                               << on.after[route].sent);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
