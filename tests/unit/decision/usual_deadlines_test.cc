#include "src/decision/usual_deadlines.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_decision_usual_deadlines)

BOOST_AUTO_TEST_CASE(a_timeout_below_the_usual_one_of_the_route_is_shortened) {
    decision::UsualDeadlines deadlines;
    const TimePoint now(100s);
    BOOST_TEST(!deadlines.isShortened(now, "browse", 5000ms));
    BOOST_TEST(!deadlines.isShortened(now, "browse", 4990ms));
    BOOST_TEST(deadlines.isShortened(now, "browse", 4500ms));
    BOOST_TEST(!deadlines.isShortened(now, "band", 800ms));
}

/// Guards against a single long timeout that makes all later usual timeouts count as shortened.
BOOST_AUTO_TEST_CASE(one_very_long_deadline_is_forgotten) {
    decision::UsualDeadlines deadlines;
    TimePoint now(100s);
    deadlines.isShortened(now, "browse", 600s);
    int shortened = 0;
    for (int second = 0; second < 60; ++second) {
        now += 1s;
        shortened += deadlines.isShortened(now, "browse", 5000ms) ? 1 : 0;
    }
    BOOST_TEST(shortened > 0);
    BOOST_TEST(shortened <= 20);
}

BOOST_AUTO_TEST_SUITE_END()
