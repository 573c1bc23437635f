/// Responses without end take a bounded part of a node's memory in sum, and other requests are served beside them.

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <vector>

#include "src/adapters/http_client.h"
#include "tests/contract/loop_fixture.h"
#include "tests/contract/raw_server.h"

using namespace dewcrank;

namespace {

constexpr std::size_t kBodyLimit = std::size_t{1024} * 1024;
constexpr std::size_t kBudget = std::size_t{512} * 1024;
constexpr std::size_t kReadChunk = std::size_t{16} * 1024;  ///< Of one connection, which may come before it is paused.
constexpr std::size_t kSenders = 12;
constexpr Duration kTimeout = 5s;
/// One response beyond the budget, and what each sender has sent before it counts and can be paused.
constexpr std::size_t kBound = kBudget + kBodyLimit + kSenders * (adapters::BufferBudget::kMinCounted + kReadChunk);

/// Sends body bytes to each client until it closes the connection.
class EndlessServer {
public:
    explicit EndlessServer(adapters::EventLoop& loop) : loop_(loop) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(loop.base(), &EndlessServer::onAccept, this, LEV_OPT_CLOSE_ON_FREE, 16,
                                            reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t length = sizeof address;
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&address), &length);
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
    ~EndlessServer() {
        evconnlistener_free(listener_);
        for (auto* stream : streams_) {
            bufferevent_free(stream);
        }
    }
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;
    [[nodiscard]] const std::string& address() const { return address_; }

private:
    static void onAccept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self) {
        auto* server = static_cast<EndlessServer*>(self);
        auto* stream = bufferevent_socket_new(server->loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(stream, nullptr, &EndlessServer::onWritten, nullptr, server);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        server->streams_.push_back(stream);
        const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        bufferevent_write(stream, head.data(), head.size());
    }
    static void onWritten(bufferevent* stream, void*) {
        static const std::string chunk = "2000\r\n" + std::string(0x2000, 'x') + "\r\n";
        bufferevent_write(stream, chunk.data(), chunk.size());
    }

    adapters::EventLoop& loop_;
    evconnlistener* listener_;
    std::string address_;
    std::vector<bufferevent*> streams_;
};

struct EndlessFixture : tests::LoopFixture {
    /// Calls all senders at once. @return the most bytes held at a time.
    std::size_t play(std::size_t limit) {
        adapters::BufferBudget budget(limit);
        adapters::ClientOptions options;
        options.budget = &budget;
        adapters::HttpClient client(loop, adapters::HttpLimits{4096, kBodyLimit}, options);
        EndlessServer server(loop);
        tests::RawServer sound(loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
        std::vector<AttemptHandle> attempts;
        reasons.clear();
        for (std::size_t sender = 0; sender < kSenders; ++sender) {
            attempts.push_back(client.send(server.address(), get(), kTimeout,
                                           [this](const AttemptResult& result) { reasons.push_back(result.reason); }));
        }
        std::size_t peak = 0;
        int served = 0;
        AttemptHandle small;
        const auto began = loop.now();
        while (reasons.size() < kSenders) {
            BOOST_REQUIRE(loop.now() - began < 2 * kTimeout);
            if (small == nullptr) {
                small = client.send(sound.address(), get(), kTimeout, [&](const AttemptResult& result) {
                    served += result.outcome == AttemptOutcome::kResponded ? 1 : 0;
                    is_small_ended = true;
                });
            }
            const auto timer = loop.startTimer(1ms, [this] { loop.stop(); });
            loop.run();
            peak = std::max(peak, budget.held());
            if (is_small_ended) {
                small.reset();
                is_small_ended = false;
            }
        }
        BOOST_TEST(served > 0);
        BOOST_TEST(budget.held() == 0U);
        return peak;
    }
    static HttpRequest get() {
        HttpRequest request;
        request.method = "GET";
        request.path = "/x";
        return request;
    }
    std::vector<std::string> reasons;
    bool is_small_ended = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(contract_endless_responses, EndlessFixture)

/// Guards against several responses without end that together take more memory than the machine has.
BOOST_AUTO_TEST_CASE(responses_without_end_are_held_within_the_budget_and_one_response) {
    BOOST_TEST(play(kBudget) <= kBound);
    for (const auto& reason : reasons) {
        BOOST_TEST((reason == "answer-too-large" || reason == kTimedOut), reason);
    }
}

/// Shows that the test fails without the budget.
BOOST_AUTO_TEST_CASE(without_a_budget_their_sum_is_that_of_all) {
    BOOST_TEST(play(std::numeric_limits<std::size_t>::max()) > kBound);
}

BOOST_AUTO_TEST_SUITE_END()
