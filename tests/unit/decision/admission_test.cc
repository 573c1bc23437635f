#include "src/decision/admission.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstdlib>
#include <map>

#include "src/adapters/seeded_random.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

struct AdmissionFixture {
    /// Sends requests of three priorities, each equally often, for two seconds.
    /// @param client_retries number of client retries sent after every three requests.
    /// @return the admitted share by priority; the share of client retries has the key `kClientRetry`.
    std::map<std::uint32_t, double> sharesAt(double admit_ratio, int client_retries) {
        std::map<std::uint32_t, int> admitted;
        constexpr int kRounds = 2000;
        for (int round = 0; round < kRounds; ++round) {
            for (const std::uint32_t priority : {0U, 1U, 2U}) {
                admitted[priority] +=
                    admission.admits(time.clock.now(), {"leaf", admit_ratio, 40ms}, {priority, false}) ? 1 : 0;
            }
            for (int retry = 0; retry < client_retries; ++retry) {
                admitted[kClientRetry] +=
                    admission.admits(time.clock.now(), {"leaf", admit_ratio, 40ms}, {0, true}) ? 1 : 0;
            }
            time.advance(1ms);
        }
        std::map<std::uint32_t, double> shares;
        for (const auto& [key, count] : admitted) {
            shares[key] = static_cast<double>(count) / kRounds;
        }
        return shares;
    }

    static constexpr std::uint32_t kClientRetry = 9;
    tests::VirtualTime time;
    adapters::SeededRandom random{1};
    decision::Admission admission{random, {}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_decision_admission, AdmissionFixture)

BOOST_AUTO_TEST_CASE(nothing_is_rejected_without_a_report_or_at_ratio_one) {
    BOOST_TEST(admission.admits(time.clock.now(), {}, {7, true}));
    for (const auto& [priority, share] : sharesAt(1, 1)) {
        BOOST_TEST(share == 1, priority);
    }
}

BOOST_AUTO_TEST_CASE(the_least_urgent_are_rejected_first_down_to_their_minimum_share) {
    const auto mild = sharesAt(0.9, 0);
    BOOST_TEST(mild.at(0) == 1);
    BOOST_TEST(mild.at(1) == 1);
    BOOST_TEST(mild.at(2) < 0.8);
    const auto hard = sharesAt(0.6, 0);
    BOOST_TEST(hard.at(0) == 1);
    BOOST_TEST(hard.at(1) < 0.67);  // 0.62 remains for priority 1.
    BOOST_TEST(hard.at(1) > 0.57);
    BOOST_TEST(hard.at(2) > 0.15);  // The minimum share is 0.18: 0.3 of the ratio.
    BOOST_TEST(hard.at(2) < 0.23);
}

BOOST_AUTO_TEST_CASE(client_retries_are_rejected_before_all_others) {
    const auto shares = sharesAt(0.8, 1);
    BOOST_TEST(shares.at(0) == 1);
    BOOST_TEST(shares.at(2) > 0.95);
    BOOST_TEST(shares.at(kClientRetry) < 0.35);
}

BOOST_AUTO_TEST_CASE(no_priority_starves_however_little_can_be_served) {
    const auto shares = sharesAt(0.12, 0);
    BOOST_TEST(shares.at(0) > 0.12);
    BOOST_TEST(shares.at(1) > 0.08);
    BOOST_TEST(shares.at(2) > 0.08);
}

/// Guards against a retry storm that starves the least urgent priority: the minimum share of a priority is computed
/// from the admission ratio of first attempts, without client retries.
BOOST_AUTO_TEST_CASE(client_retries_do_not_reduce_the_minimum_share) {
    const auto shares = sharesAt(0.12, 4);
    BOOST_TEST(shares.at(0) > 0.28);
    BOOST_TEST(shares.at(2) > 0.17);  // The ratio without retries is 0.28; the minimum share is 0.72 of this ratio.
    BOOST_TEST(shares.at(2) < 0.23);
    BOOST_TEST(shares.at(kClientRetry) < 0.01);
}

/// Guards against reservations that are worth nothing, or that are served beyond the ratio: returns that were reserved
/// are admitted before the first attempts of their rank, after those of more urgent ranks, and count as arrivals.
BOOST_AUTO_TEST_CASE(reserved_returns_are_admitted_before_first_attempts_of_their_rank_within_the_ratio) {
    constexpr int kRounds = 4000;
    constexpr double kRatio = 0.6;
    int urgent = 0;
    int returned = 0;
    int first = 0;
    for (int round = 0; round < kRounds; ++round) {
        urgent += admission.admits(time.clock.now(), {"leaf", kRatio, 40ms}, {0, false}) ? 1 : 0;
        returned += admission.admits(time.clock.now(), {"leaf", kRatio, 40ms}, {1, false, true}) ? 1 : 0;
        first += admission.admits(time.clock.now(), {"leaf", kRatio, 40ms}, {1, false}) ? 1 : 0;
        time.advance(1ms);
    }
    BOOST_TEST(urgent == kRounds);
    BOOST_TEST(returned > 2 * first, returned << " " << first);
    const double admitted = static_cast<double>(urgent + returned + first) / (3 * kRounds);
    BOOST_TEST(std::abs(admitted - kRatio) < 0.02, admitted);
}

/// Guards against reservations that a less urgent rank cannot keep: its minimum share is for returns and first attempts
/// together, returns first. Returns are a tenth of the rank here.
BOOST_AUTO_TEST_CASE(the_minimum_share_of_a_rank_admits_its_reserved_returns_first) {
    constexpr int kRounds = 4000;
    int returned = 0;
    int first = 0;
    for (int round = 0; round < kRounds; ++round) {
        for (int urgent = 0; urgent < 5; ++urgent) {
            admission.admits(time.clock.now(), {"leaf", 0.4, 40ms}, {0, false});
        }
        returned += admission.admits(time.clock.now(), {"leaf", 0.4, 40ms}, {1, false, true}) ? 1 : 0;
        for (int other = 0; other < 9; ++other) {
            first += admission.admits(time.clock.now(), {"leaf", 0.4, 40ms}, {1, false}) ? 1 : 0;
        }
        time.advance(1ms);
    }
    BOOST_TEST(returned > 0.95 * kRounds, returned);
    BOOST_TEST(first > 0.08 * 9 * kRounds, first);
}

/// Guards against ratios of request counts: the admission ratio applies to slot time, so costly requests weigh more.
BOOST_AUTO_TEST_CASE(shares_are_of_work_and_not_of_requests) {
    constexpr int kRounds = 4000;
    int urgent = 0;
    int other = 0;
    for (int round = 0; round < kRounds; ++round) {
        urgent += admission.admits(time.clock.now(), {"leaf", 0.75, 20ms}, {0, false}) ? 1 : 0;
        other += admission.admits(time.clock.now(), {"leaf", 0.75, 60ms}, {1, false}) ? 1 : 0;
        time.advance(1ms);
    }
    BOOST_TEST(urgent == kRounds);
    BOOST_TEST(std::abs(other - kRounds * 2 / 3) < kRounds / 20, other);
}

/// Guards against a change of behaviour on fleets that have not switched fair shares on.
BOOST_AUTO_TEST_CASE(flows_change_nothing_without_fair_shares) {
    adapters::SeededRandom same_random(1);
    decision::Admission without_flows(same_random, {});
    for (int request = 0; request < 5000; ++request) {
        const auto rank = static_cast<std::uint32_t>(request % 3);
        const bool is_retry = request % 7 == 0;
        const bool is_admitted =
            admission.admits(time.clock.now(), {"leaf", 0.6, 40ms},
                             {rank, is_retry, false, "tenant/" + std::to_string(request % 11), FleetRate{50, 1s}});
        BOOST_REQUIRE(is_admitted == without_flows.admits(time.clock.now(), {"leaf", 0.6, 40ms}, {rank, is_retry}));
        time.advance(1ms);
    }
}

/// Guards against ranks that are reversed or change their totals: shares are divided within a rank only, also if a hot
/// flow and its retries have the most urgent one.
BOOST_AUTO_TEST_CASE(fair_shares_keep_the_total_of_each_rank) {
    adapters::SeededRandom other_random(1);
    decision::Admission fair(other_random, {}, OverloadFeatures{.fair_shares = true});
    std::map<std::uint32_t, double> requests;
    std::map<std::uint32_t, double> of_fair;
    std::map<std::uint32_t, double> of_rank;
    for (int request = 0; request < 60000; ++request) {
        const auto rank = static_cast<std::uint32_t>(random.below(3));
        const bool is_hot = random.below(10) < (rank == 0 ? 8 : 3);
        const auto flow = is_hot ? std::string("tenant/hot") : "tenant/" + std::to_string(random.below(40));
        const bool is_retry = is_hot && random.below(4) == 0;
        const auto key = rank + (is_retry ? kClientRetry : 0);
        const decision::Bottleneck bottleneck{"leaf", 0.5 + 0.2 * std::sin(request / 3000.0), 40ms};
        requests[key] += 1;
        of_fair[key] += fair.admits(time.clock.now(), bottleneck, {rank, is_retry, false, flow}) ? 1 : 0;
        of_rank[key] += admission.admits(time.clock.now(), bottleneck, {rank, is_retry, false, flow}) ? 1 : 0;
        time.advance(500us);
    }
    for (const auto& [key, count] : requests) {
        BOOST_TEST(std::abs(of_fair[key] - of_rank[key]) < 0.02 * count,
                   key << ": " << of_fair[key] / count << ", by rank " << of_rank[key] / count);
    }
}

BOOST_AUTO_TEST_SUITE_END()
