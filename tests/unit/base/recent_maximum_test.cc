#include "src/base/recent_maximum.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

namespace {

constexpr TimePoint kStart(100s);

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_base_recent_maximum)

BOOST_AUTO_TEST_CASE(a_value_counts_for_a_window_after_it_was_left) {
    RecentMaximum maximum(10s, 3);
    maximum.set(kStart + 60s, 1);
    BOOST_TEST(maximum.at(kStart + 60s) == 3U);
    BOOST_TEST(maximum.at(kStart + 70s) == 3U);
    BOOST_TEST(maximum.at(kStart + 71s) == 1U);
}

BOOST_AUTO_TEST_CASE(a_larger_value_counts_at_once) {
    RecentMaximum maximum(10s, 1);
    maximum.set(kStart, 3);
    BOOST_TEST(maximum.at(kStart) == 3U);
}

/// Guards against a smaller value that is lost while a larger one is in the window.
BOOST_AUTO_TEST_CASE(values_that_fall_in_steps_leave_in_steps) {
    RecentMaximum maximum(10s, 3);
    maximum.set(kStart, 2);
    maximum.set(kStart + 4s, 1);
    BOOST_TEST(maximum.at(kStart + 9s) == 3U);
    BOOST_TEST(maximum.at(kStart + 11s) == 2U);
    BOOST_TEST(maximum.at(kStart + 15s) == 1U);
}

/// Guards against smaller values, before or after a rise, that replace the maximum while the maximum is in the window.
BOOST_AUTO_TEST_CASE(a_rise_in_between_covers_what_was_smaller) {
    RecentMaximum maximum(10s, 1);
    maximum.set(kStart, 2);
    maximum.set(kStart + 1s, 1);
    maximum.set(kStart + 2s, 4);
    maximum.set(kStart + 3s, 1);
    BOOST_TEST(maximum.at(kStart + 12s) == 4U);
    BOOST_TEST(maximum.at(kStart + 14s) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
