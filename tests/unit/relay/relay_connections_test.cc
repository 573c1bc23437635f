/// Connections to the instance that cannot be opened: what becomes of the requests, and of the instance's state.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/relay/relay_service.h"
#include "tests/support/fakes.h"

using namespace dewcrank;
using relay::RelayReason;

namespace {

/// Holds requests until a test ends them, in order of their arrival.
class HeldInstance : public HttpTransport {
public:
    AttemptHandle send(const std::string&, HttpRequest request, Duration, Callback callback) override {
        held.push_back({std::move(request), std::move(callback)});
        return std::make_unique<Attempt>();
    }
    void closeIdleConnections(const std::string&, Duration min_idle_time) override { closed.push_back(min_idle_time); }
    /// The next request got no connection. A time-out is reported as kTimedOut.
    void refuse(const std::string& reason = "connect-failed") { refuse(take(), reason); }
    /// The request that was sent last got no connection.
    void refuseLast() {
        auto last = std::move(held.back());
        held.pop_back();
        refuse(std::move(last), "connect-failed");
    }
    void respond() {
        AttemptResult result;
        result.outcome = AttemptOutcome::kResponded;
        result.response.status = 500;
        take().callback(std::move(result));
    }
    void reset() {
        AttemptResult result;
        result.outcome = AttemptOutcome::kUnknown;
        result.reason = kConnectionReset;
        take().callback(std::move(result));
    }
    [[nodiscard]] std::vector<std::string> paths() const {
        std::vector<std::string> all;
        for (const auto& it : held) {
            all.push_back(it.request.path);
        }
        return all;
    }
    std::vector<Duration> closed;  ///< Least idle times of the connections that were closed.

private:
    struct Held {
        HttpRequest request;
        Callback callback;
    };
    static void refuse(Held request, const std::string& reason) {
        AttemptResult result;
        result.reason = reason;
        result.unsent = std::move(request.request);
        request.callback(std::move(result));
    }
    Held take() {
        auto next = std::move(held.front());
        held.erase(held.begin());
        return next;
    }
    std::vector<Held> held;
};

struct ConnectionsFixture {
    ConnectionsFixture() {
        time.advance(1s);
        beat(1);
    }
    void beat(std::uint64_t sequence) {
        instance::Heartbeat heartbeat;
        heartbeat.id = "i1";
        heartbeat.slots = 20;
        heartbeat.sequence = sequence;
        local.onHeartbeat(heartbeat);
        time.advance(1ms);
    }
    void start(const std::string& path, Duration time_limit = 2s) {
        relay::RelayRequest request;
        request.request.path = path;
        request.instance = local.record().id();
        request.deadline = time.clock.now() + time_limit;
        request.max_wait = time_limit;
        request.is_only_candidate = is_only_candidate;
        request.is_last_candidate = is_only_candidate;
        relay.start(std::move(request), [this](const relay::RelayResult& result) { results.push_back(result); });
        time.advance(1ms);
    }
    void refuse() {
        instances.refuse();
        time.advance(1ms);
    }
    void respond() {
        instances.respond();
        time.advance(1ms);
    }
    /// The instance refuses all further connections for some time; one request runs.
    void refuseFor(Duration duration) {
        for (const auto end = time.clock.now() + duration; time.clock.now() < end; time.advance(1ms)) {
            if (instances.paths().size() > 1) {
                instances.refuseLast();
            }
        }
    }
    /// Takes the instance out of service by a refused connection while nothing else runs.
    void makeUnknown() {
        start("/first");
        refuse();
        results.clear();
        BOOST_REQUIRE(!local.isReady());
    }
    tests::VirtualTime time;
    tests::RecordingLog log;
    HeldInstance instances;
    instance::LocalInstance local{time.clock, 8s};
    quarantine::Quarantine quarantine{time.clock, {}};
    const HeaderNames names;
    relay::RelayService relay{
        time.clock, log, instances, local, quarantine, names, "i:1", [](const std::string&) { return 0.0; }, {}};
    std::vector<relay::RelayResult> results;
    bool is_only_candidate = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_relay_connections, ConnectionsFixture)

/// Guards against a refused connection that fails its request and takes the instance out of service.
BOOST_AUTO_TEST_CASE(a_request_without_a_connection_is_sent_on_the_next_free_one) {
    start("/a");
    start("/b");
    start("/c");
    respond();
    refuse();  // "/b", while "/c" runs.
    BOOST_TEST(local.isReady());
    BOOST_TEST(results.size() == 1U);
    BOOST_TEST(instances.paths() == std::vector<std::string>{"/c"}, boost::test_tools::per_element());
    BOOST_TEST(relay.load().limit == 1U);
    BOOST_TEST(relay.load().waiting == 1U);
    respond();
    BOOST_TEST(instances.paths() == std::vector<std::string>{"/b"}, boost::test_tools::per_element());
    respond();
    BOOST_TEST(results.size() == 3U);
    BOOST_TEST(results.back().was_sent);
    BOOST_TEST(relay.sendTotals().first_attempts == 3U);  // "/b" counts once.
}

/// Guards against a request that waits for a connection for longer than it may wait for a slot.
BOOST_AUTO_TEST_CASE(a_request_without_a_connection_keeps_its_time_limit) {
    start("/a", 300ms);
    start("/c");
    refuse();
    refuseFor(100ms);
    beat(2);  // Shows that the instance is up.
    refuseFor(185ms);
    BOOST_TEST(results.empty());
    refuseFor(20ms);
    BOOST_TEST(local.isReady());
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0].reason == RelayReason::kQueueTimeout));
    BOOST_TEST(!results[0].was_sent);
}

/// Guards against a limit that stays after the instance accepts connections again.
BOOST_AUTO_TEST_CASE(the_limit_rises_to_the_slots_while_no_connection_is_refused) {
    start("/a");
    start("/b");
    start("/c");
    respond();
    refuse();
    BOOST_TEST(relay.load().limit == 1U);
    time.advance(400ms);
    BOOST_TEST(relay.load().limit == 19U);
}

/// A crash of an idle instance is detected by its first refused connection; the request is not held back.
BOOST_AUTO_TEST_CASE(an_instance_without_runs_that_refuses_is_unknown_at_once) {
    start("/a");
    refuse();
    BOOST_TEST(!local.isReady());
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0].reason == RelayReason::kNotConnected));
    BOOST_TEST(!results[0].was_sent);
    BOOST_TEST((instances.closed.back() == Duration::zero()));
}

/// Guards against requests that wait for a connection to an instance that is down.
BOOST_AUTO_TEST_CASE(all_requests_without_a_connection_are_rejected_when_the_last_one_is_refused) {
    start("/a");
    start("/b");
    start("/c");
    refuse();
    refuse();
    BOOST_TEST(local.isReady());
    refuse();
    BOOST_TEST(!local.isReady());
    BOOST_REQUIRE(results.size() == 3U);
    for (const auto& result : results) {
        BOOST_TEST((result.reason == RelayReason::kNotConnected));
    }
}

/// Guards against runs without a response that keep a dead instance in service.
BOOST_AUTO_TEST_CASE(an_instance_that_answers_nothing_after_a_refusal_is_unknown_within_300_ms) {
    start("/a");
    respond();
    start("/b");
    start("/c");
    time.advance(10ms);
    instances.refuse();  // "/b"; "/c" never ends.
    refuseFor(290ms);
    BOOST_TEST(!local.isReady());
    BOOST_REQUIRE(results.size() == 2U);
    BOOST_TEST((results.back().reason == RelayReason::kNotConnected));
}

/// A host without power answers nothing: the first connection that times out shows it.
BOOST_AUTO_TEST_CASE(an_instance_on_a_dark_host_is_unknown_after_one_time_out) {
    start("/a");
    start("/b");
    time.advance(kConnectTimeout);
    instances.refuse(std::string(kTimedOut));
    time.advance(1ms);
    BOOST_TEST(!local.isReady());
    BOOST_TEST((results.at(0).reason == RelayReason::kNotConnected));
}

/// Guards against an instance that is up, but in no use until its next heartbeat.
BOOST_AUTO_TEST_CASE(two_probes_at_a_time_find_out_whether_an_unknown_instance_is_up) {
    makeUnknown();
    start("/not-a-probe");
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0].reason == RelayReason::kDraining));
    is_only_candidate = true;
    start("/a");
    start("/b");
    start("/c");
    BOOST_TEST(instances.paths() == (std::vector<std::string>{"/a", "/b"}), boost::test_tools::per_element());
    BOOST_REQUIRE(results.size() == 2U);
    BOOST_TEST((results[1].reason == RelayReason::kDraining));
    respond();
    BOOST_TEST(local.isReady());
}

/// A probe that gets no connection is rejected at once, so that its entry can try another instance.
BOOST_AUTO_TEST_CASE(a_probe_that_is_refused_does_not_wait) {
    makeUnknown();
    is_only_candidate = true;
    start("/a");
    start("/b");
    refuse();
    refuse();
    BOOST_REQUIRE(results.size() == 2U);
    BOOST_TEST((results[0].reason == RelayReason::kNotConnected));
    start("/c");
    BOOST_TEST(instances.paths() == std::vector<std::string>{"/c"}, boost::test_tools::per_element());
}

/// Guards against all waiting requests opening connections to an instance that has just returned.
BOOST_AUTO_TEST_CASE(an_instance_that_returns_gets_a_few_requests_and_more_with_each_response) {
    makeUnknown();
    beat(2);
    for (int number = 0; number < 12; ++number) {
        start("/a");
    }
    BOOST_TEST(relay.load().running == 4U);
    respond();
    BOOST_TEST(relay.load().running == 5U);
    respond();
    BOOST_TEST(relay.load().running == 6U);
    for (int number = 0; number < 10; ++number) {
        respond();
        start("/a");
    }
    BOOST_TEST(relay.load().limit == 16U);
}

/// Guards against entries that go on admitting call trees which need a service without a running instance.
BOOST_AUTO_TEST_CASE(a_relay_whose_instance_is_down_reports_demand_and_almost_no_capacity) {
    makeUnknown();
    is_only_candidate = true;
    for (int number = 0; number < 100; ++number) {
        start("/a");
        time.advance(4ms);
    }
    const auto load = relay.serviceLoad();
    BOOST_TEST(load.demand > 5);
    BOOST_TEST(load.admitRatio() < 0.06);
    BOOST_TEST(load.admitRatio() > 0.04);
}

/// Demand that is reported by an instance that is down would count twice, since its requests go to other instances.
BOOST_AUTO_TEST_CASE(requests_that_other_relays_may_accept_are_no_demand_for_an_instance_that_is_down) {
    makeUnknown();
    for (int number = 0; number < 100; ++number) {
        start("/a");
    }
    BOOST_TEST(relay.serviceLoad().demand == 0);
}

/// Guards against lost responses that count as refused connections: an instance that runs a request and then resets the
/// connection has lost its response only, and its slots are as free as before.
BOOST_AUTO_TEST_CASE(a_connection_that_is_reset_after_the_request_leaves_the_limit) {
    start("/a");
    start("/b");
    start("/c");
    start("/d");
    instances.reset();
    time.advance(20ms);  // The crash detector has decided by then: one of four is no crash.
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(results[0].was_sent);
    BOOST_TEST(local.isReady());
    BOOST_TEST(relay.load().limit == 19U);
}

BOOST_AUTO_TEST_SUITE_END()
