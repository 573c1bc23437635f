#include "src/decision/retry_demand.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace dewcrank;

namespace {

using Arrival = decision::RetryDemand::Arrival;
constexpr TimePoint kStart(100s);

struct DemandFixture {
    /// Counts arrivals, one per 5 ms, of which one in `accepted_of` is accepted. @param unaccepted what the others are.
    void arriveFor(Duration length, int accepted_of, Arrival unaccepted) {
        const auto end = now + length;
        for (int count = 0; now < end; ++count, now += 5ms) {
            demand.onFirstAttempt(now, 2);
            demand.onArrivalEnded(now, count % accepted_of == 0 ? Arrival::kAccepted : unaccepted);
        }
    }
    TimePoint now = kStart;
    decision::RetryDemand demand{{}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_decision_retry_demand, DemandFixture)

BOOST_AUTO_TEST_CASE(nothing_is_needed_before_the_first_arrival) {
    BOOST_TEST(demand.retriesPerCall(now) == 0);
    BOOST_TEST(demand.firstAttemptsPerSecond(now) == 0);
    BOOST_TEST(!demand.isRejecting(now));
    BOOST_TEST(demand.reservedShare(now) == 0);
}

BOOST_AUTO_TEST_CASE(the_need_follows_from_the_share_of_accepted_arrivals) {
    arriveFor(3s, 4, Arrival::kRejected);
    BOOST_TEST(std::abs(demand.retriesPerCall(now) - 3) < 0.1);
    BOOST_TEST(std::abs(demand.firstAttemptsPerSecond(now) - 400) < 8);
    BOOST_TEST(demand.isRejecting(now));
}

/// Guards against a demand without bound while nothing is accepted.
BOOST_AUTO_TEST_CASE(the_need_is_bounded) {
    arriveFor(3s, 1'000'000, Arrival::kRejected);
    BOOST_TEST(demand.retriesPerCall(now) == 10);
}

/// Guards against a service that counts as rejecting after a crash, which would deny retries to the requests that the
/// crashed instance was running.
BOOST_AUTO_TEST_CASE(failures_need_retries_but_are_no_rejections) {
    arriveFor(2s, 2, Arrival::kFailed);
    BOOST_TEST(std::abs(demand.retriesPerCall(now) - 1) < 0.1);
    BOOST_TEST(!demand.isRejecting(now));
}

/// Guards against trees that are admitted for a whole window after the instances begin to reject.
BOOST_AUTO_TEST_CASE(rejections_are_noticed_within_a_fifth_of_a_second_and_their_end_within_a_second) {
    arriveFor(3s, 1, Arrival::kAccepted);
    arriveFor(300ms, 2, Arrival::kRejected);
    BOOST_TEST(demand.retriesPerCall(now) > 0.9);
    arriveFor(1200ms, 1, Arrival::kAccepted);
    BOOST_TEST(demand.retriesPerCall(now) == 0);
    BOOST_TEST(!demand.isRejecting(now));
}

BOOST_AUTO_TEST_CASE(retries_are_reserved_for_trees_in_progress_by_their_share) {
    for (int count = 0; count < 30; ++count) {
        demand.onRetryRequested(now, count % 3 == 0);
    }
    BOOST_TEST(std::abs(demand.reservedShare(now) - 1.0 / 3) < 1e-9);
    for (int count = 0; count < 100; ++count) {
        demand.onRetryRequested(now, true);
    }
    BOOST_TEST(demand.reservedShare(now) == 0.5);
    BOOST_TEST(demand.reservedShare(now + 2s) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
