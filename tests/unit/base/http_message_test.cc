#include <boost/test/unit_test.hpp>

#include "src/base/http_message.h"
#include "src/ports/event_log.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(base_http_message)

/// Guards against forwarding connection-specific headers.
BOOST_AUTO_TEST_CASE(hop_by_hop_headers_go_and_those_that_connection_names) {
    Headers headers;
    for (const char* name : {"Keep-Alive", "TE", "Upgrade", "X-Private", "X-Kept", "Proxy-Authorization"}) {
        headers.add(name, "1");
    }
    headers.add("Connection", "keep-alive, x-private");
    removeHopByHopHeaders(headers);
    BOOST_REQUIRE(headers.lines().size() == 1U);
    BOOST_TEST(headers.get("x-kept") == "1");
}

/// Guards against log injection by values with line breaks or quotes.
BOOST_AUTO_TEST_CASE(log_lines_are_key_value_pairs_and_cannot_be_broken) {
    const auto line = Event("x").with("peer", "a b").with("n", 3).with("text", "1\nevent=\"y\"").line();
    BOOST_TEST(line == "event=x peer=\"a b\" n=3 text=\"1 event=\\\"y\\\"\"");
}

BOOST_AUTO_TEST_SUITE_END()
