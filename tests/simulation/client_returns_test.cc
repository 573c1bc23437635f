/// Callers that return after a rejection, as told or at once, in a simulated fleet whose deepest service is overloaded.

#include <boost/test/unit_test.hpp>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"

using namespace dewcrank;

namespace {

/// Two mixes of the urgent route with the other one. The leaves can serve about 375 and 290 requests per second of
/// them; the usual load and the burst together are 1.7 times that.
struct Mix {
    double sign_share;
    double usual_load;
    double burst_load;
    double min_told_gain;  ///< Least rise of the share of callers that are served when they return as told.
};
constexpr std::uint64_t kSeeds = 6;
constexpr Mix kOneRank{0, 260, 377, 0.15};
constexpr Mix kTwoRanks{0.3, 200, 290, 0.05};

sim::InstanceOptions callerOf(const std::string& service, Duration work, int calls) {
    sim::InstanceOptions options;
    options.service = service;
    options.work_time = work;
    options.slots = 60;
    options.internal_host = "inner.example";
    options.internal_calls = calls;
    options.internal_deadline = 700ms;
    options.fails_with_internal_call = true;
    return options;
}

std::vector<sim::FleetService> fleetServices() {
    sim::InstanceOptions leaf;
    leaf.service = "leaf";
    leaf.work_time = 20ms;
    return {{callerOf("browse", 40ms, 4), 3}, {callerOf("desk", 60ms, 8), 3}, {leaf, 3}};
}

struct Count {
    double sent = 0;
    double served = 0;
    [[nodiscard]] double share() const { return served / std::max(1.0, sent); }
};

/// Requests of several seeds by the kind of the attempt.
struct ReturnStats {
    Count first_attempts;
    Count told;
    Count at_once;
    [[nodiscard]] double served() const { return first_attempts.served + told.served + at_once.served; }
    [[nodiscard]] double refusedTwice() const { return told.sent - told.served; }
};

void play(std::uint64_t seed, const Mix& mix, bool is_on, Duration burst, ReturnStats* stats) {
    OverloadFeatures overload;
    overload.return_priority = is_on;
    sim::SidecarFleet fleet(seed, fleetServices(), {}, {}, 3, overload);
    fleet.putTable("browse", "desk", "leaf");
    fleet.setClientRetries({0.3});
    fleet.runFor(4s);
    fleet.generateLoad(mix.usual_load, fleet.queue().now() + 5s + burst, mix.sign_share);
    fleet.runFor(2s);
    const auto begin = fleet.queue().now();
    fleet.generateLoad(mix.burst_load, begin + burst, mix.sign_share);
    fleet.runFor(burst + 6s);
    for (const auto& request : fleet.requests()) {
        const bool is_first = request->attempt.number == 1;
        if (request->sent < begin) {
            continue;
        }
        auto& count = is_first                           ? stats->first_attempts
                      : request->attempt.returns_at_once ? stats->at_once
                                                         : stats->told;
        count.sent += 1;
        count.served += request->status == kHttpOk ? 1 : 0;
    }
    for (const auto& violation : fleet.violations()) {
        BOOST_ERROR("seed " << seed << ": " << violation.invariant << ": " << violation.detail);
    }
}

ReturnStats playSeeds(const Mix& mix, bool is_on, Duration burst) {
    ReturnStats stats;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        play(seed, mix, is_on, burst, &stats);
    }
    return stats;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_client_returns)

void checkReturns(const Mix& mix) {
    for (const Duration burst : {3s, 8s}) {
        const auto off = playSeeds(mix, false, burst);
        const auto on = playSeeds(mix, true, burst);
        const auto label = std::to_string(toMilliseconds(burst)) + " ms: ";
        BOOST_TEST_MESSAGE(label << "served " << off.served() << " " << on.served() << ", first attempts "
                                 << off.first_attempts.share() << " " << on.first_attempts.share() << ", told "
                                 << off.told.share() << " " << on.told.share() << ", at once " << off.at_once.share()
                                 << " " << on.at_once.share() << ", refused twice " << off.refusedTwice() << " "
                                 << on.refusedTwice());
        BOOST_TEST(on.told.share() > off.told.share() + mix.min_told_gain,
                   label << off.told.share() << " " << on.told.share());
        BOOST_TEST(on.at_once.share() < on.first_attempts.share(), label << on.at_once.share());
        BOOST_TEST(on.at_once.share() < on.told.share(), label << on.at_once.share());
        BOOST_TEST(on.served() >= 0.98 * off.served(), label << off.served() << " " << on.served());
    }
}

/// Guards against overload control that gives those who retry at once what those who wait are promised.
BOOST_AUTO_TEST_CASE(callers_that_wait_as_told_are_served_more_often_than_those_that_do_not) {
    checkReturns(kOneRank);
}

/// Guards against reservations that a rank cannot keep, since more urgent ranks use its capacity.
BOOST_AUTO_TEST_CASE(reservations_are_kept_beside_a_more_urgent_route) {
    checkReturns(kTwoRanks);
}

BOOST_AUTO_TEST_SUITE_END()
