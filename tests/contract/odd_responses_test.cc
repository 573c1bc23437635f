/// Responses that HTTP does not allow, or that never end, are given up as soon as that shows: no caller gets one, and
/// none is waited for until the deadline.

#include <boost/test/unit_test.hpp>

#include <optional>

#include "src/adapters/http_client.h"
#include "tests/contract/loop_fixture.h"
#include "tests/contract/raw_server.h"

using namespace dewcrank;

namespace {

constexpr const char* kMalformed = "malformed-answer";
const adapters::HttpLimits kLimits{4096, 4096};

struct OddResponseFixture : tests::LoopFixture {
    AttemptResult call(const std::string& response, const std::string& method = "GET") {
        tests::RawServer server(loop, response, false);
        std::optional<AttemptResult> result;
        HttpRequest request;
        request.method = method;
        request.path = "/x";
        const auto attempt = client.send(server.address(), std::move(request), 2s,
                                         [&](AttemptResult received) { result = std::move(received); });
        runUntil([&] { return result.has_value(); });
        return *result;
    }
    adapters::HttpClient client{loop, kLimits};
};

std::string repeated(const std::string& text, std::size_t bytes) {
    std::string all;
    while (all.size() < bytes) {
        all += text;
    }
    return all;
}

std::string withStatus(const std::string& status) {
    return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(contract_odd_responses, OddResponseFixture)

/// Guards against a response whose status is none of HTTP's, which was taken for an interim one or passed on.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_status_is_malformed) {
    for (const char* status : {"000", "001", "020", "20", "099", "101", "600", "999", "1000", "-1", "x"}) {
        const auto result = call(withStatus(status));
        BOOST_TEST((result.outcome == AttemptOutcome::kUnknown), status);
        BOOST_TEST(result.reason == kMalformed, status);
    }
    for (const char* line : {"HTTP/1.1\r\n\r\n", "HTTP/1.1 \r\n\r\n", "HTTP/1.1  OK\r\n\r\n"}) {
        BOOST_TEST(call(line).reason == kMalformed, line);
    }
    for (const int status : {200, 299, 300, 404, 500, 599}) {
        const auto result = call(withStatus(std::to_string(status)));
        BOOST_TEST((result.outcome == AttemptOutcome::kResponded), status);
        BOOST_TEST(result.response.status == status);
    }
}

/// Guards against a head that never ends, in one line, in many, or in interim responses.
BOOST_AUTO_TEST_CASE(a_head_without_end_is_malformed) {
    const auto enough = 4 * kLimits.header_bytes;
    for (const auto& head :
         {"HTTP/1.1 200 " + std::string(enough, 'x'), "HTTP/1.1 200 OK\r\nA: " + std::string(enough, 'x'),
          "HTTP/1.1 200 OK\r\n" + repeated("A: b\r\n", enough), repeated("HTTP/1.1 100 Continue\r\n\r\n", enough),
          repeated("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", enough)}) {
        const auto result = call(head);
        BOOST_TEST((result.outcome == AttemptOutcome::kUnknown));
        BOOST_TEST(result.reason == kMalformed, head.substr(0, 40));
    }
    const auto after_interim =
        call("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + withStatus("200"));
    BOOST_TEST((after_interim.outcome == AttemptOutcome::kResponded));
    BOOST_TEST(after_interim.response.body == "ok");
    BOOST_TEST(!after_interim.response.headers.has("A"));
}

/// The same if they come one by one, as from a sender that never stops.
BOOST_AUTO_TEST_CASE(interim_responses_without_end_are_malformed_however_they_arrive) {
    using adapters::HttpMessageParser;
    HttpMessageParser parser(HttpMessageParser::Kind::kResponse, kLimits);
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    auto state = HttpMessageParser::State::kIncomplete;
    std::size_t bytes = 0;
    while (state == HttpMessageParser::State::kIncomplete && bytes < 4 * kLimits.header_bytes) {
        std::size_t consumed = 0;
        state = parser.feed(interim.data(), interim.size(), &consumed);
        bytes += interim.size();
    }
    BOOST_TEST((state == HttpMessageParser::State::kMalformed));
    BOOST_TEST(bytes <= kLimits.header_bytes + interim.size());
}

BOOST_AUTO_TEST_CASE(a_body_without_end_is_too_large) {
    const auto enough = 4 * kLimits.body_bytes;
    for (const auto& response :
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + repeated("2\r\nok\r\n", enough * 4),
          "HTTP/1.1 200 OK\r\n\r\n" + std::string(enough, 'x')}) {
        BOOST_TEST(call(response).reason == "answer-too-large");
    }
}

/// Guards against waiting for a body that cannot come (RFC 9110, section 6.4.1).
BOOST_AUTO_TEST_CASE(a_response_that_has_no_body_ends_with_its_head_whatever_length_it_names) {
    const auto no_content = call("HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n");
    BOOST_TEST((no_content.outcome == AttemptOutcome::kResponded));
    const auto not_modified = call("HTTP/1.1 304 Not Modified\r\nContent-Length: 100000\r\nETag: e\r\n\r\n");
    BOOST_TEST((not_modified.outcome == AttemptOutcome::kResponded));
    BOOST_TEST(not_modified.response.status == 304);
    BOOST_TEST(not_modified.response.headers.get("etag") == "e");
    const auto head = call("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "HEAD");
    BOOST_TEST((head.outcome == AttemptOutcome::kResponded));
}

BOOST_AUTO_TEST_SUITE_END()
