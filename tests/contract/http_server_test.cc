#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <string>
#include <vector>

#include "src/adapters/http_server.h"
#include "tests/contract/loop_fixture.h"

using namespace dewcrank;

namespace {

constexpr std::size_t kLargeBody = std::size_t{12} * 1024 * 1024;  ///< More than the buffers of both sockets.
constexpr int kReceiveBuffer = 64 * 1024;
/// Longer than the server's timeouts.
constexpr Duration kReadTime = 2500ms;

struct ServerFixture : tests::LoopFixture {
    ServerFixture() {
        runOrReport(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(address, server.listen({"127.0.0.1", 0}));
                return {};
            },
            [](const StepError& error) { BOOST_FAIL(error.text()); });
    }

    /// @param receive_buffer size of the socket's buffer in bytes; 0: the system's choice.
    int connect(int receive_buffer = 0) const {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if (receive_buffer > 0) {
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
        BOOST_REQUIRE(::connect(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0);
        return descriptor;
    }

    /// Sends bytes, and reads until the response head is complete or the server closes. @return the status line.
    std::string exchange(const std::string& bytes) {
        const int descriptor = connect();
        BOOST_REQUIRE(write(descriptor, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
        std::string response;
        runUntil([&] {
            char buffer[4096];
            const auto count = recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
            if (count > 0) {
                response.append(buffer, static_cast<std::size_t>(count));
            }
            return count == 0 || response.find("\r\n\r\n") != std::string::npos;
        });
        close(descriptor);
        return response.substr(0, response.find("\r\n"));
    }

    /// @return a connection with a small buffer, whose request waits for its response.
    int requestLargeBody() {
        const auto before = pending.size();
        const int descriptor = connect(kReceiveBuffer);
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        BOOST_REQUIRE(write(descriptor, request.data(), request.size()) > 0);
        runUntil([&] { return pending.size() > before; });
        return descriptor;
    }
    /// Reads kLargeBody bytes at an even pace. @return the number of bytes until the server closed, or has sent them.
    std::size_t readSlowly(int descriptor, Duration time) {
        const auto started = loop.now();
        std::vector<char> buffer(kLargeBody);
        std::size_t total = 0;
        bool is_closed = false;
        runUntil([&] {
            const auto share = static_cast<double>((loop.now() - started).count()) / static_cast<double>(time.count());
            const auto allowed = static_cast<std::size_t>(share * static_cast<double>(kLargeBody));
            while (!is_closed && total < allowed) {
                const auto count =
                    recv(descriptor, buffer.data(), std::min(allowed - total, buffer.size()), MSG_DONTWAIT);
                if (count < 0 && errno == EAGAIN) {
                    break;
                }
                is_closed = count <= 0;
                total += count > 0 ? static_cast<std::size_t>(count) : 0;
            }
            return is_closed || total >= kLargeBody;
        });
        return total;
    }
    /// Runs the loop until the server closes the connection. @return what it has sent.
    std::string readToEnd(int descriptor) {
        std::string text;
        runUntil([&] {
            char buffer[65536];
            const auto count = recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
            if (count > 0) {
                text.append(buffer, static_cast<std::size_t>(count));
            }
            return count == 0 || (count < 0 && errno != EAGAIN);
        });
        return text;
    }

    int received = 0;
    bool reply_at_once = true;
    std::vector<std::shared_ptr<adapters::ServerExchange>> pending;
    int disconnected_clients = 0;
    adapters::SocketAddress address;
    adapters::HttpServer server{
        loop, adapters::HttpLimits{1024, 4096}, 1s,
        [this](const HttpRequest&, const std::shared_ptr<adapters::ServerExchange>& server_exchange) {
            ++received;
            if (reply_at_once) {
                HttpResponse response;
                response.status = 200;
                server_exchange->reply(response);
                return;
            }
            server_exchange->onClientDisconnected([this] { ++disconnected_clients; });
            pending.push_back(server_exchange);
        }};
};

HttpResponse okResponse(const std::string& body) {
    HttpResponse response;
    response.status = 200;
    response.body = body;
    return response;
}

std::size_t countOf(const std::string& part, const std::string& text) {
    std::size_t count = 0;
    for (auto found = text.find(part); found != std::string::npos; found = text.find(part, found + part.size())) {
        ++count;
    }
    return count;
}

struct RequestCase {
    const char* name;
    std::string request;
    const char* status;  ///< Expected in the status line. Empty: closed without a response.
    int expected_requests;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(contract_http_server, ServerFixture)

BOOST_AUTO_TEST_CASE(invalid_requests_are_rejected_and_never_handled) {
    const std::string long_header(2000, 'a');
    const RequestCase cases[] = {
        {"good", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "200", 1},
        {"not HTTP", "hello\r\n\r\n", "400", 0},
        {"header without a colon", "GET / HTTP/1.1\r\nbroken\r\n\r\n", "400", 0},
        {"header too long", "GET / HTTP/1.1\r\nA: " + long_header + "\r\n\r\n", "400", 0},
        {"body too long", "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", "413", 0},
        {"length that is not a number", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400", 0},
        {"unknown method", "BREW / HTTP/1.1\r\n\r\n", "501", 0},
        {"method that is not forwarded", "TRACE / HTTP/1.1\r\nHost: a\r\n\r\n", "501", 0},
        {"no host", "GET / HTTP/1.1\r\n\r\n", "400", 0},
        {"two different lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
         "400", 0},
        {"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nabcde", "400", 0},
        {"length and chunks",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", 0},
        {"two encodings",
         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "400", 0},
        {"unknown encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400",
         0},
        {"space before the colon", "GET / HTTP/1.1\r\nHost: a\r\nB : c\r\n\r\n", "400", 0},
        {"folded line", "GET / HTTP/1.1\r\nHost: a\r\nB: c\r\n d\r\n\r\n", "400", 0},
        {"invalid character in a name", "GET / HTTP/1.1\r\nHost: a\r\nB(: c\r\n\r\n", "400", 0},
        {"control byte in a value", "GET / HTTP/1.1\r\nHost: a\r\nB: c\x01\r\n\r\n", "400", 0},
        {"lone carriage return", "GET / HTTP/1.1\r\nHost: a\rB: c\r\n\r\n", "400", 0},
        {"chunk size that is not a number", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
         "400", 0},
        {"slow client", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", "", 0},
    };
    for (const auto& entry : cases) {
        received = 0;
        const auto line = exchange(entry.request);
        BOOST_TEST(line.find(entry.status) != std::string::npos, entry.name << ": " << line);
        BOOST_TEST(received == entry.expected_requests, entry.name);
    }
}

/// Guards against connections that keep the limits which were in force when they were opened.
BOOST_AUTO_TEST_CASE(a_request_goes_by_the_limits_in_force_when_it_begins) {
    const auto post = [](std::size_t size) {
        return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
               std::string(size, 'x');
    };
    const auto sendOn = [this](int descriptor, const std::string& bytes) {
        BOOST_REQUIRE(write(descriptor, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
        std::string response;
        runUntil([&] {
            char buffer[4096];
            const auto count = recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
            response.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
            return count == 0 || response.find("\r\n\r\n") != std::string::npos;
        });
        return response.substr(0, response.find("\r\n"));
    };
    const adapters::ServerTimeouts timeouts{1s, 1s};
    const int raised = connect();
    const int lowered = connect();
    const int begun = connect();
    BOOST_TEST(sendOn(raised, post(10)) == "HTTP/1.1 200 OK");
    BOOST_TEST(sendOn(lowered, post(10)) == "HTTP/1.1 200 OK");
    server.setLimits({1024, 8192}, timeouts);
    BOOST_TEST(sendOn(raised, post(8000)) == "HTTP/1.1 200 OK");
    const auto under_way = post(8000);
    BOOST_REQUIRE(write(begun, under_way.data(), 4000) == 4000);
    runFor(50ms);
    server.setLimits({1024, 100}, timeouts);
    BOOST_TEST(sendOn(begun, under_way.substr(4000)) == "HTTP/1.1 200 OK");
    BOOST_TEST(sendOn(lowered, post(200)) == "HTTP/1.1 413 Payload Too Large");
    for (const int descriptor : {raised, lowered, begun}) {
        close(descriptor);
    }
}

/// Guards against an idle connection that keeps the idle time which was in force when it became idle.
BOOST_AUTO_TEST_CASE(an_idle_connection_goes_by_the_idle_time_in_force) {
    server.setLimits({1024, 4096}, {1s, 2 * tests::kWaitLimit});
    const int descriptor = connect();
    runFor(50ms);
    server.setLimits({1024, 4096}, {1s, 100ms});
    BOOST_TEST(readToEnd(descriptor).empty());  // Fails if it is still open after kWaitLimit.
    close(descriptor);
}

BOOST_AUTO_TEST_CASE(a_client_disconnect_is_detected_before_the_response) {
    reply_at_once = false;
    const int descriptor = connect();
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(write(descriptor, request.data(), request.size()) > 0);
    runUntil([&] { return received == 1; });
    close(descriptor);
    runUntil([&] { return disconnected_clients == 1; });
    pending.front()->reply(HttpResponse{});  // Ignored: the client has disconnected.
}

BOOST_AUTO_TEST_CASE(pipelined_requests_get_their_responses_in_order) {
    reply_at_once = false;
    const int descriptor = connect();
    const std::string requests = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(write(descriptor, requests.data(), requests.size()) > 0);
    runUntil([&] { return received == 2; });
    for (const int index : {1, 0}) {
        HttpResponse response;
        response.status = 200;
        response.body = index == 0 ? "first" : "second";
        pending[static_cast<std::size_t>(index)]->reply(response);
    }
    std::string text;
    runUntil([&] {
        char buffer[4096];
        const auto count = recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count > 0) {
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text.find("second") != std::string::npos;
    });
    BOOST_TEST(text.find("first") < text.find("second"));
    close(descriptor);
}

BOOST_AUTO_TEST_CASE(a_client_disconnect_is_detected_behind_pending_pipelined_requests) {
    reply_at_once = false;
    const int descriptor = connect();
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::string many;
    for (int count = 0; count < 40; ++count) {
        many += request;
    }
    BOOST_REQUIRE(write(descriptor, many.data(), many.size()) > 0);
    runUntil([&] { return received > 1; });
    close(descriptor);
    runUntil([&] { return disconnected_clients == received; });
}

BOOST_AUTO_TEST_CASE(idle_connections_are_closed_and_busy_ones_are_not) {
    reply_at_once = false;
    const int idle = connect();
    const int busy = connect();
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(write(busy, request.data(), request.size()) > 0);
    runUntil([&] { return received == 1 && server.openConnections() == 2; });
    server.closeIdleConnections();
    char byte = 0;
    runUntil([&] { return recv(idle, &byte, 1, MSG_DONTWAIT) == 0; });
    BOOST_TEST(server.openConnections() == 1U);
    HttpResponse response;
    response.status = 200;
    pending.front()->reply(response);
    runUntil([&] { return recv(busy, &byte, 1, MSG_DONTWAIT) == 1; });
    close(idle);
    close(busy);
}

/// Guards against a reset of requests that have arrived when the server closes its idle connections, since the loop has
/// not come to read them: on a kept connection, on one that was not accepted yet, and behind a first part.
BOOST_AUTO_TEST_CASE(requests_that_have_arrived_are_taken_before_idle_connections_close) {
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    const std::string part = request.substr(0, 30);
    const int kept = connect();
    const int divided = connect();
    BOOST_REQUIRE(write(divided, part.data(), part.size()) > 0);
    runUntil([&] { return server.openConnections() == 2; });
    runFor(50ms);
    const int fresh = connect();
    BOOST_REQUIRE(write(kept, request.data(), request.size()) > 0);
    BOOST_REQUIRE(write(divided, request.data() + part.size(), request.size() - part.size()) > 0);
    BOOST_REQUIRE(write(fresh, request.data(), request.size()) > 0);
    server.stopAccepting();
    server.closeIdleConnections();
    for (const int descriptor : {kept, divided, fresh}) {
        const auto text = readToEnd(descriptor);
        BOOST_TEST(countOf("200 OK", text) == 1U, text);
        BOOST_TEST(countOf("Connection: close", text) == 1U, text);
        close(descriptor);
    }
    BOOST_TEST(received == 3);
    runUntil([&] { return server.openConnections() == 0; });
}

/// Guards against a header timeout that cuts the response owed to an earlier request of the connection.
BOOST_AUTO_TEST_CASE(a_header_timeout_leaves_the_responses_to_earlier_requests) {
    reply_at_once = false;
    const std::string requests = "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHo";
    const int descriptor = connect();
    BOOST_REQUIRE(write(descriptor, requests.data(), requests.size()) > 0);
    runUntil([&] { return received == 1; });
    runFor(1500ms);  // Longer than the header timeout.
    BOOST_TEST(disconnected_clients == 0);
    pending.front()->reply(okResponse("done"));
    const auto text = readToEnd(descriptor);
    BOOST_TEST(countOf("200 OK", text) == 1U, text);
    BOOST_TEST(countOf("Connection: close", text) == 1U, text);
    close(descriptor);
}

/// Guards against a stop that takes requests up to its end from a connection that always has one at work, and then cuts
/// them: a connection that is closing takes no request behind a pending one, and its last response closes it.
BOOST_AUTO_TEST_CASE(a_stopping_server_takes_no_request_behind_a_pending_one) {
    reply_at_once = false;
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string part = "GET / HTTP/1.1\r\nHo";
    const int descriptor = connect();
    BOOST_REQUIRE(write(descriptor, (request + request + part).data(), 2 * request.size() + part.size()) > 0);
    runUntil([&] { return received == 2; });
    server.closeAfterResponses();
    const std::string rest = request.substr(part.size()) + request;
    BOOST_REQUIRE(write(descriptor, rest.data(), rest.size()) > 0);
    runFor(100ms);
    BOOST_TEST(received == 2);
    for (const auto& exchange : pending) {
        exchange->reply(okResponse("done"));
    }
    const auto text = readToEnd(descriptor);
    BOOST_TEST(countOf("200 OK", text) == 2U, text);
    BOOST_TEST(countOf("Connection: close", text) == 1U, text);
    BOOST_TEST(text.rfind("Connection: close") > text.rfind("200 OK"), text);
    BOOST_TEST(received == 2);
    close(descriptor);
}

/// Guards against a stop that leaves the requests of idle and of new connections unanswered while it still takes them.
BOOST_AUTO_TEST_CASE(a_stopping_server_takes_one_more_request_of_each_idle_connection) {
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const int idle = connect();
    runUntil([&] { return server.openConnections() == 1; });
    server.closeAfterResponses();
    const int fresh = connect();
    for (const int descriptor : {idle, fresh}) {
        BOOST_REQUIRE(write(descriptor, (request + request).data(), 2 * request.size()) > 0);
        BOOST_TEST(countOf("200 OK", readToEnd(descriptor)) == 1U);
        close(descriptor);
    }
    BOOST_TEST(received == 2);
}

// Clients that read slowly ------------------------------------------------------

/// Guards against a response that ends early since its connection is closed some time after the response was queued: by
/// the idle timeout, or by the timeout of a connection that closes.
BOOST_AUTO_TEST_CASE(a_connection_stays_open_while_its_client_reads) {
    reply_at_once = false;
    for (const bool is_stopping : {false, true}) {
        const int descriptor = requestLargeBody();
        if (is_stopping) {
            server.closeAfterResponses();
        }
        pending.back()->reply(okResponse(std::string(kLargeBody, 'x')));
        BOOST_TEST(readSlowly(descriptor, kReadTime) >= kLargeBody, (is_stopping ? "stopping" : "kept"));
        close(descriptor);
    }
}

/// Guards against a stop that takes a response for delivered once it is queued, and against one that takes requests
/// meanwhile.
BOOST_AUTO_TEST_CASE(a_response_counts_as_delivered_when_the_client_has_it) {
    reply_at_once = false;
    BOOST_TEST(server.hasDeliveredAll());
    const int descriptor = requestLargeBody();
    BOOST_TEST(!server.hasDeliveredAll());
    pending.back()->reply(okResponse(std::string(kLargeBody, 'x')));
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(write(descriptor, request.data(), request.size()) > 0);
    server.closeIdleConnections();
    BOOST_TEST(!server.hasDeliveredAll());
    BOOST_TEST(readSlowly(descriptor, 200ms) >= kLargeBody);
    runUntil([&] { return server.hasDeliveredAll(); });
    BOOST_TEST(received == 1);
    close(descriptor);
    runUntil([&] { return server.openConnections() == 0; });
}

/// Guards against a stop that lasts up to its limit since there is always one client that has not received its
/// response.
BOOST_AUTO_TEST_CASE(later_requests_do_not_hold_up_the_deliveries_of_a_stop) {
    reply_at_once = false;
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const int first = connect();
    BOOST_REQUIRE(write(first, request.data(), request.size()) > 0);
    runUntil([&] { return received == 1; });
    server.closeAfterPresentResponses();
    const int later = connect();
    BOOST_REQUIRE(write(later, request.data(), request.size()) > 0);
    runUntil([&] { return received == 2; });
    BOOST_TEST(!server.hasDeliveredAll());
    pending.front()->reply(okResponse("done"));
    runUntil([&] { return server.hasDeliveredAll(); });
    BOOST_TEST(countOf("Connection: close", readToEnd(first)) == 1U);
    pending.back()->reply(okResponse("done"));
    BOOST_TEST(countOf("Connection: close", readToEnd(later)) == 1U);
    close(first);
    close(later);
    runUntil([&] { return server.openConnections() == 0; });
    BOOST_TEST(server.hasDeliveredAll());
}

BOOST_AUTO_TEST_CASE(a_stopping_server_closes_after_the_response_and_accepts_no_connection) {
    reply_at_once = false;
    const int descriptor = connect();
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    BOOST_REQUIRE(write(descriptor, request.data(), request.size()) > 0);
    runUntil([&] { return received == 1; });
    server.stopAccepting();
    HttpResponse response;
    response.status = 200;
    pending.front()->reply(response);
    std::string text;
    runUntil([&] {
        char buffer[4096];
        const auto count = recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count > 0) {
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return count == 0;
    });
    close(descriptor);
    BOOST_TEST(text.find("Connection: close") != std::string::npos, text);
    const int second = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    BOOST_TEST(::connect(second, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0);
    close(second);
}

BOOST_AUTO_TEST_SUITE_END()
