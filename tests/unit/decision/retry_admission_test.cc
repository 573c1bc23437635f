#include "src/decision/retry_admission.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

/// A bottleneck that accepts a share of its arrivals; its budget allows 0.16 retries per call.
decision::Bottleneck bottleneckAt(double accepted_share, double calls) {
    decision::Bottleneck result{"leaf", 1, 40ms};
    result.retries_per_call = (1 - accepted_share) / accepted_share;
    result.retry_ratio = 0.16 / result.retries_per_call;
    result.scarce = decision::Resource::kRetries;
    result.calls = calls;
    return result;
}

struct Kind {
    std::uint32_t rank;
    double calls;
};

struct AdmissionFixture {
    /// Sends requests of each kind, all equally often, for two seconds. @return the last decision on each kind.
    std::vector<decision::RetryDecision> decide(double accepted_share, const std::vector<Kind>& kinds) {
        std::vector<decision::RetryDecision> last(kinds.size());
        for (int round = 0; round < 2000; ++round) {
            for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
                last[kind] = admission.decide(time.clock.now(), bottleneckAt(accepted_share, kinds[kind].calls),
                                              {kinds[kind].rank, false});
            }
            time.advance(1ms);
        }
        return last;
    }
    tests::VirtualTime time;
    adapters::SeededRandom random{1};
    decision::RetryAdmission admission{random, {}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_decision_retry_admission, AdmissionFixture)

BOOST_AUTO_TEST_CASE(everything_is_admitted_while_retries_are_not_scarce) {
    BOOST_TEST(admission.decide(time.clock.now(), {}, {7, true}).is_admitted);
    auto bottleneck = bottleneckAt(0.45, 8);
    bottleneck.scarce = decision::Resource::kSlots;
    for (int count = 0; count < 1000; ++count) {
        const auto decision = admission.decide(time.clock.now(), bottleneck, {2, true});
        BOOST_REQUIRE(decision.is_admitted);
        BOOST_REQUIRE(decision.no_retry_share == 0);
        BOOST_REQUIRE(decision.kept_share == 1);
    }
}

BOOST_AUTO_TEST_CASE(trees_that_cannot_complete_are_cut_to_probes) {
    const auto decisions = decide(0.45, {{0, 1}, {1, 8}, {2, 4}});
    BOOST_TEST(decisions[0].probability == 1);
    BOOST_TEST(decisions[1].probability == 0.05);
    BOOST_TEST(decisions[2].probability == 0.05);
    BOOST_TEST(decisions[0].no_retry_share < 1);
    BOOST_TEST(decisions[1].no_retry_share == 1);
    BOOST_TEST(decisions[0].kept_share < 0.2);
}

/// Guards against retries that a less urgent rank takes from a more urgent one.
BOOST_AUTO_TEST_CASE(retries_are_granted_in_the_order_of_the_ranks) {
    const auto decisions = decide(0.75, {{0, 8}, {1, 2}, {2, 2}});
    BOOST_TEST(decisions[0].no_retry_share < 0.1);
    BOOST_TEST(decisions[1].no_retry_share == 1);
    BOOST_TEST(decisions[2].no_retry_share == 1);
    BOOST_TEST(decisions[0].probability == 1);
}

BOOST_AUTO_TEST_CASE(within_a_rank_routes_with_fewer_calls_are_first) {
    const auto decisions = decide(0.75, {{1, 8}, {1, 2}});
    BOOST_TEST(decisions[1].no_retry_share == 0);
    BOOST_TEST(decisions[0].no_retry_share > 0.2);
}

BOOST_AUTO_TEST_CASE(client_retries_are_granted_retries_after_first_attempts) {
    decide(0.75, {{2, 4}});
    const auto now = time.clock.now();
    for (int count = 0; count < 2000; ++count) {
        admission.decide(now, bottleneckAt(0.75, 4), {0, true});
    }
    const auto first = admission.decide(now + 50ms, bottleneckAt(0.75, 4), {2, false});
    const auto retry = admission.decide(now + 50ms, bottleneckAt(0.75, 4), {0, true});
    BOOST_TEST(first.no_retry_share < retry.no_retry_share);
}

/// Guards against probes that are too few for an entry to see a recovery.
BOOST_AUTO_TEST_CASE(probes_are_admitted_however_little_is_accepted) {
    int admitted = 0;
    for (int count = 0; count < 10'000; ++count) {
        admitted += admission.decide(time.clock.now(), bottleneckAt(0.1, 8), {1, false}).is_admitted ? 1 : 0;
    }
    BOOST_TEST(admitted > 400);
    BOOST_TEST(admitted < 600);
}

BOOST_AUTO_TEST_SUITE_END()
