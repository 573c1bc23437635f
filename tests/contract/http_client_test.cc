#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

#include "src/adapters/http_client.h"
#include "src/ports/reconnecting_sender.h"
#include "tests/contract/loop_fixture.h"
#include "tests/contract/raw_server.h"

using namespace dewcrank;

namespace {

struct ClientFixture : tests::LoopFixture {
    static HttpRequest get() {
        HttpRequest request;
        request.method = "GET";
        request.path = "/x";
        return request;
    }
    AttemptResult call(const std::string& address, Duration timeout = 5s, const std::string& method = "GET") {
        std::optional<AttemptResult> result;
        HttpRequest request;
        request.method = method;
        request.path = "/x";
        const auto attempt = client.send(address, std::move(request), timeout,
                                         [&](AttemptResult received) { result = std::move(received); });
        BOOST_TEST(!result.has_value());  // The callback must not run inside `send`.
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    adapters::HttpClient client{loop, adapters::HttpLimits{1024, 4096}};
};

const std::string kComplete = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(contract_http_client, ClientFixture)

struct ResponseCase {
    const char* name;
    std::string response;
    bool close_after_response;
    AttemptOutcome expected;
};

BOOST_AUTO_TEST_CASE(only_complete_responses_are_accepted) {
    const ResponseCase cases[] = {
        {"complete", kComplete, false, AttemptOutcome::kResponded},
        {"complete, then closed", kComplete, true, AttemptOutcome::kResponded},
        {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false,
         AttemptOutcome::kResponded},
        {"no content", "HTTP/1.1 204 No Content\r\n\r\n", false, AttemptOutcome::kResponded},
        {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", true, AttemptOutcome::kUnknown},
        {"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nhello", true,
         AttemptOutcome::kUnknown},
        {"truncated between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true,
         AttemptOutcome::kUnknown},
        {"truncated head", "HTTP/1.1 200 OK\r\nContent-Le", true, AttemptOutcome::kUnknown},
        {"delimited by the close", "HTTP/1.1 200 OK\r\n\r\nhello", true, AttemptOutcome::kUnknown},
        {"closed without a response", "", true, AttemptOutcome::kUnknown},
        {"not HTTP", "hello\r\n\r\n", true, AttemptOutcome::kUnknown},
        {"too large", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", false, AttemptOutcome::kUnknown},
    };
    for (const auto& entry : cases) {
        tests::RawServer server(loop, entry.response, entry.close_after_response);
        const auto result = call(server.address());
        BOOST_TEST((result.outcome == entry.expected), entry.name << ": " << result.reason);
        BOOST_TEST(server.requests() == 1, entry.name);
    }
}

BOOST_AUTO_TEST_CASE(a_close_delimited_response_is_complete_if_the_options_allow_it) {
    adapters::ClientOptions options;
    options.accepts_close_delimited = true;
    options.max_idle_per_address = 4;
    adapters::HttpClient lenient(loop, adapters::HttpLimits{1024, 4096}, options);
    tests::RawServer server(loop, "HTTP/1.1 200 OK\r\n\r\nhello", true);
    std::optional<AttemptResult> result;
    HttpRequest request;
    request.method = "GET";
    request.path = "/";
    const auto attempt =
        lenient.send(server.address(), request, 5s, [&](AttemptResult received) { result = received; });
    runUntil([&] { return result.has_value(); });
    BOOST_TEST((result->outcome == AttemptOutcome::kResponded));
    BOOST_TEST(result->response.body == "hello");
}

BOOST_AUTO_TEST_CASE(bytes_after_a_response_prevent_reuse_of_the_connection) {
    tests::RawServer server(loop, kComplete + kComplete, false);
    BOOST_TEST((call(server.address()).outcome == AttemptOutcome::kResponded));
    server.setResponse(kComplete, false);
    BOOST_TEST(call(server.address()).response.body == "hello");
    BOOST_TEST(server.connections() == 2);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_counts_as_not_sent) {
    std::string address;
    { address = tests::RawServer(loop, kComplete, false).address(); }
    BOOST_TEST((call(address).outcome == AttemptOutcome::kNotSent));
    BOOST_TEST((call("no address").outcome == AttemptOutcome::kNotSent));
}

BOOST_AUTO_TEST_CASE(connections_are_reused) {
    tests::RawServer server(loop, kComplete, false);
    for (int count = 0; count < 5; ++count) {
        BOOST_TEST((call(server.address()).outcome == AttemptOutcome::kResponded));
    }
    BOOST_TEST(server.connections() == 1);
}

BOOST_AUTO_TEST_CASE(a_request_on_a_connection_that_is_being_closed_is_not_sent_twice) {
    tests::RawServer server(loop, kComplete, false);
    call(server.address());
    server.setResponse("", true);
    const auto result = call(server.address(), 5s, "POST");
    BOOST_TEST((result.outcome == AttemptOutcome::kUnknown));
    runFor(100ms);
    BOOST_TEST(server.requests() == 2);
}

BOOST_AUTO_TEST_CASE(a_timeout_is_unknown_and_its_late_response_is_discarded) {
    tests::RawServer unresponsive(loop, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", false);
    BOOST_TEST((call(unresponsive.address(), 300ms).outcome == AttemptOutcome::kUnknown));
    unresponsive.setResponse(kComplete, false);
    BOOST_TEST(call(unresponsive.address()).response.body == "hello");
    BOOST_TEST(unresponsive.connections() == 2);  // The first connection was not reused.
}

BOOST_AUTO_TEST_CASE(a_cancelled_attempt_never_calls_back) {
    tests::RawServer server(loop, kComplete, false);
    HttpRequest request;
    request.method = "GET";
    request.path = "/";
    auto attempt = client.send(server.address(), request, 5s, [](const AttemptResult&) { BOOST_FAIL("called"); });
    attempt.reset();
    runFor(100ms);
    BOOST_TEST(client.openConnections() == 0U);
}

/// Guards against one timeout for each idle connection after all of them have gone silent.
BOOST_AUTO_TEST_CASE(silent_connections_cost_an_idempotent_request_no_timeout) {
    tests::RawServer server(loop, kComplete, false);
    constexpr int kConnections = 3;
    int responses = 0;
    std::vector<AttemptHandle> attempts;
    const auto on_response = [&](const AttemptResult& result) {
        responses += result.outcome == AttemptOutcome::kResponded ? 1 : 0;
    };
    for (int count = 0; count < kConnections; ++count) {
        attempts.push_back(client.send(server.address(), get(), 5s, on_response));
    }
    runUntil([&] { return responses == kConnections; });
    server.silenceConnections();
    ReconnectingSender sender(loop, client);
    const auto attempt = sender.send(server.address(), get(), 5s, on_response);
    runUntil([&] { return responses == kConnections + 1; });
    BOOST_TEST(server.connections() == kConnections + 1);
    BOOST_TEST(call(server.address()).response.body == "hello");
    BOOST_TEST(server.connections() == kConnections + 1);
    BOOST_TEST(client.openConnections() <= 2U);  // The one that works, and the one whose request is lost.
}

// Guards against a request that is lost when its connection cannot be opened: it was not sent, and can be sent again.
BOOST_AUTO_TEST_CASE(a_request_that_was_not_sent_is_returned) {
    const auto result = call("127.0.0.1:1");
    BOOST_TEST((result.outcome == AttemptOutcome::kNotSent));
    BOOST_REQUIRE(result.unsent.has_value());
    BOOST_TEST(result.unsent->path == "/x");
}

BOOST_AUTO_TEST_SUITE_END()
