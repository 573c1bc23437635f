#include "src/sidecar/inner_calls.h"

#include <boost/test/unit_test.hpp>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

struct InnerCallsFixture {
    /// A route of the instance that makes one call of `inner` in each run, and one that makes none.
    void learnCalls() {
        const auto now = time.clock.now();
        calls.onCall("inner", 900ms);  // Its usual time.
        for (int run = 0; run < 40; ++run) {
            const auto left = std::chrono::milliseconds(400 + 10 * run);
            auto deadline = now + left;
            auto plain_deadline = deadline + 100ms;
            const auto calling = graph.onRunBegan(now, "calling", {}, &deadline);
            const auto plain = graph.onRunBegan(now, "plain", {}, &plain_deadline);
            calls.onCall("inner", deadline - now);
            graph.onRunEnded(now + 1ms, calling, true);
            graph.onRunEnded(now + 1ms, plain, true);
        }
    }

    tests::VirtualTime time;
    decision::CallGraph graph{{}};
    sidecar::InnerCalls calls{time.clock, graph, 1s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_sidecar_inner_calls, InnerCallsFixture)

BOOST_AUTO_TEST_CASE(just_the_routes_that_make_a_call_share_its_bottleneck) {
    learnCalls();
    calls.onReport("inner", true, {"leaf", 0.4});
    BOOST_TEST(calls.leastOf("calling", {"own", 0.9}).service == "leaf");
    BOOST_TEST(calls.leastOf("calling", {"own", 0.9}).level == 0.4);
    BOOST_TEST(calls.leastOf("calling", {"own", 0.2}).service == "own");
    BOOST_TEST(calls.leastOf("plain", {"own", 0.9}).service == "own");
}

BOOST_AUTO_TEST_CASE(a_report_counts_for_a_time) {
    calls.onReport("inner", true, {"leaf", 0.4});
    BOOST_TEST(calls.isOverloaded("inner"));
    time.advance(2s);
    BOOST_TEST(!calls.isOverloaded("inner"));
    BOOST_TEST(calls.leastOf("calling", {"own", 0.9}).service == "own");
    BOOST_TEST(calls.isInner("inner"));
}

BOOST_AUTO_TEST_CASE(levels_are_averaged_and_a_new_bottleneck_starts_anew) {
    calls.onReport("inner", true, {"leaf", 1});
    calls.onReport("inner", true, {"leaf", 0.5});
    BOOST_TEST(calls.leastOf("any", {"own", 1}).level == 0.9);
    calls.onReport("inner", true, {"deeper", 0.3});
    BOOST_TEST(calls.leastOf("any", {"own", 1}).level == 0.3);
    calls.onReport("inner", false, {"deeper", 0.3});
    BOOST_TEST(!calls.isInner("inner"));
}

BOOST_AUTO_TEST_SUITE_END()
