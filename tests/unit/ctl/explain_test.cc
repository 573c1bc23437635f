#include "apps/ctl/explain.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_ctl_explain)

/// Guards against lines of several logs out of time order, and against state changes long before the request.
BOOST_AUTO_TEST_CASE(lines_of_a_request_are_sorted_by_time_with_state_changes_near_them) {
    ctl::RequestTrace trace("r7");
    std::istringstream entry(
        "time=2026-01-01T10:00:00.000 event=table_adopted version=3\n"
        "time=2026-01-01T10:00:09.000 event=relay_failed request=r1 peer=n2\n"
        "time=2026-01-01T10:00:09.500 event=node_silent peer=n2\n"
        "time=2026-01-01T10:00:10.300 event=request_given_up request=r7 reason=timeout\n"
        "time=2026-01-01T10:00:10.301 event=request_answered request=r8 reason=none\n"
        "no event here\n");
    std::istringstream relay(
        "time=2026-01-01T10:00:10.100 event=relay_refused request=r7 reason=draining\n"
        "time=2026-01-01T10:00:11.000 event=instance_changed state=INSTANCE_GONE\n");
    trace.read("entry.log", entry);
    trace.read("relay.log", relay);
    const auto lines = trace.lines();
    BOOST_REQUIRE(lines.size() == 5U);
    BOOST_TEST(lines[0].text.starts_with("event=relay_failed"));
    BOOST_TEST(!lines[0].names_request);
    BOOST_TEST(lines[1].text.starts_with("event=node_silent"));
    BOOST_TEST(lines[2].source == "relay.log");
    BOOST_TEST(lines[2].names_request);
    BOOST_TEST(lines[3].text.find("reason=timeout") != std::string::npos);
    BOOST_TEST(lines[4].text.starts_with("event=instance_changed"));
}

/// Guards against a report that blames the entry, which gives up last, for a response that was lost at the relay, and
/// against one that takes a rejected request for a lost one.
BOOST_AUTO_TEST_CASE(the_first_hop_that_lost_the_response_is_named) {
    ctl::RequestTrace trace("r7");
    std::istringstream entry(
        "time=2026-01-01T10:00:10.310 event=request_given_up request=r7 reason=no-whole-answer status=502\n"
        "time=2026-01-01T10:00:10.320 event=client_left request=r8 reason=peer-closed\n");
    std::istringstream relay(
        "time=2026-01-01T10:00:10.300 event=run_cut request=r7 reason=timeout remaining_ms=700\n"
        "time=2026-01-01T10:00:10.301 event=instance_failed request=r7 reason=timeout sent=yes\n");
    trace.read("entry.log", entry);
    trace.read("relay.log", relay);
    const auto losses = trace.losses();
    BOOST_REQUIRE(losses.size() == 3U);
    BOOST_TEST(losses[0].source == "relay.log");
    BOOST_TEST(losses[0].text.starts_with("event=run_cut"));
    BOOST_TEST(losses[2].source == "entry.log");

    ctl::RequestTrace rejected("r9");
    std::istringstream log(
        "time=2026-01-01T10:00:10.300 event=request_given_up request=r9 reason=bottleneck status=503\n");
    rejected.read("log", log);
    BOOST_TEST(rejected.lines().size() == 1U);
    BOOST_TEST(rejected.losses().empty());
}

BOOST_AUTO_TEST_CASE(an_id_with_the_same_prefix_is_another_request) {
    ctl::RequestTrace trace("r7");
    std::istringstream log("time=2026-01-01T10:00:10.300 event=request_answered request=r77 route=a\n");
    trace.read("log", log);
    BOOST_TEST(trace.lines().empty());
}

BOOST_AUTO_TEST_SUITE_END()
