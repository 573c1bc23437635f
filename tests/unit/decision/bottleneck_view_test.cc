#include "src/decision/bottleneck_view.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

struct ViewFixture {
    /// Records runs of the route `calling`, which calls `inner` twice per run, and of `plain`, which makes no calls.
    void learnCalls() {
        const auto now = time.clock.now();
        graph.onCall(now, "inner", 900ms);  // The usual timeout of the callee.
        for (int run = 0; run < 40; ++run) {
            const auto deadline = now + 400ms + 10ms * run;
            const auto plain_deadline = deadline + 100ms;
            const auto calling = graph.onRunBegan(now, "calling", {}, deadline);
            const auto plain = graph.onRunBegan(now, "plain", {}, plain_deadline);
            graph.onCall(now, "inner", deadline - now);
            graph.onCall(now, "inner", deadline - now);
            graph.onRunEnded(now + 1ms, calling, true);
            graph.onRunEnded(now + 1ms, plain, true);
        }
    }
    void report(const std::string& route, const std::string& relay, const decision::ServiceLoad& load, Duration cost,
                const decision::Bottleneck& downstream = {}) {
        view.onReport(time.clock.now(), route, "desk", relay, {load, cost, downstream, route == "inner"});
    }
    decision::Bottleneck bottleneckOf(const std::string& route) { return view.bottleneckOf(time.clock.now(), route); }
    decision::Bottleneck bottleneckOfCalls(const std::string& route) {
        return view.bottleneckOfCalls(time.clock.now(), route, graph);
    }

    tests::VirtualTime time;
    decision::CallGraph graph{{}};
    decision::BottleneckView view{{}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_decision_bottleneck_view, ViewFixture)

BOOST_AUTO_TEST_CASE(nothing_is_known_before_the_first_report) {
    BOOST_TEST(bottleneckOf("any").service.empty());
    BOOST_TEST(bottleneckOf("any").admit_ratio == 1);
    BOOST_TEST(!view.isInternal("any"));
}

/// Guards against a ratio taken from the most loaded relay alone: the ratio must reflect the sum over all relays.
BOOST_AUTO_TEST_CASE(the_relays_of_a_service_count_together) {
    report("order", "n1", {10, 20, 10}, 50ms);
    report("order", "n2", {10, 20, 10}, 50ms);
    report("order", "n3", {60, 20, 20}, 50ms);
    BOOST_TEST(bottleneckOf("order").admit_ratio > 0.7);
    report("order", "n1", {50, 20, 20}, 50ms);
    BOOST_TEST(bottleneckOf("order").admit_ratio == 0.5);
    BOOST_TEST(bottleneckOf("order").service == "desk");
    BOOST_TEST((bottleneckOf("order").cost == 50ms));
}

/// Guards against rejections on routes that make no calls to the bottleneck.
BOOST_AUTO_TEST_CASE(just_the_routes_that_make_a_call_share_its_bottleneck) {
    learnCalls();
    report("inner", "n1", {50, 20, 20}, 30ms);
    BOOST_TEST(bottleneckOfCalls("calling").service == "desk");
    BOOST_TEST(bottleneckOfCalls("calling").admit_ratio == 0.4);
    BOOST_TEST((bottleneckOfCalls("calling").cost == 60ms));
    BOOST_TEST(bottleneckOfCalls("plain").service.empty());
}

/// Guards against a downstream bottleneck that is hidden by the higher admission ratio of a nearer service.
BOOST_AUTO_TEST_CASE(the_lowest_ratio_counts_at_any_depth) {
    report("order", "n1", {10, 20, 10}, 50ms, {"leaf", 0.3, 88ms});
    BOOST_TEST(bottleneckOf("order").service == "leaf");
    BOOST_TEST(std::abs(bottleneckOf("order").admit_ratio - 0.3) < 1e-6);
    BOOST_TEST((bottleneckOf("order").cost == 88ms));
    report("other", "n1", {10, 20, 10}, 50ms, {"leaf", 0.8, 88ms});  // `leaf` is reported on another route too.
    BOOST_TEST(std::abs(bottleneckOf("order").admit_ratio - 0.4) < 1e-6);
}

/// Guards against a bottleneck that only a relay without samples reports: right after a start, a relay attributes too
/// many calls to its instance.
BOOST_AUTO_TEST_CASE(what_most_relays_say_of_a_route_counts) {
    for (int round = 0; round < 20; ++round) {
        for (const auto* relay : {"n1", "n2", "n3"}) {
            const bool is_new = std::string(relay) == "n3";
            report("pack", relay, {10, 20, 10}, 50ms,
                   is_new ? decision::Bottleneck{"leaf", 0.3, 88ms} : decision::Bottleneck{});
            report("order", relay, {10, 20, 10}, 50ms, {"leaf", 0.3, 88ms});
        }
    }
    BOOST_TEST(bottleneckOf("pack").admit_ratio == 1);
    BOOST_TEST(std::abs(bottleneckOf("order").admit_ratio - 0.3) < 1e-6);
}

/// Guards against a ratio that stays low after an overload because of relays that the node no longer calls.
BOOST_AUTO_TEST_CASE(relays_that_are_no_longer_called_do_not_hold_the_ratio_down) {
    report("order", "n1", {50, 20, 20}, 50ms);
    report("order", "n2", {50, 20, 20}, 50ms);
    for (int round = 0; round < 7; ++round) {
        report("order", "n3", {10, 20, 10}, 50ms);
        time.advance(100ms);
    }
    BOOST_TEST(bottleneckOf("order").admit_ratio == 1);
}

/// Guards against an entry that keeps rejecting after an overload, when few admitted requests yield few reports.
BOOST_AUTO_TEST_CASE(a_report_after_a_pause_replaces_earlier_reports) {
    for (int round = 0; round < 20; ++round) {
        report("order", "n1", {10, 20, 10}, 50ms, {"leaf", 0.3, 88ms});
        time.advance(10ms);
    }
    time.advance(300ms);
    report("order", "n1", {10, 20, 10}, 50ms, {"leaf", 1.0, 88ms});
    BOOST_TEST(bottleneckOf("order").admit_ratio > 0.95);
}

/// Guards against a ratio that jumps between the differing estimates of single reports.
BOOST_AUTO_TEST_CASE(reports_in_quick_succession_are_averaged) {
    for (int round = 0; round < 40; ++round) {
        time.advance(5ms);
        report("order", "n1", {10, 20, 10}, 50ms, {"leaf", round % 2 == 0 ? 0.2 : 0.6, 88ms});
    }
    BOOST_TEST(std::abs(bottleneckOf("order").admit_ratio - 0.4) < 0.1);
}

BOOST_AUTO_TEST_CASE(estimates_without_new_reports_expire) {
    report("order", "n1", {50, 20, 20}, 50ms);
    time.advance(1900ms);
    BOOST_TEST(bottleneckOf("order").admit_ratio > 0.9);
    time.advance(1s);
    BOOST_TEST(bottleneckOf("order").admit_ratio == 1);
}

/// Guards against callers of a service that keep their rate while it has no running instance.
BOOST_AUTO_TEST_CASE(calls_that_find_no_instance_lower_the_ratio_which_recovers_with_the_calls_that_find_one) {
    report("order", "n1", {5, 20, 5}, 50ms);
    const auto end_calls = [this](int count, bool found_instance) {
        for (int call = 0; call < count; ++call) {
            time.advance(5ms);
            view.onCallEnded(time.clock.now(), "desk", found_instance);
        }
    };
    end_calls(50, true);
    BOOST_TEST(bottleneckOf("order").admit_ratio == 1);
    end_calls(100, false);
    BOOST_TEST(bottleneckOf("order").admit_ratio < 0.15);
    BOOST_TEST(bottleneckOf("order").admit_ratio >= 0.1);
    end_calls(200, true);
    BOOST_TEST(bottleneckOf("order").admit_ratio > 0.95);
    end_calls(100, false);
    time.advance(2s);
    BOOST_TEST(bottleneckOf("order").admit_ratio > 0.95);
}

/// Guards against a shortage of retries that is hidden by slots, and against one that counts while the part is off.
BOOST_AUTO_TEST_CASE(the_scarcer_of_slots_and_retries_counts) {
    decision::BottleneckKnobs knobs;
    knobs.includes_retries = true;
    decision::BottleneckView with_retries(knobs);
    const decision::ServiceLoad load{25, 20, 20, 100, 25, 80};
    const decision::RouteReport at_desk{load, 30ms, {}, true};
    with_retries.onReport(time.clock.now(), "inner", "desk", "n1", at_desk);
    with_retries.onReport(time.clock.now(), "inner", "desk", "n2", at_desk);
    const auto own = with_retries.bottleneckOf(time.clock.now(), "inner");
    BOOST_TEST((own.scarce == decision::Resource::kRetries));
    BOOST_TEST(own.admit_ratio == 0.8);
    BOOST_TEST(own.retry_ratio == 0.25);
    BOOST_TEST(own.lowestRatio() == 0.25);
    BOOST_TEST(own.retries_per_call == 1.25);
    BOOST_TEST(own.calls == 1);
    learnCalls();
    const auto of_calls = with_retries.bottleneckOfCalls(time.clock.now(), "calling", graph);
    BOOST_TEST(of_calls.calls == 2);
    const decision::RouteReport report{{10, 20, 10}, 50ms, of_calls, false};
    with_retries.onReport(time.clock.now(), "order", "front", "f1", report);
    const auto of_route = with_retries.bottleneckOf(time.clock.now(), "order");
    BOOST_TEST(of_route.service == "desk");
    BOOST_TEST((of_route.scarce == decision::Resource::kRetries));
    BOOST_TEST(of_route.calls == 2);
    view.onReport(time.clock.now(), "inner", "desk", "n1", at_desk);
    BOOST_TEST((bottleneckOf("inner").scarce == decision::Resource::kSlots));
    BOOST_TEST(bottleneckOf("inner").retry_ratio == 1);
    BOOST_TEST(bottleneckOf("inner").lowestRatio() == 0.8);
}

/// Guards against entries that keep a shortage of retries which is no longer reported.
BOOST_AUTO_TEST_CASE(a_shortage_of_retries_is_forgotten_without_reports) {
    decision::BottleneckKnobs knobs;
    knobs.includes_retries = true;
    decision::BottleneckView with_retries(knobs);
    decision::RouteReport report{{10, 20, 10}, 50ms, {"leaf", 1, 88ms}, false};
    report.downstream.retry_ratio = 0.2;
    report.downstream.retries_per_call = 1.2;
    report.downstream.calls = 8;
    with_retries.onReport(time.clock.now(), "order", "front", "f1", report);
    time.advance(1s);
    BOOST_TEST(std::abs(with_retries.bottleneckOf(time.clock.now(), "order").retry_ratio - 0.2) < 1e-9);
    time.advance(500ms);
    BOOST_TEST(std::abs(with_retries.bottleneckOf(time.clock.now(), "order").retry_ratio - 0.6) < 1e-9);
    time.advance(500ms);
    BOOST_TEST((with_retries.bottleneckOf(time.clock.now(), "order").scarce == decision::Resource::kSlots));
}

BOOST_AUTO_TEST_SUITE_END()
