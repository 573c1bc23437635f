#include "src/decision/call_graph.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <string>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

/// Sequential calls to one callee within a run.
struct Calls {
    std::string callee;
    int times = 0;
    Duration usual{};       ///< Timeout of a call, unless the run has less time left.
    double fail_share = 0;  ///< Probability that a call fails, which ends the run.
};

/// A route of the instance: its request rate, timeout and duration, and the calls of a run.
struct Route {
    std::string name;
    double per_second = 0;
    Duration deadline{};
    Duration time{};
    std::vector<Calls> calls;
    double retry_probability = 0;
    bool is_repeatable = true;
};

struct GraphFixture {
    Duration exponential(double per_second) {
        return Duration(static_cast<std::int64_t>(-std::log(1 - random.unit()) / per_second * 1e6));
    }
    void arrive(const Route& route) {
        time.queue.schedule(time.queue.now() + exponential(route.per_second), nullptr, [this, route] {
            run(route);
            arrive(route);
        });
    }
    /// Simulates one run. The timeout of a call is the smaller of the usual timeout and the remaining time of the run,
    /// in whole milliseconds; each call arrives after a short delay.
    void run(const Route& route) {
        std::vector<Calls> steps;
        for (const auto& calls : route.calls) {
            steps.insert(steps.end(), static_cast<std::size_t>(calls.times), calls);
        }
        const auto began = time.queue.now();
        auto deadline = began + route.deadline;
        const decision::CallContext context{route.retry_probability, 1};
        const auto number = route.is_repeatable ? graph.onRepeatableRunBegan(began, route.name, context, &deadline)
                                                : graph.onRunBegan(began, route.name, context, deadline);
        BOOST_TEST((deadline <= began + route.deadline));
        // The graph uses the observed mean time, which differs from the nominal time.
        BOOST_TEST((2 * (deadline - began) >= 5 * route.time || deadline == began + route.deadline));
        step(number, deadline, steps, 0, route.time / static_cast<int>(steps.size() + 1));
    }
    void step(std::uint64_t number, TimePoint deadline, const std::vector<Calls>& steps, std::size_t next,
              Duration pause) {
        const double spread = 0.5 + random.unit();
        const auto at = time.queue.now() + std::chrono::duration_cast<Duration>(pause * spread);
        time.queue.schedule(at, nullptr, [this, number, deadline, steps, next, pause] {
            if (next == steps.size()) {
                graph.onRunEnded(time.queue.now(), number, true);
                return;
            }
            const auto& call = steps[next];
            const auto left = std::chrono::milliseconds(toMilliseconds(deadline - time.queue.now()));
            retry_probabilities[call.callee] +=
                graph.onCall(time.queue.now() + 300us, call.callee, std::min<Duration>(left, call.usual))
                    .retry_probability;
            ++made[call.callee];
            if (random.unit() < call.fail_share) {
                graph.onRunEnded(time.queue.now(), number, false);
                return;
            }
            step(number, deadline, steps, next + 1, pause);
        });
    }
    double calls(const std::string& route, const std::string& callee) {
        return graph.callsPerRun(route, callee).value_or(-1);
    }

    tests::VirtualTime time;
    adapters::SeededRandom random{1};
    decision::CallGraph graph{{}};
    std::map<std::string, double> retry_probabilities;  ///< Sums of retry probabilities by callee.
    std::map<std::string, int> made;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_decision_call_graph, GraphFixture)

/// Guards against excluding a dependency of a route before the graph has samples.
BOOST_AUTO_TEST_CASE(nothing_is_excluded_before_enough_was_seen) {
    BOOST_TEST(graph.depends("pack", "below"));
    graph.onRunBegan(time.queue.now(), "pack", {}, time.queue.now() + 1s);
    BOOST_TEST(graph.depends("pack", "below"));
    BOOST_TEST(!graph.callsPerRun("pack", "below").has_value());
}

/// Guards against attributing calls to a route that makes no calls but runs at the same time as a calling route.
BOOST_AUTO_TEST_CASE(a_route_that_makes_no_calls_is_distinguished_from_one_that_makes_many) {
    arrive({"index", 35, 2s, 200ms, {{"below", 4, 700ms}}});
    arrive({"pack", 4, 1500ms, 130ms, {}});
    time.advance(10s);
    for (int second = 0; second < 120; ++second) {
        time.advance(1s);
        BOOST_TEST(graph.depends("index", "below"));
        BOOST_TEST(!graph.depends("pack", "below"));
    }
}

/// Guards against wrong call counts when all calls have their usual timeouts, which do not depend on the run.
BOOST_AUTO_TEST_CASE(calls_are_counted_though_no_run_comes_near_its_end) {
    arrive({"sign", 30, 5s, 300ms, {{"stock", 2, 2s}}});
    arrive({"check", 60, 2500ms, 250ms, {{"stock", 1, 2s}, {"price", 3, 1s}}});
    arrive({"rare", 2, 5s, 250ms, {{"price", 1, 1s}}});
    arrive({"plain", 40, 1200ms, 100ms, {}});
    time.advance(20s);
    for (int second = 0; second < 100; ++second) {
        time.advance(1s);
        BOOST_TEST(std::abs(calls("sign", "stock") - 2) < 0.2, calls("sign", "stock"));
        BOOST_TEST(std::abs(calls("check", "stock") - 1) < 0.1, calls("check", "stock"));
        BOOST_TEST(std::abs(calls("check", "price") - 3) < 0.3, calls("check", "price"));
        BOOST_TEST(std::abs(calls("rare", "price") - 1) < 0.3, calls("rare", "price"));
        BOOST_TEST(!graph.depends("sign", "price"));
        BOOST_TEST(!graph.depends("plain", "price"));
        BOOST_TEST(!graph.depends("plain", "stock"));
    }
}

/// Guards against a calling route that is classified as a route without calls because most runs fail at the first
/// call.
BOOST_AUTO_TEST_CASE(failing_runs_are_known_to_make_calls) {
    arrive({"check", 60, 2500ms, 250ms, {{"stock", 4, 2s, 0.95}}});
    arrive({"plain", 40, 1200ms, 100ms, {}});
    time.advance(60s);
    BOOST_TEST(graph.depends("check", "stock"));
    BOOST_TEST(!graph.depends("plain", "stock"));
}

/// Guards against call counts that do not follow a change of the route.
BOOST_AUTO_TEST_CASE(a_route_whose_calls_change_is_learned_anew) {
    Route route{"check", 60, 2500ms, 250ms, {{"stock", 1, 2s}}};
    arrive(route);
    time.advance(60s);
    BOOST_TEST(std::abs(calls("check", "stock") - 1) < 0.1);
    arrive({"check", 600, 2500ms, 250ms, {{"stock", 3, 2s}}});  // Most runs are of this kind from here on.
    time.advance(90s);
    BOOST_TEST(calls("check", "stock") > 2.5);
}

/// Guards against calls of retried requests that do not count as retries at the callee. Only the mean is checked.
BOOST_AUTO_TEST_CASE(calls_inherit_the_retry_probability_of_their_runs) {
    arrive({"sign", 30, 5s, 300ms, {{"stock", 2, 2s}}, 0.2});
    arrive({"check", 60, 2500ms, 250ms, {{"stock", 1, 2s}}, 0});
    arrive({"plain", 40, 1200ms, 100ms, {}, 1});  // This route makes no calls, so its probability must not count.
    time.advance(60s);
    const double mean = retry_probabilities["stock"] / made["stock"];
    BOOST_TEST(std::abs(mean - 0.1) < 0.03, mean);
}

/// Guards against call counts that need a shorter deadline, which a request that must not run twice cannot be given:
/// here each call ends with its run.
BOOST_AUTO_TEST_CASE(calls_that_end_with_their_runs_are_counted_without_samples) {
    arrive({"pay", 30, 1500ms, 300ms, {{"card", 2, 2s}}, 0, false});
    arrive({"status", 60, 1200ms, 150ms, {{"card", 1, 2s}}, 0, false});
    arrive({"plain", 40, 1500ms, 100ms, {}, 0, false});
    time.advance(20s);
    for (int second = 0; second < 60; ++second) {
        time.advance(1s);
        BOOST_TEST(std::abs(calls("pay", "card") - 2) < 0.2, calls("pay", "card"));
        BOOST_TEST(std::abs(calls("status", "card") - 1) < 0.1, calls("status", "card"));
        BOOST_TEST(!graph.depends("plain", "card"));
    }
}

/// Guards against calls with timeouts of their own that are attributed to the run whose deadline they happen to meet.
BOOST_AUTO_TEST_CASE(calls_with_their_own_timeouts_are_not_attributed_by_chance) {
    arrive({"sign", 30, 5s, 300ms, {{"stock", 2, 1s}}, 0, false});
    arrive(
        {"plain", 1000, 1200ms, 300ms, {}, 0, false});  // At each time, the deadlines of many runs are a second away.
    time.advance(30s);
    BOOST_TEST(calls("plain", "stock") == -1);
    BOOST_TEST(calls("sign", "stock") == -1);
}

/// Guards against a sample that leaves a request that needs longer too little time to be run again.
BOOST_AUTO_TEST_CASE(a_sample_takes_at_most_half_of_the_time) {
    arrive({"check", 60, 2500ms, 250ms, {{"stock", 1, 2s}}});
    time.advance(20s);
    int samples = 0;
    for (int run = 0; run < 500; ++run) {
        time.advance(10ms);
        const auto now = time.queue.now();
        auto deadline = now + 1800ms;
        const auto number = graph.onRepeatableRunBegan(now, "check", {}, &deadline);
        graph.onRunEnded(now + 250ms, number, true);
        samples += deadline < now + 1800ms ? 1 : 0;
        BOOST_TEST((deadline == now + 1800ms || deadline <= now + 900ms));
    }
    BOOST_TEST(samples > 0);
}

/// Guards against a failed run that is attributed to a call before its start, long ago or already attributed.
BOOST_AUTO_TEST_CASE(a_failure_is_explained_by_a_call_that_has_just_failed_during_the_run) {
    const auto began = time.queue.now();
    BOOST_TEST(!graph.attributeFailure(began, began));
    graph.onCallFailed(began + 10ms);
    BOOST_TEST(!graph.attributeFailure(began + 12ms, began + 11ms));  // The run began after the failed call.
    BOOST_TEST(graph.attributeFailure(began + 12ms, began));
    BOOST_TEST(!graph.attributeFailure(began + 13ms, began));  // A failed call explains one failure only.
    graph.onCallFailed(began + 20ms);
    BOOST_TEST(!graph.attributeFailure(began + 2s, began));
}

BOOST_AUTO_TEST_SUITE_END()
