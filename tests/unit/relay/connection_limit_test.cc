/// The number of connections that an instance accepts, as its relay learns it.

#include "src/relay/connection_limit.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;
using relay::ConnectionLimit;
using relay::SlowStart;

namespace {

constexpr TimePoint kBegin{10s};
constexpr std::uint32_t kSlots = 40;

struct LimitFixture {
    ConnectionLimit limit{{}};
    /// Lets the limit rise for some time, as long as the instance accepts this many connections.
    /// @return how many connections were refused.
    int runFor(Duration duration, std::uint32_t accepted) {
        int refused = 0;
        for (const auto end = now + duration; now < end; now += 10ms) {
            limit.raiseIfDue(now, kSlots);
            if (limit.limit().value_or(kSlots) > accepted) {
                ++refused;
                limit.onRefused(now, accepted);
            }
        }
        return refused;
    }
    TimePoint now = kBegin;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_connection_limit, LimitFixture)

/// Guards against a limit in fleets that see no refused connection.
BOOST_AUTO_TEST_CASE(there_is_no_limit_before_the_first_refusal) {
    limit.raiseIfDue(kBegin, kSlots);
    BOOST_TEST(!limit.limit());
}

BOOST_AUTO_TEST_CASE(a_refusal_sets_the_limit_to_the_open_connections) {
    limit.onRefused(kBegin, 30);
    BOOST_TEST(*limit.limit() == 30U);
    limit.onRefused(kBegin, 33);  // Opened before the limit, and refused after it.
    BOOST_TEST(*limit.limit() == 30U);
    limit.onRefused(kBegin, 0);
    BOOST_TEST(*limit.limit() == 1U);
}

BOOST_AUTO_TEST_CASE(the_limit_rises_step_by_step_until_all_slots_can_be_used) {
    limit.onRefused(kBegin, 30);
    limit.raiseIfDue(kBegin + 49ms, kSlots);
    BOOST_TEST(*limit.limit() == 30U);
    limit.raiseIfDue(kBegin + 50ms, kSlots);
    BOOST_TEST(*limit.limit() == 34U);
    limit.raiseIfDue(kBegin + 100ms, kSlots);
    limit.raiseIfDue(kBegin + 150ms, kSlots);
    BOOST_TEST(!limit.limit());
}

/// Guards against an instance that is asked for further connections many times a second while it accepts none.
BOOST_AUTO_TEST_CASE(connections_are_tried_less_often_while_they_are_refused) {
    limit.onRefused(kBegin, 30);
    BOOST_TEST(runFor(10s, 30) < 30);
    BOOST_TEST(*limit.limit() == 30U);
    runFor(2s, kSlots);
    BOOST_TEST(!limit.limit());
}

/// Guards against a returned instance to which all waiting requests open connections at once.
BOOST_AUTO_TEST_CASE(an_instance_that_returns_starts_with_a_few_requests_and_one_more_for_each_response) {
    SlowStart start;
    BOOST_TEST(!start.limit());
    start.onResponse(kSlots);
    BOOST_TEST(!start.limit());
    start.begin(0);
    BOOST_TEST(*start.limit() == 4U);
    for (int responses = 0; responses < 35; ++responses) {
        start.onResponse(kSlots);
    }
    BOOST_TEST(*start.limit() == 39U);
    start.onResponse(kSlots);
    BOOST_TEST(!start.limit());
}

BOOST_AUTO_TEST_SUITE_END()
