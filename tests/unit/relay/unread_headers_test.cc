#include <boost/test/unit_test.hpp>
#include <string>

#include "src/relay/unread_headers.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_relay_unread_headers)

// Guards against signals of instances that nobody notices: each new header is logged once, whatever its case.
BOOST_AUTO_TEST_CASE(a_header_that_nothing_reads_is_logged_once) {
    tests::RecordingLog log;
    const HeaderNames names;
    relay::UnreadHeaders headers(log, names);
    HttpResponse response;
    response.headers.set("Content-Type", "text/plain");
    response.headers.set(names.server_stamp, "s1");
    headers.check(response, "i1");
    BOOST_TEST(log.lines.empty());
    response.headers.set("New-Signal", std::string(100, 'x'));
    headers.check(response, "i1");
    response.headers.set("new-signal", "2");
    headers.check(response, "i1");
    BOOST_REQUIRE(log.lines.size() == 1U);
    BOOST_TEST(log.lines[0] == "event=header_unread header=New-Signal value=" + std::string(64, 'x') + " instance=i1");
    BOOST_TEST(headers.count() == 1U);
}

BOOST_AUTO_TEST_CASE(an_instance_with_ever_new_headers_does_not_fill_the_memory) {
    tests::RecordingLog log;
    const HeaderNames names;
    relay::UnreadHeaders headers(log, names);
    for (int number = 0; number < 1000; ++number) {
        HttpResponse response;
        response.headers.set("x-" + std::to_string(number), "1");
        headers.check(response, "i1");
    }
    BOOST_TEST(headers.count() == 32U);
    BOOST_TEST(log.lines.size() == 32U);
}

BOOST_AUTO_TEST_SUITE_END()
