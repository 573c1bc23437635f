#include "src/adapters/rate_limited_log.h"

#include <boost/test/unit_test.hpp>

#include "tests/support/fakes.h"

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_adapters_rate_limited_log)

BOOST_AUTO_TEST_CASE(routine_lines_never_use_the_limit_of_others_and_dropped_lines_are_counted) {
    tests::VirtualTime time;
    tests::RecordingLog output;
    adapters::RateLimitedLog log(time.clock, output, {"routine"}, {3, 5});
    time.advance(10s);
    for (int count = 0; count < 100; ++count) {
        log.write(Event("routine"));
    }
    for (int count = 0; count < 7; ++count) {
        log.write(Event("failure"));
    }
    BOOST_TEST(output.lines.size() == 8U);
    time.advance(1s);
    log.write(Event("failure"));
    BOOST_TEST(output.lines.size() == 10U);
    BOOST_TEST(output.lines[8] == "event=events_left_out count=99");
}

BOOST_AUTO_TEST_CASE(an_event_over_the_limit_is_counted_though_it_was_never_built) {
    tests::VirtualTime time;
    tests::RecordingLog output;
    adapters::RateLimitedLog log(time.clock, output, {"routine"}, {2, 5});
    time.advance(10s);
    for (int count = 0; count < 10; ++count) {
        if (log.accepts("routine")) {
            log.write(Event("routine"));
        }
    }
    BOOST_TEST(log.accepts("failure"));
    BOOST_TEST(output.lines.size() == 2U);
    time.advance(1s);
    BOOST_TEST(log.accepts("routine"));
    BOOST_TEST(output.lines.at(2) == "event=events_left_out count=8");
}

BOOST_AUTO_TEST_SUITE_END()
