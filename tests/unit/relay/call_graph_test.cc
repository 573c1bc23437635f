#include "src/relay/call_graph.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <string>

#include "src/adapters/seeded_random.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

constexpr Duration kUsual = 700ms;

/// Routes of an instance: how often each is asked, how long it runs, how many calls it makes.
struct Route {
    std::string name;
    double per_second = 0;
    Duration time{};
    int calls = 0;
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
    /// Requests have from 400 to 1400 ms left; a call gives that or its usual time, in whole
    /// milliseconds, and arrives a moment later.
    void run(const Route& route) {
        const auto began = time.queue.now();
        const auto deadline = began + 400ms + std::chrono::milliseconds(random.below(1000));
        graph.onRunBegan(began, route.name, deadline);
        for (int call = 0; call < route.calls; ++call) {
            const auto at = began + route.time * call / route.calls;
            time.queue.schedule(at + 300us, nullptr, [this, at, deadline] {
                const auto left = std::chrono::milliseconds(toMilliseconds(deadline - at));
                graph.onCall(time.queue.now(), "below", std::min<Duration>(left, kUsual));
            });
        }
        time.queue.schedule(began + route.time, nullptr,
                            [this, route, deadline] { graph.onRunEnded(route.name, deadline); });
    }

    tests::VirtualTime time;
    adapters::SeededRandom random{1};
    relay::CallGraph graph{{}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_relay_call_graph, GraphFixture)

BOOST_AUTO_TEST_CASE(nothing_is_excluded_before_enough_was_seen) {
    BOOST_TEST(graph.depends("pack", "below"));
    graph.onRunBegan(time.queue.now(), "pack", time.queue.now() + 1s);
    BOOST_TEST(graph.depends("pack", "below"));
}

BOOST_AUTO_TEST_CASE(a_route_that_makes_no_calls_is_told_from_one_that_makes_many) {
    arrive({"index", 35, 200ms, 4});
    arrive({"pack", 4, 130ms, 0});
    time.advance(10s);
    for (int second = 0; second < 120; ++second) {
        time.advance(1s);
        BOOST_TEST(graph.depends("index", "below"));
        BOOST_TEST(!graph.depends("pack", "below"));
    }
}

BOOST_AUTO_TEST_CASE(routes_that_call_at_other_rates_are_all_told_so) {
    arrive({"sign", 30, 300ms, 2});
    arrive({"check", 60, 250ms, 1});
    arrive({"rare", 1, 250ms, 1});
    arrive({"plain", 40, 100ms, 0});
    time.advance(10s);
    for (int second = 0; second < 120; ++second) {
        time.advance(1s);
        BOOST_TEST(graph.depends("sign", "below"));
        BOOST_TEST(graph.depends("check", "below"));
        BOOST_TEST(graph.depends("rare", "below"));
        BOOST_TEST(!graph.depends("plain", "below"));
    }
}

BOOST_AUTO_TEST_CASE(a_failure_is_explained_by_a_call_that_has_just_failed_during_the_run) {
    const auto began = time.queue.now();
    BOOST_TEST(!graph.explainFailure(began, began));
    graph.onCallFailed(began + 10ms);
    BOOST_TEST(!graph.explainFailure(began + 12ms, began + 11ms));  // Begun after the call had failed.
    BOOST_TEST(graph.explainFailure(began + 12ms, began));
    BOOST_TEST(!graph.explainFailure(began + 13ms, began));  // It explains one failure only.
    graph.onCallFailed(began + 20ms);
    BOOST_TEST(!graph.explainFailure(began + 2s, began));
}

BOOST_AUTO_TEST_SUITE_END()
