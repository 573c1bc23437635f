/// Connections of a server that end before the client has the response are reported.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/adapters/http_server.h"
#include "tests/contract/loop_fixture.h"

using namespace dewcrank;
using adapters::CutReason;

namespace {

constexpr std::size_t kLargeBody = std::size_t{12} * 1024 * 1024;  ///< More than the buffers of both sockets.
constexpr int kReceiveBuffer = 64 * 1024;

struct RecordedCut {
    std::string request_id;
    adapters::ResponseCut cut;
};

struct CutFixture : tests::LoopFixture {
    CutFixture() {
        server.observeCuts("X-Request-Id", [this](const adapters::ResponseCut& cut) {
            cuts.push_back({std::string(cut.request_id), cut});
        });
        runOrReport(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(address, server.listen({"127.0.0.1", 0}));
                return {};
            },
            [](const StepError& error) { BOOST_FAIL(error.text()); });
    }
    ~CutFixture() {
        if (client >= 0) {
            close(client);
        }
    }
    CutFixture(const CutFixture&) = delete;
    CutFixture& operator=(const CutFixture&) = delete;

    void connect() {
        client = socket(AF_INET, SOCK_STREAM, 0);
        setsockopt(client, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
        BOOST_REQUIRE(::connect(client, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0);
    }
    /// Sends the bytes on a new connection, and waits until the handler has `requests` requests.
    void send(const std::string& bytes, std::size_t requests) {
        connect();
        sendMore(bytes, requests);
    }
    void sendMore(const std::string& bytes, std::size_t requests) {
        BOOST_REQUIRE(write(client, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
        runUntil([&] { return pending.size() == requests; });
    }
    /// Reads until `bytes` bytes have come.
    void read(std::size_t bytes) {
        std::size_t total = 0;
        runUntil([&] {
            char buffer[65536];
            const auto count = recv(client, buffer, std::min(sizeof buffer, bytes - total), MSG_DONTWAIT);
            total += count > 0 ? static_cast<std::size_t>(count) : 0;
            return total == bytes;
        });
    }
    /// Closes the client's socket. @param is_reset sends a reset instead of an orderly end.
    void closeClient(bool is_reset = false) {
        if (is_reset) {
            const linger now{1, 0};
            setsockopt(client, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        close(std::exchange(client, -1));
        runUntil([&] { return server.openConnections() == 0; });
    }
    static std::string request(const std::string& id) {
        return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nX-Request-Id: " + id + "\r\n\r\nab";
    }
    void reply(std::size_t index, const std::string& body) {
        HttpResponse response;
        response.status = 200;
        response.body = body;
        pending[index]->reply(response);
    }

    int client = -1;
    std::vector<RecordedCut> cuts;
    std::vector<std::shared_ptr<adapters::ServerExchange>> pending;
    adapters::SocketAddress address;
    adapters::HttpServer server{loop, adapters::HttpLimits{1024, 4096}, 1s,
                                [this](const HttpRequest&, const std::shared_ptr<adapters::ServerExchange>& exchange) {
                                    pending.push_back(exchange);
                                }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(contract_response_cut, CutFixture)

/// Guards against a client that leaves during its request without a record.
BOOST_AUTO_TEST_CASE(a_client_that_leaves_while_its_request_is_at_work_is_reported) {
    send(request("r1"), 1);
    sockaddr_in own{};
    socklen_t length = sizeof own;
    getsockname(client, reinterpret_cast<sockaddr*>(&own), &length);
    closeClient();
    BOOST_REQUIRE(cuts.size() == 1U);
    BOOST_TEST(cuts[0].request_id == "r1");
    BOOST_TEST(!cuts[0].cut.is_queued);
    BOOST_TEST(cuts[0].cut.total == 0U);
    BOOST_TEST((cuts[0].cut.reason == CutReason::kPeerClosed));
    BOOST_TEST(adapters::peerText(cuts[0].cut) == "127.0.0.1:" + std::to_string(ntohs(own.sin_port)));
}

/// Guards against a reset whose record does not say how much of the response the client has.
BOOST_AUTO_TEST_CASE(a_reset_during_a_response_is_reported_with_the_bytes_delivered) {
    send(request("r1"), 1);
    reply(0, std::string(kLargeBody, 'x'));
    read(100000);
    closeClient(true);
    BOOST_REQUIRE(cuts.size() == 1U);
    BOOST_TEST(cuts[0].cut.is_queued);
    BOOST_TEST(cuts[0].cut.delivered >= 100000U);
    BOOST_TEST(cuts[0].cut.delivered < kLargeBody);
    BOOST_TEST(cuts[0].cut.total > kLargeBody);
    BOOST_TEST((cuts[0].cut.reason == CutReason::kReset));
}

/// Guards against a stop that cuts what it has queued, and what is at work, without a record.
BOOST_AUTO_TEST_CASE(closing_all_connections_reports_what_is_owed_and_what_is_not_delivered) {
    send(request("r1") + request("r2") + request("r3"), 3);
    reply(0, std::string(kLargeBody, 'x'));
    reply(2, "third");
    read(100000);
    server.closeAll(CutReason::kStopLimit);
    BOOST_REQUIRE(cuts.size() == 3U);
    BOOST_TEST(cuts[0].request_id == "r1");
    BOOST_TEST(cuts[0].cut.is_queued);
    BOOST_TEST(cuts[0].cut.delivered >= 100000U);
    BOOST_TEST(cuts[0].cut.delivered < kLargeBody);
    BOOST_TEST(cuts[1].request_id == "r2");
    BOOST_TEST(!cuts[1].cut.is_queued);
    BOOST_TEST(cuts[2].request_id == "r3");
    BOOST_TEST(cuts[2].cut.is_queued);
    BOOST_TEST(cuts[2].cut.delivered == 0U);
    for (const auto& it : cuts) {
        BOOST_TEST((it.cut.reason == CutReason::kStopLimit));
    }
}

/// Guards against reports of responses that their clients have: on a connection that is kept, on one that carried
/// others before, and on one that the server closes, whose FIN is not acknowledged yet.
BOOST_AUTO_TEST_CASE(delivered_responses_are_not_reported) {
    send(request("r1"), 1);
    for (std::size_t index = 0; index < 40; ++index) {
        reply(index, "done");
        sendMore(request("r" + std::to_string(index + 2)), index + 2);
    }
    server.closeAfterResponses();
    reply(40, "done");
    runUntil([&] { return server.hasDeliveredAll(); });
    server.closeAll(CutReason::kStopLimit);
    BOOST_TEST(cuts.empty());
    close(client);
    connect();
    runUntil([&] { return server.openConnections() == 1; });
    closeClient(true);
    BOOST_TEST(cuts.empty());
}

/// Guards against a response that is cut by the timeout of a request behind it, and against a report of one that is
/// not.
BOOST_AUTO_TEST_CASE(a_timeout_of_the_next_request_cuts_no_response) {
    send(request("r1") + "GET / HTTP/1.1\r\nHo", 1);
    runFor(1500ms);  // Longer than the header timeout.
    BOOST_TEST(server.openConnections() == 1U);
    reply(0, "done");
    std::string text;
    runUntil([&] {
        char buffer[1024];
        const auto count = recv(client, buffer, sizeof buffer, MSG_DONTWAIT);
        text.append(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
        return text.ends_with("done");
    });
    closeClient();
    BOOST_TEST(cuts.empty());
}

/// Guards against reports that cannot be joined with other records, such as those of gossip between nodes.
BOOST_AUTO_TEST_CASE(requests_without_an_id_are_not_reported) {
    send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1);
    closeClient();
    BOOST_TEST(cuts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
