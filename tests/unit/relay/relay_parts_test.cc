#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/decision/repeat_budget.h"
#include "src/relay/caller_census.h"
#include "src/relay/instance_queue.h"
#include "src/relay/relay_service.h"
#include "src/relay/relay_wire.h"
#include "tests/support/fakes.h"

using namespace dewcrank;
using relay::InstanceQueue;

BOOST_AUTO_TEST_SUITE(unit_relay)

BOOST_AUTO_TEST_CASE(a_queue_never_lets_in_more_than_its_limit_and_the_most_pressing_first) {
    tests::VirtualTime time;
    InstanceQueue queue(time.clock, {});
    queue.setLimit(2);
    std::vector<int> let_in;
    const auto enter = [&](int number, Duration order) {
        const auto now = time.clock.now();
        queue.enter({now + order, now + 10s}, [&let_in, number](InstanceQueue::Decision decision) {
            if (decision == InstanceQueue::Decision::kGo) {
                let_in.push_back(number);
            }
        });
    };
    enter(1, 1s);
    enter(2, 1s);
    enter(3, 3s);
    enter(4, 1s);
    enter(5, 2s);
    BOOST_TEST(let_in == (std::vector<int>{1, 2}), boost::test_tools::per_element());
    queue.leave(50ms);
    queue.leave(50ms);
    queue.leave(50ms);
    BOOST_TEST(let_in == (std::vector<int>{1, 2, 4, 5, 3}), boost::test_tools::per_element());
    BOOST_TEST(queue.load().running == 2U);
}

BOOST_AUTO_TEST_CASE(who_would_wait_too_long_is_refused_at_once_and_who_does_wait_is_in_time) {
    tests::VirtualTime time;
    InstanceQueue queue(time.clock, {0.05, 100ms});
    queue.setLimit(1);
    std::vector<InstanceQueue::Decision> decisions;
    const auto enter = [&](Duration longest_wait) {
        const auto now = time.clock.now();
        return queue.enter({now, now + longest_wait},
                           [&](InstanceQueue::Decision decision) { decisions.push_back(decision); });
    };
    enter(1s);
    BOOST_TEST(enter(50ms) == 0U);  // 100 ms are expected.
    BOOST_TEST((decisions.back() == InstanceQueue::Decision::kTooLong));
    BOOST_TEST(enter(150ms) != 0U);
    time.advance(200ms);
    BOOST_TEST((decisions.back() == InstanceQueue::Decision::kTimedOut));
    const auto cancelled = enter(500ms);
    queue.cancel(cancelled);
    time.advance(1s);
    BOOST_TEST(decisions.size() == 3U);
    BOOST_TEST(queue.load().waiting == 0U);
}

/// Takes every request and never answers.
class SilentInstance : public HttpTransport {
public:
    AttemptHandle send(const std::string&, HttpRequest, Duration, Callback) override {
        return std::make_unique<Attempt>();
    }
};

BOOST_AUTO_TEST_CASE(an_instance_is_never_filled_to_its_last_slot_unless_it_has_few) {
    const struct {
        std::uint32_t slots;
        std::uint32_t limit;
    } cases[] = {{4, 4}, {8, 7}, {14, 13}, {38, 36}, {142, 134}};
    for (const auto& entry : cases) {
        tests::VirtualTime time;
        tests::RecordingLog log;
        SilentInstance instances;
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

/// Whether a relay that has got 40 requests lets a repeat in.
relay::RelayReason repeatAfter40(bool are_counted_elsewhere) {
    tests::VirtualTime time;
    tests::RecordingLog log;
    SilentInstance instances;
    instance::LocalInstance local(time.clock, 8s);
    quarantine::Quarantine quarantine(time.clock, {});
    const HeaderNames names;
    relay::RelayKnobs knobs;
    knobs.repeats = {0.2, 0, 10s};
    relay::RelayService relay(
        time.clock, log, instances, local, quarantine, names, "i:1", [](const std::string&) { return 1.0; }, knobs);
    instance::Heartbeat heartbeat;
    heartbeat.id = "i1";
    heartbeat.slots = 100;
    heartbeat.sequence = 1;
    local.onHeartbeat(heartbeat);
    auto reason = relay::RelayReason::kNone;
    const auto start = [&](bool is_repeat) {
        relay::RelayRequest request;
        request.instance = "i1";
        request.is_repeat = is_repeat;
        request.is_counted = is_repeat || are_counted_elsewhere;
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

/// Answers each request after a millisecond with a failure of its own.
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

/// One that is refused by a relay, for its queue, comes to a next one: counted there as well, each such
/// request would allow the service's repeats twice.
BOOST_AUTO_TEST_CASE(a_request_allows_repeats_at_one_relay_only) {
    BOOST_TEST((repeatAfter40(false) == relay::RelayReason::kNone));
    BOOST_TEST((repeatAfter40(true) == relay::RelayReason::kRepeatBudget));
}

/// One repeat is allowed here. What fails beside it takes that one along, also to a relay that has none left.
BOOST_AUTO_TEST_CASE(a_relay_pays_for_the_repeat_of_what_fails_at_its_instance) {
    tests::VirtualTime time;
    tests::RecordingLog log;
    FailingInstance instances(time.clock);
    instance::LocalInstance local(time.clock, 8s);
    quarantine::Quarantine quarantine(time.clock, {});
    const HeaderNames names;
    relay::RelayKnobs knobs;
    knobs.repeats = {0.25, 0, 10s};
    relay::RelayService relay(
        time.clock, log, instances, local, quarantine, names, "i:1", [](const std::string&) { return 1.0; }, knobs);
    instance::Heartbeat heartbeat;
    heartbeat.id = "i1";
    heartbeat.slots = 100;
    heartbeat.sequence = 1;
    local.onHeartbeat(heartbeat);
    std::vector<relay::RelayResult> results;
    const auto send = [&](relay::FailurePlan plan, bool is_paid) {
        relay::RelayRequest request;
        request.instance = "i1";
        request.failure_plan = plan;
        request.is_repeat = is_paid;
        request.is_repeat_paid = is_paid;
        request.deadline = time.clock.now() + 1s;
        relay.start(std::move(request), [&](relay::RelayResult result) { results.push_back(std::move(result)); });
        time.advance(2ms);
    };
    for (int number = 0; number < 4; ++number) {
        send(relay::FailurePlan::kGiveUp, false);
    }
    send(relay::FailurePlan::kRepeatIfNotRun, false);  // It has run.
    send(relay::FailurePlan::kRepeat, false);
    send(relay::FailurePlan::kRepeat, false);  // There is none left.
    send(relay::FailurePlan::kGiveUp, true);   // Paid elsewhere.
    BOOST_REQUIRE(results.size() == 8U);
    for (std::size_t number = 0; number < results.size(); ++number) {
        BOOST_TEST(results[number].is_repeat_paid == (number == 5), "request " << number);
        BOOST_TEST((results[number].outcome == relay::RelayOutcome::kResponded), "request " << number);
    }
    BOOST_TEST(relay.repeatTotals().granted == 1U);
}

/// Answers when it is told to, and keeps the order in which requests were sent.
class PacedInstance : public HttpTransport {
public:
    AttemptHandle send(const std::string&, HttpRequest request, Duration, Callback callback) override {
        order.emplace_back(request.headers.get("id"));
        callbacks.push_back(std::move(callback));
        return std::make_unique<Attempt>();
    }
    void answerFirst() {
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

BOOST_AUTO_TEST_CASE(calls_of_trees_that_have_gone_on_are_let_in_first_and_all_inner_calls_may_wait) {
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
    // Enough calls from one service alone to know that the route is an inner one.
    for (int call = 0; call < 12; ++call) {
        start("warm", 700ms);
        if (!instances.callbacks.empty()) {
            instances.answerFirst();
        }
    }
    instances.order.clear();
    start("running", 700ms);
    start("first", 700ms);
    start("continuing", 400ms);
    instances.answerFirst();
    instances.answerFirst();
    BOOST_TEST(instances.order == (std::vector<std::string>{"running", "continuing", "first"}),
               boost::test_tools::per_element());
    // They wait for 0.6 of the time that they give, and no longer.
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

BOOST_AUTO_TEST_CASE(repeats_stay_within_the_part_of_the_bound) {
    const TimePoint start(100s);
    decision::RepeatBudget budget({0.2, 40, 10s}, start);
    for (int count = 0; count < 100; ++count) {
        budget.onFirst(start, 0);
    }
    int taken = 0;
    while (budget.tryRepeat(start + 1s, 4, 1)) {
        ++taken;
    }
    BOOST_TEST(taken == 16);  // 0.8 of 0.2 * 100, and of 1.25 s of what comes of the slack: 0.2 * 40 / 4 in 10 s.
    while (budget.tryRepeat(start + 9s, 4, 1)) {
        ++taken;
    }
    BOOST_TEST(taken == 17);  // The same with 9.25 s of the slack.
    int later = 0;
    while (budget.tryRepeat(start + 30s, 4, 1)) {
        ++later;
    }
    BOOST_TEST(later == 6);  // The slack alone: 0.8 of what is kept of it, 0.8 * 40 / 4.
}

BOOST_AUTO_TEST_CASE(a_route_is_inner_if_its_requests_begin_beside_too_few_services) {
    tests::VirtualTime time;
    relay::CallerCensus census(time.clock, [](const std::string&) { return 0.25; });
    BOOST_TEST(!census.isInner("unseen"));
    for (int count = 0; count < 20; ++count) {
        census.onRequest("inner", "desk");
        census.onRequest("callers", "service" + std::to_string(count % 4));
    }
    BOOST_TEST(census.isInner("inner"));
    BOOST_TEST(!census.isInner("callers"));
    census.onRequest("new", "desk");
    BOOST_TEST(!census.isInner("new"));
    BOOST_TEST(!census.verdict("new").has_value());  // One request tells nothing.
    BOOST_TEST(!census.verdict("unseen").has_value());
    BOOST_TEST(census.verdict("inner").value());
    BOOST_TEST(!census.verdict("callers").value());
}

BOOST_AUTO_TEST_CASE(a_relayed_request_and_its_result_survive_the_way) {
    relay::RelayRequest request;
    request.request.method = "POST";
    request.request.path = "/a?b";
    request.request.headers.set("x-own", "kept");
    request.request.body = "body";
    request.instance = "i1";
    request.is_repeat = true;
    request.is_last_choice = true;
    request.lineage = {0.25, 3.5};
    request.route = "r";
    request.priority = 3;
    request.deadline = TimePoint(5s);
    request.longest_wait = 70ms;
    request.is_repeat_paid = true;
    request.is_only_choice = true;
    request.failure_plan = relay::FailurePlan::kRepeat;
    const auto message = relay::toHttp(request, {"n1", 7}, TimePoint(4s));
    const auto received = relay::fromHttp(message, TimePoint(9s));
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(received->sender.name == "n1");
    BOOST_TEST(received->sender.table_version == 7U);
    const auto* read = &received->request;
    BOOST_TEST(read->instance == "i1");
    BOOST_TEST(read->is_repeat);
    BOOST_TEST(read->is_last_choice);
    BOOST_TEST(read->is_repeat_paid);
    BOOST_TEST(read->is_only_choice);
    BOOST_TEST((read->failure_plan == relay::FailurePlan::kRepeat));
    BOOST_TEST(read->lineage.repeat_share == 0.25);
    BOOST_TEST(read->lineage.represents == 3.5);
    BOOST_TEST(read->priority == 3U);
    BOOST_TEST((read->deadline == TimePoint(10s)));  // The time left, on the relay's own clock.
    BOOST_TEST((read->longest_wait == 70ms));
    BOOST_TEST(read->request.headers.lines().size() == 1U);
    BOOST_TEST(read->request.body == "body");
    BOOST_TEST(!relay::fromHttp(read->request, TimePoint(9s)).has_value());

    for (const auto outcome :
         {relay::RelayOutcome::kResponded, relay::RelayOutcome::kNotRun, relay::RelayOutcome::kUnknown}) {
        relay::RelayResult result;
        result.failed_below = true;
        result.is_repeat_paid = true;
        result.outcome = outcome;
        result.reason = relay::RelayReason::kQueueTooLong;
        result.was_offered = true;
        result.response.status = 418;
        result.load = {4, 5, 6, 7ms};
        result.report.below = {"leaf", 0.25, 88ms};
        result.report.load = {30.5, 18, 17.25};
        result.report.time = 22ms;
        result.report.is_inner = true;
        const auto received_result = relay::fromHttp(relay::toHttp(result, {"n2", 8}));
        const auto& back = received_result.result;
        BOOST_TEST(received_result.sender.name == "n2");
        BOOST_TEST(received_result.sender.table_version == 8U);
        BOOST_TEST((back.outcome == outcome));
        BOOST_TEST((back.reason == result.reason));
        BOOST_TEST(back.load.waiting == 5U);
        BOOST_TEST((back.load.mean_time == 7ms));
        BOOST_TEST(back.report.below.service == "leaf");
        BOOST_TEST(back.report.below.level == 0.25);
        BOOST_TEST((back.report.below.cost == 88ms));
        BOOST_TEST(back.report.load.demand == 30.5);
        BOOST_TEST(back.report.load.capacity == 18);
        BOOST_TEST(back.report.load.busy == 17.25);
        BOOST_TEST((back.report.time == 22ms));
        BOOST_TEST(back.report.is_inner.value());
        BOOST_TEST(back.failed_below);
        BOOST_TEST(back.is_repeat_paid);
        BOOST_TEST((back.response.status == 418) == (outcome == relay::RelayOutcome::kResponded));
    }
    HttpResponse foreign;
    foreign.status = 200;
    BOOST_TEST((relay::fromHttp(foreign).result.outcome == relay::RelayOutcome::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
