/// What a failed connection means for the state of an instance.

#include "src/instance/reachability.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;
using instance::ConnectionFailure;
using instance::Reachability;
using Verdict = Reachability::Verdict;

namespace {

constexpr TimePoint kBegin{10s};
constexpr Duration kUsualTime = 40ms;

ConnectionFailure refused(TimePoint started, std::size_t others) {
    return {started, false, others, kUsualTime};
}

ConnectionFailure timedOut(TimePoint started, std::size_t others) {
    return {started, true, others, kUsualTime};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_reachability)

/// Guards against an instance taken out of service because it accepts no further connection.
BOOST_AUTO_TEST_CASE(an_instance_that_refuses_while_others_answer_stays_reachable) {
    Reachability reachability;
    auto last_contact = kBegin - 5ms;
    for (auto now = kBegin; now < kBegin + 5s; now += 10ms) {
        BOOST_TEST(
            (reachability.onConnectionFailed(now + 1ms, last_contact, refused(now, 30)) != Verdict::kUnreachable));
        last_contact = now + 5ms;
        BOOST_TEST((reachability.judge(now + 6ms, last_contact, 30) == Verdict::kReachable));
        BOOST_TEST(!reachability.decidedBy());
    }
}

/// Guards against a slower detection of a crash of an idle instance than by its first refused connection.
BOOST_AUTO_TEST_CASE(an_instance_that_refuses_while_nothing_runs_is_unreachable_at_once) {
    Reachability reachability;
    BOOST_TEST(
        (reachability.onConnectionFailed(kBegin + 1ms, kBegin - 1ms, refused(kBegin, 0)) == Verdict::kUnreachable));
    BOOST_TEST(!reachability.decidedBy());
}

/// Requests that are sent together are all refused after a crash: the last one decides.
BOOST_AUTO_TEST_CASE(the_last_of_several_refused_connections_makes_it_unreachable) {
    Reachability reachability;
    for (std::size_t others = 4; others > 0; --others) {
        BOOST_TEST((reachability.onConnectionFailed(kBegin + 1ms, kBegin - 1ms, refused(kBegin, others)) ==
                    Verdict::kUndecided));
    }
    BOOST_TEST(
        (reachability.onConnectionFailed(kBegin + 1ms, kBegin - 1ms, refused(kBegin, 0)) == Verdict::kUnreachable));
}

/// Guards against runs that keep a dead instance in service: its runs get no response, and nothing shows that.
BOOST_AUTO_TEST_CASE(an_instance_without_any_response_is_unreachable_after_some_silence) {
    Reachability reachability;
    BOOST_TEST(
        (reachability.onConnectionFailed(kBegin + 1ms, kBegin - 1ms, refused(kBegin, 9)) == Verdict::kUndecided));
    BOOST_REQUIRE(reachability.decidedBy().has_value());
    BOOST_TEST((*reachability.decidedBy() == kBegin + 250ms));
    BOOST_TEST((reachability.judge(kBegin + 249ms, kBegin - 1ms, 9) == Verdict::kUndecided));
    BOOST_TEST((reachability.judge(kBegin + 250ms, kBegin - 1ms, 9) == Verdict::kUnreachable));
}

/// Guards against a verdict before the first of long runs can have responded.
BOOST_AUTO_TEST_CASE(the_silence_that_counts_grows_with_the_usual_time_up_to_a_second) {
    Reachability reachability;
    reachability.onConnectionFailed(kBegin, kBegin - 1ms, {kBegin, false, 9, 200ms});
    BOOST_TEST((*reachability.decidedBy() == kBegin + 600ms));
    reachability.reset();
    reachability.onConnectionFailed(kBegin, kBegin - 1ms, {kBegin, false, 9, 5s});
    BOOST_TEST((*reachability.decidedBy() == kBegin + 1s));
}

/// A host without power responds to nothing: the first connection that times out detects it, as it did before.
BOOST_AUTO_TEST_CASE(a_host_without_power_is_detected_by_the_first_time_out) {
    Reachability reachability;
    BOOST_TEST(
        (reachability.onConnectionFailed(kBegin + 250ms, kBegin - 1ms, timedOut(kBegin, 20)) == Verdict::kUnreachable));
}

/// A busy host may drop a connection request while its instance responds on other connections.
BOOST_AUTO_TEST_CASE(a_time_out_while_others_answer_does_not_count) {
    Reachability reachability;
    BOOST_TEST(
        (reachability.onConnectionFailed(kBegin + 250ms, kBegin + 100ms, timedOut(kBegin, 0)) == Verdict::kReachable));
}

/// Guards against failures from before a response that count together with later ones.
BOOST_AUTO_TEST_CASE(a_response_between_two_failures_starts_the_silence_anew) {
    Reachability reachability;
    reachability.onConnectionFailed(kBegin + 1ms, kBegin - 1ms, refused(kBegin, 9));
    BOOST_TEST((reachability.onConnectionFailed(kBegin + 201ms, kBegin + 100ms, refused(kBegin + 200ms, 9)) ==
                Verdict::kUndecided));
    BOOST_TEST((*reachability.decidedBy() == kBegin + 450ms));
}

BOOST_AUTO_TEST_SUITE_END()
