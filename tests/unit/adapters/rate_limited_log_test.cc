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

/// Guards against an unlimited event that is dropped with the others, or that uses up their limit.
BOOST_AUTO_TEST_CASE(unlimited_events_are_never_dropped) {
    tests::VirtualTime time;
    tests::RecordingLog output;
    adapters::RateLimitedLog log(time.clock, output, {"routine"}, {2, 3}, {"response_cut"});
    time.advance(10s);
    for (int count = 0; count < 10; ++count) {
        BOOST_TEST(log.accepts("response_cut"));
        log.write(Event("response_cut"));
    }
    for (int count = 0; count < 5; ++count) {
        log.write(Event("failure"));
    }
    BOOST_TEST(output.lines.size() == 13U);
}

/// Guards against a record of a stop in which routine events are missing.
BOOST_AUTO_TEST_CASE(no_event_is_dropped_once_the_limits_are_lifted) {
    tests::VirtualTime time;
    tests::RecordingLog output;
    adapters::RateLimitedLog log(time.clock, output, {"routine"}, {2, 3});
    time.advance(10s);
    for (int count = 0; count < 10; ++count) {
        log.write(Event("routine"));
    }
    BOOST_TEST(output.lines.size() == 2U);
    log.liftLimits();
    for (int count = 0; count < 10; ++count) {
        BOOST_TEST(log.accepts("routine"));
        log.write(Event("routine"));
    }
    BOOST_TEST(output.lines.size() == 12U);
}

BOOST_AUTO_TEST_SUITE_END()
