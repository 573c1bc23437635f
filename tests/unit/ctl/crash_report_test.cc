#include "apps/ctl/crash_report.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_ctl_crash_report)

/// Guards against blaming concurrent requests: a crashing request has a different id at each node, so the report must
/// identify the request by its fingerprint.
BOOST_AUTO_TEST_CASE(the_request_lost_at_most_instances_comes_first) {
    const std::string failed = " event=instance_failed reason=connection-closed sent=yes route=/work/ ";
    std::istringstream one("time=2026-01-01T10:00:01.000" + failed + "request=r1 instance=i1 fingerprint=aa\n" +
                           "time=2026-01-01T10:00:01.000" + failed + "request=r2 instance=i1 fingerprint=bb\n" +
                           "time=2026-01-01T10:00:01.500 event=request_answered request=r2\n" +
                           "time=2026-01-01T10:00:05.000" + failed + "request=r3 instance=i4 fingerprint=aa\n");
    std::istringstream other("time=2026-01-01T10:00:02.000" + failed + "request=r4 instance=i2 fingerprint=aa\n" +
                             "time=2026-01-01T10:00:02.000" + failed + "request=r5 instance=i2 fingerprint=bb\n" +
                             "time=2026-01-01T10:00:03.000 event=instance_failed sent=no request=r6 instance=i3\n");
    ctl::CrashReport report;
    report.read(one);
    report.read(other);
    BOOST_TEST(report.lostRequests().size() == 3U);
    BOOST_TEST(report.lostRequests().at("i1") == 2U);
    const auto suspects = report.suspects();
    BOOST_REQUIRE(suspects.size() == 2U);
    BOOST_TEST(suspects[0].fingerprint == "aa");
    BOOST_TEST(suspects[0].instances.size() == 3U);
    BOOST_TEST(suspects[0].route == "/work/");
    BOOST_TEST(suspects[0].first_s == 36001);
    BOOST_TEST(suspects[0].last_s == 36005);
    BOOST_TEST(suspects[1].fingerprint == "bb");
}

BOOST_AUTO_TEST_SUITE_END()
