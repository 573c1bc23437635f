#include "src/sidecar/flow_share_log.h"

#include <boost/test/unit_test.hpp>

#include "tests/support/fakes.h"

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_sidecar_flow_share_log)

/// Guards against a log that is flooded by the rejections of hot flows, and against counts that miss some of them.
BOOST_AUTO_TEST_CASE(events_are_few_and_count_all_rejections) {
    tests::VirtualTime time;
    tests::RecordingLog log;
    sidecar::FlowShareLog shares(time.clock, log);
    time.advance(1s);
    for (int request = 0; request < 1000; ++request) {
        shares.onRejected({"leaf", "tenant/" + std::to_string(request % 10), {0.25, 4, 1, 20ms}});
        time.advance(1ms);
    }
    BOOST_TEST(log.lines.size() == 5U);
    BOOST_TEST(shares.rejectedCount() == 1000U);
    BOOST_TEST(log.lines.front() ==
               "event=flow_over_share flow=tenant/0 bottleneck=leaf rate=4.000000 level=1.000000 probability=0.250000 "
               "fleet_rate_age_ms=20 rejected=1");
    time.advance(1s);
    shares.onRejected({"leaf", "route/a", {0.25, 4, 1, std::nullopt}});
    BOOST_TEST(log.lines.back().ends_with("fleet_rate_age_ms=-1 rejected=996"), log.lines.back());
}

BOOST_AUTO_TEST_SUITE_END()
