#include "src/adapters/response_cut_log.h"

#include <arpa/inet.h>

#include <boost/test/unit_test.hpp>

#include "src/adapters/rate_limited_log.h"
#include "tests/support/fakes.h"

using namespace dewcrank;
using adapters::CutReason;

namespace {

adapters::ResponseCut cutOf(CutReason reason) {
    adapters::ResponseCut cut;
    cut.request_id = "r1";
    cut.peer.sin_family = AF_INET;
    cut.peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cut.peer.sin_port = htons(4711);
    cut.is_queued = true;
    cut.delivered = 120;
    cut.total = 400;
    cut.reason = reason;
    return cut;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_adapters_response_cut_log)

/// Guards against a lost answer whose record does not name the request, the hop, the bytes or the reason.
BOOST_AUTO_TEST_CASE(a_cut_names_request_hop_bytes_and_reason) {
    tests::RecordingLog output;
    adapters::ResponseCutLog log(output);
    log.onCut("callers", cutOf(CutReason::kStopLimit), true);
    log.onCut("nodes", cutOf(CutReason::kReset), false);
    BOOST_REQUIRE(output.lines.size() == 2U);
    BOOST_TEST(output.lines[0] ==
               "event=response_cut request=r1 server=callers peer=127.0.0.1:4711 state=queued delivered=120 bytes=400 "
               "reason=stop-limit stopping=yes");
    BOOST_TEST(output.lines[1] ==
               "event=client_left request=r1 server=nodes peer=127.0.0.1:4711 state=queued delivered=120 bytes=400 "
               "reason=reset stopping=no");
}

/// Guards against a log flooded by clients that leave, and against a cut by the node that is dropped behind them.
BOOST_AUTO_TEST_CASE(clients_that_leave_are_rate_limited_and_cuts_by_the_node_are_not) {
    tests::VirtualTime time;
    tests::RecordingLog output;
    adapters::RateLimitedLog limited(time.clock, output, {"client_left"}, {5, 7}, {"response_cut"});
    adapters::ResponseCutLog log(limited);
    time.advance(10s);
    for (int count = 0; count < 20; ++count) {
        log.onCut("callers", cutOf(CutReason::kPeerClosed), false);
        log.onCut("callers", cutOf(CutReason::kWriteTimeout), false);
    }
    BOOST_TEST(output.lines.size() == 25U);
    BOOST_TEST(log.totals().at({"callers", "peer-closed"}) == 20U);
    BOOST_TEST(log.totals().at({"callers", "write-timeout"}) == 20U);
}

BOOST_AUTO_TEST_SUITE_END()
