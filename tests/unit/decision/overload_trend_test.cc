#include "src/decision/overload_trend.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

namespace {

struct TrendFixture {
    /// Registers ratios for one second that move linearly between the two.
    void moveRatio(double from, double to) {
        for (int step = 0; step < 100; ++step, now += 10ms) {
            trend.onRatio(now, from + (to - from) * step / 100);
        }
    }
    TimePoint now{100s};
    decision::OverloadTrend trend;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_decision_overload_trend, TrendFixture)

BOOST_AUTO_TEST_CASE(there_is_no_rest_without_an_overload) {
    BOOST_TEST((trend.expectedRest(now) == Duration::zero()));
    moveRatio(1, 1);
    BOOST_TEST((trend.lasted(now) == Duration::zero()));
    BOOST_TEST((trend.expectedRest(now) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(an_overload_that_does_not_ease_is_expected_to_last_as_long_again) {
    moveRatio(0.6, 0.6);
    moveRatio(0.6, 0.6);
    BOOST_TEST((trend.lasted(now) == 2s));
    BOOST_TEST((trend.expectedRest(now) == 2s));
}

BOOST_AUTO_TEST_CASE(a_rising_ratio_ends_the_overload_when_it_reaches_one) {
    moveRatio(0.4, 0.4);
    moveRatio(0.4, 0.4);
    moveRatio(0.4, 0.8);
    const auto rest = trend.expectedRest(now);
    BOOST_TEST((rest > 400ms));  // A rise of 0.4 per second needs 0.5 s for the remaining 0.2.
    BOOST_TEST((rest < 900ms));
}

BOOST_AUTO_TEST_CASE(an_overload_ends_with_the_low_ratios) {
    moveRatio(0.6, 0.6);
    moveRatio(1, 1);
    BOOST_TEST((trend.expectedRest(now) == Duration::zero()));
    moveRatio(0.6, 0.6);
    BOOST_TEST((trend.lasted(now) == 1s));
}

BOOST_AUTO_TEST_SUITE_END()
