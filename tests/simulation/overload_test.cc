/// Admission under overload in a simulated fleet: call trees whose deepest service, two hops below the entry, is the
/// bottleneck.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"

using namespace dewcrank;

namespace {

constexpr Duration kCallDeadline = 700ms;
constexpr std::uint32_t kLeafSlots = 10;
constexpr std::size_t kLeaves = 3;
/// Index of the first machine of the last service.
constexpr std::size_t kFirstLeaf = 6;

sim::InstanceOptions callerOf(const std::string& service, Duration work, int calls) {
    sim::InstanceOptions options;
    options.service = service;
    options.work_time = work;
    options.slots = 60;
    options.internal_host = "inner.example";
    options.internal_calls = calls;
    options.internal_deadline = kCallDeadline;
    options.fails_with_internal_call = true;
    return options;
}

/// Urgent requests take twice the slot time of the others at the leaves.
std::vector<sim::FleetService> fleetServices() {
    sim::InstanceOptions leaf;
    leaf.service = "leaf";
    leaf.work_time = 20ms;
    leaf.slots = kLeafSlots;
    return {{callerOf("browse", 40ms, 4), 3}, {callerOf("desk", 60ms, 8), 3}, {leaf, kLeaves}};
}

/// Outcome of the requests that were sent, and utilization of the leaves, within some time.
struct LoadStats {
    std::map<std::string, double> sent;  ///< By path prefix.
    std::map<std::string, double> served;
    double admitted = 0;  ///< Requests that ran at an instance.
    double completed = 0;
    double leaf_utilization = 0;  ///< Share of the slot time of the leaves that are up.
    [[nodiscard]] double servedShare(const std::string& prefix) { return served[prefix] / std::max(1.0, sent[prefix]); }
};

LoadStats statsBetween(const sim::SidecarFleet& fleet, TimePoint begin, TimePoint end, double leaves) {
    LoadStats stats;
    std::map<std::string, bool> has_run;
    double busy_seconds = 0;
    for (const auto& run : fleet.runs()) {
        has_run[run.request_id] = true;
        if (run.service == "leaf") {
            const auto time = std::min(run.ended, end) - std::max(run.began, begin);
            busy_seconds += std::max(0.0, std::chrono::duration<double>(time).count());
        }
    }
    const double slot_time = leaves * kLeafSlots * std::chrono::duration<double>(end - begin).count();
    stats.leaf_utilization = busy_seconds / slot_time;
    for (const auto& request : fleet.requests()) {
        if (request->sent < begin || request->sent >= end) {
            continue;
        }
        const bool is_served = request->status == kHttpOk;
        stats.sent[request->path.substr(0, 6)] += 1;
        stats.served[request->path.substr(0, 6)] += is_served ? 1 : 0;
        if (has_run.contains(request->id)) {
            stats.admitted += 1;
            stats.completed += is_served ? 1 : 0;
        }
    }
    return stats;
}

struct OverloadCase {
    const char* name;
    double per_second;
    std::size_t crashed_leaves;
    double min_urgent_share;  ///< Least share of urgent requests that succeed.
};

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_overload)

/// Checks, from four seconds after the load began or after instances crashed, that admitted requests complete, that the
/// slots of the bottleneck are used, and that urgent requests are preferred without starving the others.
void checkOverload(const OverloadCase& entry, std::uint64_t seed) {
    sim::SidecarFleet fleet(seed, fleetServices());
    fleet.putTable("browse", "desk", "leaf");
    fleet.runFor(4s);
    fleet.generateLoad(entry.per_second, fleet.queue().now() + 18s, 0.3);
    fleet.runFor(6s);
    for (std::size_t leaf = 0; leaf < entry.crashed_leaves; ++leaf) {
        fleet.instance(kFirstLeaf + leaf).crash();
    }
    fleet.runFor(4s);
    const auto begin = fleet.queue().now();
    fleet.runFor(10s);
    auto stats = statsBetween(fleet, begin, begin + 7s, static_cast<double>(kLeaves - entry.crashed_leaves));
    const auto label = std::string(entry.name) + ", seed " + std::to_string(seed) + ": ";
    BOOST_TEST(stats.completed > 0.9 * stats.admitted,
               label << stats.completed << " of " << stats.admitted << " admitted requests completed");
    BOOST_TEST(stats.leaf_utilization > 0.7, label << "utilization of the bottleneck " << stats.leaf_utilization);
    BOOST_TEST(stats.servedShare("/sign/") > entry.min_urgent_share,
               label << "urgent served " << stats.servedShare("/sign/"));
    BOOST_TEST(stats.servedShare("/sign/") > stats.servedShare("/work/"),
               label << "others served " << stats.servedShare("/work/"));
    BOOST_TEST(stats.servedShare("/work/") > 0.04, label << "others served " << stats.servedShare("/work/"));
    for (const auto& violation : fleet.violations()) {
        BOOST_ERROR(label << violation.invariant << ": " << violation.detail);
    }
}

constexpr OverloadCase kOneCrashed{"one of three instances crashed", 300, 1, 0.75};

BOOST_AUTO_TEST_CASE(admitted_requests_complete_and_the_bottleneck_is_used) {
    const OverloadCase cases[] = {
        {"slightly over capacity", 300, 0, 0.95},
        {"twice the capacity", 520, 0, 0.65},
        kOneCrashed,
        {"two of three instances crashed", 300, 2, 0.25},
    };
    for (const auto& entry : cases) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            checkOverload(entry, seed);
        }
    }
}

/// Guards against averages of admission ratios that include stale reports.
BOOST_AUTO_TEST_CASE(urgent_requests_are_preferred_after_a_crash_on_twenty_four_seeds) {
    for (std::uint64_t seed = 4; seed <= 24; ++seed) {
        checkOverload(kOneCrashed, seed);
    }
}

/// After an overload all requests are served again within two seconds. Guards against entries that keep a low admission
/// ratio because they receive few new reports.
void checkRecovery(std::uint64_t seed) {
    sim::SidecarFleet fleet(seed, fleetServices());
    fleet.putTable("browse", "desk", "leaf");
    fleet.runFor(4s);
    fleet.generateLoad(600, fleet.queue().now() + 8s, 0.3);
    fleet.generateLoad(120, fleet.queue().now() + 16s, 0.3);
    fleet.runFor(10s);
    const auto begin = fleet.queue().now();
    fleet.runFor(6s);
    auto stats = statsBetween(fleet, begin, begin + 5s, kLeaves);
    BOOST_TEST(stats.servedShare("/sign/") > 0.99, "seed " << seed << ": " << stats.servedShare("/sign/"));
    BOOST_TEST(stats.servedShare("/work/") > 0.99, "seed " << seed << ": " << stats.servedShare("/work/"));
}

BOOST_AUTO_TEST_CASE(all_is_served_again_soon_after_an_overload) {
    checkRecovery(1);
}

BOOST_AUTO_TEST_CASE(all_is_served_again_soon_after_an_overload_on_thirty_seeds) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        checkRecovery(seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
