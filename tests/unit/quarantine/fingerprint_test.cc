#include "src/quarantine/fingerprint.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

using namespace dewcrank;
using quarantine::fingerprintOf;

namespace {

HttpRequest requestOf(const std::string& method, const std::string& host, const std::string& path,
                      const std::string& body) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers.set("Host", host);
    request.body = body;
    return request;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_quarantine_fingerprint)

BOOST_AUTO_TEST_CASE(retries_share_a_fingerprint_and_other_requests_do_not) {
    auto request = requestOf("POST", "a.example", "/sign/1?x=2", "body");
    const auto first = fingerprintOf(request);
    request.headers.set("X-Id", "another");
    request.headers.set("X-Deadline", "17");
    BOOST_TEST(fingerprintOf(request) == first);
    const std::set<quarantine::Fingerprint> all = {
        first,
        fingerprintOf(requestOf("PUT", "a.example", "/sign/1?x=2", "body")),
        fingerprintOf(requestOf("POST", "b.example", "/sign/1?x=2", "body")),
        fingerprintOf(requestOf("POST", "a.example", "/sign/1?x=3", "body")),
        fingerprintOf(requestOf("POST", "a.example", "/sign/1?x=2", "bod")),
        fingerprintOf(requestOf("POST", "a.example", "/sign/1?x=2b", "ody")),
        fingerprintOf(requestOf("POST", "a.example", "/sign/1?x=2", std::string(3'000'000, 'b'))),
    };
    BOOST_TEST(all.size() == 7U);
}

BOOST_AUTO_TEST_CASE(its_text_has_a_fixed_length) {
    BOOST_TEST(quarantine::fingerprintText(0x1f) == "000000000000001f");
}

BOOST_AUTO_TEST_SUITE_END()
