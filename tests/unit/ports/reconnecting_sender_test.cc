#include "src/ports/reconnecting_sender.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

/// A request that a test completes.
class TestedAttempt : public Attempt {
public:
    explicit TestedAttempt(const bool& is_unacknowledged) : is_unacknowledged_(is_unacknowledged) {}
    [[nodiscard]] bool isUnacknowledged() const override { return is_unacknowledged_; }

private:
    const bool& is_unacknowledged_;
};

/// Records requests.
class TestedTransport : public HttpTransport {
public:
    AttemptHandle send(const std::string&, HttpRequest, Duration timeout, Callback callback) override {
        on_idle.push_back(std::move(callback));
        timeouts.push_back(timeout);
        return std::make_unique<TestedAttempt>(is_unacknowledged);
    }
    AttemptHandle sendOnNewConnection(const std::string&, HttpRequest, Duration timeout, Callback callback) override {
        on_new.push_back(std::move(callback));
        timeouts.push_back(timeout);
        return std::make_unique<Attempt>();
    }
    [[nodiscard]] std::optional<Duration> idleTime(const std::string&) const override { return idle_time; }
    void closeIdleConnections(const std::string&, Duration min_idle_time) override { closed = min_idle_time; }

    std::optional<Duration> idle_time = 100ms;
    bool is_unacknowledged = false;
    std::vector<Callback> on_idle;
    std::vector<Callback> on_new;
    std::vector<Duration> timeouts;
    std::optional<Duration> closed;
};

AttemptResult responded(int status) {
    AttemptResult result{AttemptOutcome::kResponded, {}, ""};
    result.response.status = status;
    return result;
}

AttemptResult failed() {
    return {AttemptOutcome::kUnknown, {}, "timeout"};
}

struct SenderFixture {
    void send(Duration timeout) {
        attempt =
            sender.send("1.2.3.4:5", HttpRequest{}, timeout, [this](AttemptResult it) { result = std::move(it); });
    }

    void sendCall(bool may_run_twice, std::size_t body = 0) {
        HttpRequest request;
        request.body.assign(body, 'x');
        attempt = sender.sendCall("1.2.3.4:5", std::move(request), 5s, may_run_twice,
                                  [this](AttemptResult it) { result = std::move(it); });
    }

    tests::VirtualTime time;
    TestedTransport transport;
    ReconnectingSender sender{time.clock, transport};
    std::optional<AttemptResult> result;
    AttemptHandle attempt;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_ports_reconnecting_sender, SenderFixture)

BOOST_AUTO_TEST_CASE(a_prompt_response_needs_no_new_connection) {
    send(1s);
    time.advance(100ms);
    transport.on_idle.at(0)(responded(200));
    time.advance(2s);
    BOOST_TEST(result->response.status == 200);
    BOOST_TEST(transport.on_new.empty());
    BOOST_TEST(!transport.closed.has_value());
}

BOOST_AUTO_TEST_CASE(without_a_response_the_request_is_sent_on_a_new_connection_in_the_rest_of_its_time) {
    send(1s);
    time.advance(kReconnectTime);
    BOOST_TEST(transport.on_new.size() == 1U);
    BOOST_TEST((transport.timeouts.back() == 1s - kReconnectTime));
    time.advance(10ms);
    transport.on_new.at(0)(responded(200));
    BOOST_TEST(result->response.status == 200);
    BOOST_TEST((transport.closed == kReconnectTime + 10ms));
}

BOOST_AUTO_TEST_CASE(a_late_response_on_the_idle_connection_counts_and_closes_no_others) {
    send(300ms);
    time.advance(150ms);
    BOOST_TEST(transport.on_new.size() == 1U);
    transport.on_idle.at(0)(responded(204));
    BOOST_TEST(result->response.status == 204);
    BOOST_TEST(!transport.closed.has_value());
}

BOOST_AUTO_TEST_CASE(a_request_fails_once_both_connections_have_failed) {
    for (const bool new_fails_first : {true, false}) {
        result.reset();
        transport.on_idle.clear();
        transport.on_new.clear();
        send(1s);
        time.advance(kReconnectTime);
        auto& first = new_fails_first ? transport.on_new.at(0) : transport.on_idle.at(0);
        auto& second = new_fails_first ? transport.on_idle.at(0) : transport.on_new.at(0);
        first(failed());
        BOOST_TEST(!result.has_value());
        second(failed());
        BOOST_TEST((result->outcome == AttemptOutcome::kUnknown));
        BOOST_TEST(!transport.closed.has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_new_connection_is_not_replaced) {
    transport.idle_time.reset();
    send(1s);
    time.advance(900ms);
    BOOST_TEST(transport.on_new.empty());
    transport.on_idle.at(0)(failed());
    BOOST_TEST((result->outcome == AttemptOutcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_call_that_the_peer_has_acknowledged_is_not_sent_again) {
    sendCall(true);
    time.advance(4s);
    BOOST_TEST(transport.on_new.empty());
    BOOST_TEST(!transport.closed.has_value());
}

BOOST_AUTO_TEST_CASE(a_call_on_a_silent_connection_is_sent_again_only_if_it_may_run_twice) {
    transport.is_unacknowledged = true;
    for (const bool may_run_twice : {true, false}) {
        transport.on_new.clear();
        transport.closed.reset();
        sendCall(may_run_twice);
        time.advance(kReconnectTime);
        BOOST_TEST(transport.on_new.size() == (may_run_twice ? 1U : 0U));
        BOOST_TEST((transport.closed == kReconnectTime));
    }
}

BOOST_AUTO_TEST_CASE(a_call_that_must_not_run_twice_avoids_connections_that_were_idle_for_long) {
    transport.idle_time = kMaxUnverifiedTime + 1ms;
    sendCall(false);
    BOOST_TEST(transport.on_idle.empty());
    BOOST_TEST(transport.on_new.size() == 1U);
    sendCall(true);
    BOOST_TEST(transport.on_idle.size() == 1U);
}

/// Guards against an unknown outcome of a call that did not run, since it was sent on a connection that a stopping peer
/// closed at its end.
BOOST_AUTO_TEST_CASE(a_call_that_must_not_run_twice_reaches_a_stopping_peer_on_a_new_connection) {
    for (const bool may_run_twice : {true, false}) {
        transport.on_idle.clear();
        transport.on_new.clear();
        attempt = sender.sendCallToStopping("1.2.3.4:5", HttpRequest{}, 5s, may_run_twice,
                                            [this](AttemptResult it) { result = std::move(it); });
        BOOST_TEST(transport.on_idle.size() == (may_run_twice ? 1U : 0U));
        BOOST_TEST(transport.on_new.size() == (may_run_twice ? 0U : 1U));
    }
}

BOOST_AUTO_TEST_CASE(a_call_with_a_large_body_is_not_kept_for_a_second_try) {
    transport.is_unacknowledged = true;
    sendCall(true, 1'000'000);
    time.advance(kReconnectTime);
    BOOST_TEST(transport.on_new.empty());
}

BOOST_AUTO_TEST_SUITE_END()
