#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/decision/retry_budget.h"
#include "src/relay/instance_queue.h"
#include "src/relay/internal_route_detector.h"
#include "src/relay/relay_service.h"
#include "src/relay/relay_wire.h"
#include "tests/support/fakes.h"

using namespace dewcrank;
using relay::InstanceQueue;

BOOST_AUTO_TEST_SUITE(unit_relay)

BOOST_AUTO_TEST_CASE(a_queue_never_admits_more_than_its_limit_and_admits_the_most_urgent_first) {
    tests::VirtualTime time;
    InstanceQueue queue(time.clock, {});
    queue.setLimit(2);
    std::vector<int> admitted;
    const auto enter = [&](int number, Duration order) {
        const auto now = time.clock.now();
        queue.enter({now + order, now + 10s}, [&admitted, number](InstanceQueue::Decision decision) {
            if (decision == InstanceQueue::Decision::kAdmitted) {
                admitted.push_back(number);
            }
        });
    };
    enter(1, 1s);
    enter(2, 1s);
    enter(3, 3s);
    enter(4, 1s);
    enter(5, 2s);
    BOOST_TEST(admitted == (std::vector<int>{1, 2}), boost::test_tools::per_element());
    queue.leave(50ms);
    queue.leave(50ms);
    queue.leave(50ms);
    BOOST_TEST(admitted == (std::vector<int>{1, 2, 4, 5, 3}), boost::test_tools::per_element());
    BOOST_TEST(queue.load().running == 2U);
}

BOOST_AUTO_TEST_CASE(requests_that_would_wait_too_long_are_rejected_at_once_and_others_expire_in_time) {
    tests::VirtualTime time;
    InstanceQueue queue(time.clock, {0.05, 100ms});
    queue.setLimit(1);
    std::vector<InstanceQueue::Decision> decisions;
    const auto enter = [&](Duration max_wait) {
        const auto now = time.clock.now();
        return queue.enter({now, now + max_wait},
                           [&](InstanceQueue::Decision decision) { decisions.push_back(decision); });
    };
    enter(1s);
    BOOST_TEST(enter(50ms) == 0U);  // The expected wait is 100 ms.
    BOOST_TEST((decisions.back() == InstanceQueue::Decision::kWaitTooLong));
    BOOST_TEST(enter(150ms) != 0U);
    time.advance(200ms);
    BOOST_TEST((decisions.back() == InstanceQueue::Decision::kTimedOut));
    const auto cancelled = enter(500ms);
    queue.cancel(cancelled);
    time.advance(1s);
    BOOST_TEST(decisions.size() == 3U);
    BOOST_TEST(queue.load().waiting == 0U);
}

/// Accepts every request and never responds.
class UnresponsiveInstance : public HttpTransport {
public:
    AttemptHandle send(const std::string&, HttpRequest, Duration, Callback) override {
        return std::make_unique<Attempt>();
    }
};

BOOST_AUTO_TEST_CASE(one_slot_or_more_stays_free_unless_the_instance_has_few) {
    const struct {
        std::uint32_t slots;
        std::uint32_t limit;
    } cases[] = {{4, 4}, {8, 7}, {14, 13}, {38, 36}, {142, 134}};
    for (const auto& entry : cases) {
        tests::VirtualTime time;
        tests::RecordingLog log;
        UnresponsiveInstance instances;
        instance::LocalInstance local(time.clock, 8s);
        quarantine::Quarantine quarantine(time.clock, {});
        const HeaderNames names;
        relay::RelayService relay(time.clock, log, instances, local, quarantine, names, "i:1",
                                  [](const std::string&) { return 1.0; }, {});
        instance::Heartbeat heartbeat;
        heartbeat.id = "i1";
        heartbeat.slots = entry.slots;
        heartbeat.sequence = 1;
        local.onHeartbeat(heartbeat);
        BOOST_TEST(relay.load().limit == entry.limit, entry.slots);
    }
}

/// @return the reason for which a relay rejects a retry after 40 requests.
relay::RelayReason retryAfter40(bool are_counted_elsewhere) {
    tests::VirtualTime time;
    tests::RecordingLog log;
    UnresponsiveInstance instances;
    instance::LocalInstance local(time.clock, 8s);
    quarantine::Quarantine quarantine(time.clock, {});
    const HeaderNames names;
    relay::RelayKnobs knobs;
    knobs.retry_limit = {0.2, 0, 10s};
    relay::RelayService relay(
        time.clock, log, instances, local, quarantine, names, "i:1", [](const std::string&) { return 1.0; }, knobs);
    instance::Heartbeat heartbeat;
    heartbeat.id = "i1";
    heartbeat.slots = 100;
    heartbeat.sequence = 1;
    local.onHeartbeat(heartbeat);
    auto reason = relay::RelayReason::kNone;
    const auto start = [&](bool is_retry) {
        relay::RelayRequest request;
        request.instance = "i1";
        request.is_retry = is_retry;
        request.is_counted = is_retry || are_counted_elsewhere;
        request.deadline = time.clock.now() + 1s;
        relay.start(std::move(request), [&](relay::RelayResult result) { reason = result.reason; });
    };
    for (int number = 0; number < 40; ++number) {
        start(false);
    }
    start(true);
    time.advance(1ms);
    return reason;
}

/// Responds to each request with status 500 after a millisecond.
class FailingInstance : public HttpTransport {
public:
    explicit FailingInstance(Clock& clock) : clock_(clock) {}
    AttemptHandle send(const std::string&, HttpRequest, Duration, Callback callback) override {
        auto attempt = std::make_unique<Running>();
        attempt->timer = clock_.startTimer(1ms, [callback = std::move(callback)] {
            AttemptResult result;
            result.outcome = AttemptOutcome::kResponded;
            result.response.status = 500;
            callback(result);
        });
        return attempt;
    }

private:
    struct Running : Attempt {
        TimerHandle timer;
    };
    Clock& clock_;
};

/// Guards against a retry budget that grows with rejections: a request that several relays reject counts at one
/// relay only.
BOOST_AUTO_TEST_CASE(a_request_counts_for_retries_at_one_relay_only) {
    BOOST_TEST((retryAfter40(false) == relay::RelayReason::kNone));
    BOOST_TEST((retryAfter40(true) == relay::RelayReason::kRetryBudget));
}

/// Guards against retries beyond the budget, and against a retry that is not granted with the result of the failure.
BOOST_AUTO_TEST_CASE(a_relay_grants_the_retry_of_a_request_that_fails_at_its_instance) {
    tests::VirtualTime time;
    tests::RecordingLog log;
    FailingInstance instances(time.clock);
    instance::LocalInstance local(time.clock, 8s);
    quarantine::Quarantine quarantine(time.clock, {});
    const HeaderNames names;
    relay::RelayKnobs knobs;
    knobs.retry_limit = {0.25, 0, 10s};
    relay::RelayService relay(
        time.clock, log, instances, local, quarantine, names, "i:1", [](const std::string&) { return 1.0; }, knobs);
    instance::Heartbeat heartbeat;
    heartbeat.id = "i1";
    heartbeat.slots = 100;
    heartbeat.sequence = 1;
    local.onHeartbeat(heartbeat);
    std::vector<relay::RelayResult> results;
    const auto send = [&](relay::RetryPolicy plan, bool is_paid) {
        relay::RelayRequest request;
        request.instance = "i1";
        request.retry_policy = plan;
        request.is_retry = is_paid;
        request.is_retry_paid = is_paid;
        request.deadline = time.clock.now() + 1s;
        relay.start(std::move(request), [&](relay::RelayResult result) { results.push_back(std::move(result)); });
        time.advance(2ms);
    };
    for (int number = 0; number < 4; ++number) {
        send(relay::RetryPolicy::kNever, false);
    }
    send(relay::RetryPolicy::kIfNotRun, false);  // The instance has run the request.
    send(relay::RetryPolicy::kAlways, false);
    send(relay::RetryPolicy::kAlways, false);  // The budget is spent.
    send(relay::RetryPolicy::kNever, true);    // Another relay has granted the retry.
    BOOST_REQUIRE(results.size() == 8U);
    for (std::size_t number = 0; number < results.size(); ++number) {
        BOOST_TEST(results[number].is_retry_paid == (number == 5), "request " << number);
        BOOST_TEST((results[number].outcome == relay::RelayOutcome::kResponded), "request " << number);
    }
    BOOST_TEST(relay.retryTotals().granted == 1U);
}

/// Records the order of requests and responds when a test calls `respondFirst`.
class PacedInstance : public HttpTransport {
public:
    AttemptHandle send(const std::string&, HttpRequest request, Duration, Callback callback) override {
        order.emplace_back(request.headers.get("id"));
        callbacks.push_back(std::move(callback));
        return std::make_unique<Attempt>();
    }
    void respondFirst() {
        AttemptResult result;
        result.outcome = AttemptOutcome::kResponded;
        result.response.status = 500;
        auto callback = std::move(callbacks.front());
        callbacks.erase(callbacks.begin());
        callback(result);
    }
    std::vector<std::string> order;
    std::vector<Callback> callbacks;
};

/// Guards against wasted work: a later call of a started request tree must not wait behind first calls of others.
BOOST_AUTO_TEST_CASE(calls_of_started_trees_are_admitted_first_and_all_internal_calls_may_wait) {
    tests::VirtualTime time;
    tests::RecordingLog log;
    PacedInstance instances;
    instance::LocalInstance local(time.clock, 8s);
    quarantine::Quarantine quarantine(time.clock, {});
    const HeaderNames names;
    relay::RelayService relay(time.clock, log, instances, local, quarantine, names, "i:1",
                              [](const std::string& service) { return service == "desk" ? 0.2 : 0.8; }, {});
    instance::Heartbeat heartbeat;
    heartbeat.id = "i1";
    heartbeat.slots = 1;
    heartbeat.sequence = 1;
    local.onHeartbeat(heartbeat);
    std::vector<std::string> refused;
    const auto start = [&](const std::string& id, Duration given) {
        relay::RelayRequest request;
        request.request.headers.set("id", id);
        request.request.headers.set(names.caller_service, "desk");
        request.instance = "i1";
        request.route = "inner";
        request.deadline = time.clock.now() + given;
        relay.start(std::move(request), [&refused, id](const relay::RelayResult& result) {
            if (result.outcome == relay::RelayOutcome::kNotRun) {
                refused.push_back(id);
            }
        });
        time.advance(1ms);
    };
    // Enough calls from one service to classify the route as internal.
    for (int call = 0; call < 12; ++call) {
        start("warm", 700ms);
        if (!instances.callbacks.empty()) {
            instances.respondFirst();
        }
    }
    instances.order.clear();
    start("running", 700ms);
    start("first", 700ms);
    start("continuing", 400ms);
    instances.respondFirst();
    instances.respondFirst();
    BOOST_TEST(instances.order == (std::vector<std::string>{"running", "continuing", "first"}),
               boost::test_tools::per_element());
    // A request waits for at most 0.6 of its remaining time.
    start("late first", 700ms);
    start("late continuing", 400ms);
    time.advance(235ms);
    BOOST_TEST(refused.empty());
    time.advance(10ms);
    BOOST_TEST(refused == std::vector<std::string>{"late continuing"}, boost::test_tools::per_element());
    time.advance(180ms);
    BOOST_TEST(refused == (std::vector<std::string>{"late continuing", "late first"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_part_of_the_limit) {
    const TimePoint start(100s);
    decision::RetryBudget budget({0.2, 40, 10s}, start);
    for (int count = 0; count < 100; ++count) {
        budget.onFirstAttempt(start, 0);
    }
    int taken = 0;
    while (budget.tryRetry(start + 1s, 4, 1)) {
        ++taken;
    }
    BOOST_TEST(taken == 16);  // 0.8 of 0.2 * 100, and of the slack accrued in 1.25 s: 0.2 * 40 / 4 in 10 s.
    while (budget.tryRetry(start + 9s, 4, 1)) {
        ++taken;
    }
    BOOST_TEST(taken == 17);  // The same with the slack accrued in 9.25 s.
    int later = 0;
    while (budget.tryRetry(start + 30s, 4, 1)) {
        ++later;
    }
    BOOST_TEST(later == 6);  // Only the slack: 0.8 of its stored part, 0.8 * 40 / 4.
}

BOOST_AUTO_TEST_CASE(a_route_is_internal_if_its_requests_enter_at_the_hosts_of_few_services) {
    tests::VirtualTime time;
    relay::InternalRouteDetector detector(time.clock, [](const std::string&) { return 0.25; });
    BOOST_TEST(!detector.isInternal("unseen"));
    for (int count = 0; count < 20; ++count) {
        detector.onRequest("inner", "desk");
        detector.onRequest("callers", "service" + std::to_string(count % 4));
    }
    BOOST_TEST(detector.isInternal("inner"));
    BOOST_TEST(!detector.isInternal("callers"));
    detector.onRequest("new", "desk");
    BOOST_TEST(!detector.isInternal("new"));
    BOOST_TEST(!detector.classify("new").has_value());  // One request is not enough.
    BOOST_TEST(!detector.classify("unseen").has_value());
    BOOST_TEST(detector.classify("inner").value());
    BOOST_TEST(!detector.classify("callers").value());
}

BOOST_AUTO_TEST_CASE(a_relayed_request_and_its_result_are_unchanged_by_the_wire_format) {
    relay::RelayRequest request;
    request.request.method = "POST";
    request.request.path = "/a?b";
    request.request.headers.set("x-own", "kept");
    request.request.body = "body";
    request.instance = "i1";
    request.is_retry = true;
    request.is_last_candidate = true;
    request.call_context = {0.25, 3.5, 0.625};
    request.route = "r";
    request.priority = 3;
    request.deadline = TimePoint(5s);
    request.max_wait = 70ms;
    request.is_retry_paid = true;
    request.is_only_candidate = true;
    request.instance_start_ms = 1234567890123;
    request.known_rate_limit = 0.25;
    request.retry_policy = relay::RetryPolicy::kAlways;
    const auto message = relay::toHttp(request, {"n1", 7}, TimePoint(4s));
    BOOST_REQUIRE(relay::isRelayed(message));
    const auto received = relay::fromHttp(message, TimePoint(9s));
    BOOST_TEST(received.sender.name == "n1");
    BOOST_TEST(received.sender.table_version == 7U);
    const auto* read = &received.request;
    BOOST_TEST(read->instance == "i1");
    BOOST_TEST(read->is_retry);
    BOOST_TEST(read->is_last_candidate);
    BOOST_TEST(read->is_retry_paid);
    BOOST_TEST(read->is_only_candidate);
    BOOST_TEST(read->instance_start_ms == 1234567890123U);
    BOOST_TEST(read->known_rate_limit.value() == 0.25);
    BOOST_TEST((read->retry_policy == relay::RetryPolicy::kAlways));
    BOOST_TEST(read->call_context.retry_probability == 0.25);
    BOOST_TEST(read->call_context.demand_weight == 3.5);
    BOOST_TEST(read->call_context.no_retry_share == 0.625);
    BOOST_TEST(read->priority == 3U);
    BOOST_TEST((read->deadline == TimePoint(10s)));  // The remaining time is applied to the clock of the relay.
    BOOST_TEST((read->max_wait == 70ms));
    BOOST_TEST(read->request.headers.lines().size() == 1U);
    BOOST_TEST(read->request.body == "body");
    BOOST_TEST(!relay::isRelayed(read->request));

    for (const auto outcome :
         {relay::RelayOutcome::kResponded, relay::RelayOutcome::kNotRun, relay::RelayOutcome::kUnknown}) {
        relay::RelayResult result;
        result.failed_downstream = true;
        result.is_retry_paid = true;
        result.outcome = outcome;
        result.reason = relay::RelayReason::kQueueTooLong;
        result.was_sent = true;
        result.response.status = 418;
        result.load = {4, 5, 6, 7ms, 0, 31ms, 2.5, 40ms};
        result.notice = {1234567890123, true, true, 0};
        result.report.downstream = {"leaf", 0.25, 88ms, decision::Resource::kRetries, 0.125, 1.25, 8.5};
        result.report.load = {30.5, 18, 17.25, 120.5, 30.25, 96.125};
        result.report.time = 22ms;
        result.report.is_internal = true;
        const auto received_result = relay::fromHttp(relay::toHttp(result, {"n2", 8}));
        const auto& back = received_result.result;
        BOOST_TEST(received_result.sender.name == "n2");
        BOOST_TEST(received_result.sender.table_version == 8U);
        BOOST_TEST((back.outcome == outcome));
        BOOST_TEST((back.reason == result.reason));
        BOOST_TEST(back.load.waiting == 5U);
        BOOST_TEST((back.load.mean_service_time == 7ms));
        BOOST_TEST(back.load.pace == 2.5);
        BOOST_TEST((back.load.pace_age == 40ms));
        BOOST_TEST(back.report.downstream.service == "leaf");
        BOOST_TEST(back.report.downstream.admit_ratio == 0.25);
        BOOST_TEST((back.report.downstream.cost == 88ms));
        BOOST_TEST(back.report.load.demand == 30.5);
        BOOST_TEST(back.report.load.capacity == 18);
        BOOST_TEST(back.report.load.busy == 17.25);
        BOOST_TEST(back.report.load.retry_demand == 120.5);
        BOOST_TEST(back.report.load.retry_capacity == 30.25);
        BOOST_TEST(back.report.load.first_attempts == 96.125);
        BOOST_TEST(back.report.downstream.retry_ratio == 0.125);
        BOOST_TEST(back.report.downstream.retries_per_call == 1.25);
        BOOST_TEST(back.report.downstream.calls == 8.5);
        BOOST_TEST((back.report.time == 22ms));
        BOOST_TEST(back.report.is_internal.value());
        BOOST_TEST((back.load.rate_wait == 31ms));
        BOOST_TEST(back.load.rate_limit.value() == 0);
        BOOST_TEST(back.notice.start_ms == 1234567890123U);
        BOOST_TEST(back.notice.is_leaving);
        BOOST_TEST(back.notice.is_rate_limit_known);
        BOOST_TEST(back.notice.rate_limit.value() == 0);
        BOOST_TEST(back.failed_downstream);
        BOOST_TEST(back.is_retry_paid);
        BOOST_TEST((back.response.status == 418) == (outcome == relay::RelayOutcome::kResponded));
    }
    // A node of an earlier version reports no retries, which must not read as a shortage of them.
    auto shortened = relay::toHttp(relay::RelayResult{}, {"n2", 8});
    const std::string fields(shortened.headers.get("dewcrank-relay-result"));
    auto end = fields.size();
    constexpr int kFieldsOnRetries = 6;
    for (int field = 0; field < kFieldsOnRetries; ++field) {
        end = fields.rfind(' ', end - 1);
    }
    shortened.headers.set("dewcrank-relay-result", fields.substr(0, end));
    const auto earlier = relay::fromHttp(shortened).result.report;
    BOOST_TEST(earlier.load.retryAdmitRatio() == 1);
    BOOST_TEST(earlier.downstream.retry_ratio == 1);
    HttpResponse unmarked;
    unmarked.status = 200;
    BOOST_TEST((relay::fromHttp(unmarked).result.outcome == relay::RelayOutcome::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
