#include "apps/ctl/retry_report.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_ctl_retry_report)

/// Guards against counts that are lost when a node restarts or when several nodes report the same window.
BOOST_AUTO_TEST_CASE(windows_are_summed_over_nodes_and_their_restarts) {
    const std::string limit = " ratio=0.2 slack=5 window_s=10\n";
    std::istringstream one(
        "time=2026-01-01T10:00:01.000 event=repeats service=desk requests=100 inherited=0 granted=1 denied=0" + limit +
        "time=2026-01-01T10:00:12.000 event=repeats service=desk requests=90 inherited=10 granted=20 denied=7" + limit +
        "time=2026-01-01T10:00:16.000 event=node_started name=n1\n"
        "time=2026-01-01T10:00:18.000 event=repeats service=desk requests=10 inherited=0 granted=8 denied=0" +
        limit);
    std::istringstream other(
        "time=2026-01-01T10:00:13.000 event=repeats service=desk requests=50 inherited=0 granted=9 denied=2" + limit);
    ctl::RetryReport report;
    report.read("n1.log", one);
    report.read("n2.log", other);
    const auto windows = report.worstWindows();
    BOOST_REQUIRE(windows.size() == 1U);
    const auto& it = windows[0];
    BOOST_TEST(it.service == "desk");
    BOOST_TEST(it.begin_s == 36012);
    BOOST_TEST(it.total.retries == 47);  // 20 + 10 inherited, 8 after the restart, 9 at the other node.
    BOOST_TEST(it.total.requests == 160);
    BOOST_TEST(it.allowed == 37);
    BOOST_TEST(it.by_node.at("n1.log").retries == 38);
    BOOST_TEST(it.by_node.at("n2.log").denied == 2);
}

BOOST_AUTO_TEST_SUITE_END()
