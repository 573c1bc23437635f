#include "src/decision/response_times.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_decision_response_times)

/// Guards against a bound below the times that a route has.
BOOST_AUTO_TEST_CASE(the_bound_covers_times_that_vary_and_follows_those_that_change) {
    decision::ResponseTimes times;
    BOOST_TEST(!times.upperBound("r").has_value());
    times.onEnded("r", 100ms);
    BOOST_TEST((times.upperBound("r") >= 100ms));
    for (int count = 0; count < 100; ++count) {
        times.onEnded("r", count % 2 == 0 ? 100ms : 300ms);
        times.onEnded("steady", 4s);
    }
    BOOST_TEST((times.upperBound("r") >= 300ms));
    BOOST_TEST((times.upperBound("r") < 1s));
    BOOST_TEST((times.upperBound("steady") >= 3990ms));
    BOOST_TEST((times.upperBound("steady") < 4100ms));
    for (int count = 0; count < 20; ++count) {
        times.onEnded("r", 2s);
    }
    BOOST_TEST((times.upperBound("r") >= 1900ms));
}

BOOST_AUTO_TEST_SUITE_END()
