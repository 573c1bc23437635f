/// Guards against request smuggling, with mutated messages: an accepted message must parse equally in one piece, byte
/// by byte, and after it is written for the next hop.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/adapters/http_parser.h"
#include "tests/support/mutation.h"

using namespace dewcrank;
using adapters::HttpMessageParser;
using State = HttpMessageParser::State;

namespace {

constexpr int kRounds = 6000;
constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4};
const adapters::HttpLimits kLimits{1024, 4096};

const std::vector<std::string> kRequests = {
    "GET /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n\r\nhello",
    "POST /p HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "GET /1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: h.example\r\n\r\n",
};
const std::vector<std::string> kResponses = {
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 1\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 503 No\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n",
    "HTTP/1.1 204 Nothing\r\n\r\n",
};
const std::vector<std::string> kInsertions = {
    "\r\n", "\n",    "\r",   " ",      "\t",   ":",           "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n",
    "0",    "\r\n0", ";x=1", "+5",     "-1",   "0x10",        "chunked, identity",     "Host: other\r\n",
    "\r\n", "\0",    "GET ", "HTTP/1", "\xff", "\r\n folded", "18446744073709551616",  "Connection: keep-alive\r\n"};

struct Outcome {
    State state = State::kIncomplete;
    std::size_t consumed = 0;
};

/// Feeds a text in pieces of the given size until the message is complete or rejected.
Outcome feed(HttpMessageParser& parser, const std::string& text, std::size_t piece) {
    Outcome outcome;
    while (outcome.consumed < text.size() && outcome.state == State::kIncomplete) {
        std::size_t taken = 0;
        const auto size = std::min(piece, text.size() - outcome.consumed);
        outcome.state = parser.feed(text.data() + outcome.consumed, size, &taken);
        BOOST_REQUIRE(taken <= size);
        outcome.consumed += taken;
        if (outcome.state == State::kIncomplete && taken == 0) {
            break;
        }
    }
    return outcome;
}

std::string headersText(const Headers& headers) {
    std::string text;
    for (const auto& line : headers.lines()) {
        text += line.name + ": " + line.value + "\n";
    }
    return text;
}

bool isFraming(const std::string& name) {
    return sameHeaderName(name, "content-length") || sameHeaderName(name, "transfer-encoding") ||
           sameHeaderName(name, "connection");
}

Headers withoutFraming(const Headers& headers) {
    Headers result;
    for (const auto& line : headers.lines()) {
        if (!isFraming(line.name)) {
            result.add(line.name, line.value);
        }
    }
    return result;
}

void checkRequest(const std::string& text) {
    HttpMessageParser at_once(HttpMessageParser::Kind::kRequest, kLimits);
    HttpMessageParser by_byte(HttpMessageParser::Kind::kRequest, kLimits);
    at_once.reset();
    by_byte.reset();
    const auto result = feed(at_once, text, text.size());
    const auto result_by_byte = feed(by_byte, text, 1);
    BOOST_REQUIRE_MESSAGE((result.state == State::kComplete) == (result_by_byte.state == State::kComplete), text);
    if (result.state != State::kComplete) {
        return;
    }
    BOOST_REQUIRE_MESSAGE(result.consumed == result_by_byte.consumed, text);
    const auto request = at_once.takeRequest();
    BOOST_REQUIRE_MESSAGE(request.body == by_byte.takeRequest().body, text);
    const auto head =
        adapters::writeHead(request.method + " " + request.path + " HTTP/1.1", withoutFraming(request.headers),
                            {static_cast<long long>(request.body.size()), false, {}});
    HttpMessageParser next(HttpMessageParser::Kind::kRequest, {std::size_t{64} * 1024, 4096});
    next.reset();
    const auto forwarded = head + request.body;
    const auto result_next = feed(next, forwarded, forwarded.size());
    BOOST_REQUIRE_MESSAGE(result_next.state == State::kComplete, text);
    BOOST_REQUIRE_MESSAGE(result_next.consumed == forwarded.size(), text);
    const auto reparsed = next.takeRequest();
    BOOST_REQUIRE_MESSAGE(reparsed.path == request.path && reparsed.method == request.method, text);
    BOOST_REQUIRE_MESSAGE(reparsed.body == request.body, text);
    BOOST_REQUIRE_MESSAGE(headersText(withoutFraming(reparsed.headers)) == headersText(withoutFraming(request.headers)),
                          text);
}

void checkResponse(const std::string& text) {
    HttpMessageParser at_once(HttpMessageParser::Kind::kResponse, kLimits);
    HttpMessageParser by_byte(HttpMessageParser::Kind::kResponse, kLimits);
    at_once.reset();
    by_byte.reset();
    const auto result = feed(at_once, text, text.size());
    const auto result_by_byte = feed(by_byte, text, 1);
    BOOST_REQUIRE_MESSAGE((result.state == State::kComplete) == (result_by_byte.state == State::kComplete), text);
    if (result.state == State::kComplete) {
        BOOST_REQUIRE_MESSAGE(result.consumed == result_by_byte.consumed, text);
        BOOST_REQUIRE_MESSAGE(at_once.takeResponse().body == by_byte.takeResponse().body, text);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_adapters_http_parser_fuzz)

BOOST_AUTO_TEST_CASE(mutated_requests_are_unambiguous_or_rejected) {
    for (const auto seed : kSeeds) {
        tests::Mutator mutator(seed, kInsertions);
        for (int round = 0; round < kRounds; ++round) {
            checkRequest(mutator.mutated(kRequests[mutator.below(kRequests.size())]));
        }
    }
}

BOOST_AUTO_TEST_CASE(mutated_responses_are_unambiguous_or_rejected) {
    for (const auto seed : kSeeds) {
        tests::Mutator mutator(seed, kInsertions);
        for (int round = 0; round < kRounds; ++round) {
            checkResponse(mutator.mutated(kResponses[mutator.below(kResponses.size())]));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
