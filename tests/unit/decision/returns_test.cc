#include "src/decision/returns.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "src/adapters/seeded_random.h"

using namespace dewcrank;
using decision::ReturnKind;

namespace {

/// A node that has admitted 200 requests per second at the overloaded service "leaf": five reservations in each tenth.
struct ReturnsFixture {
    ReturnsFixture() { admit("leaf", 6s); }

    void admit(const std::string& service, Duration time) {
        for (const auto end = now + time; now < end; now += 5ms) {
            returns.onDecision(now, {service, 0.6, 20ms}, 0, ReturnKind::kFirstAttempt, true);
        }
    }
    std::optional<Duration> reserve(Duration remaining) { return returns.reserve(now, "leaf", {0, 0ms, remaining}); }

    TimePoint now{100s};
    adapters::SeededRandom random{1};
    decision::Returns returns{random, {}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_decision_returns, ReturnsFixture)

BOOST_AUTO_TEST_CASE(a_caller_that_waits_as_told_takes_its_reservation_once) {
    const auto wait = reserve(1500ms);
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST((returns.classify(now + *wait, "leaf", *wait) == ReturnKind::kKept));
    BOOST_TEST((returns.classify(now + *wait, "leaf", *wait) == ReturnKind::kUnreserved));
    BOOST_TEST(returns.totals().reserved == 1U);
    BOOST_TEST(returns.totals().kept == 1U);
    BOOST_TEST(returns.totals().unreserved == 1U);
}

BOOST_AUTO_TEST_CASE(the_time_to_return_is_between_the_least_wait_and_a_third_of_the_remaining_time) {
    for (int caller = 0; caller < 100; ++caller) {
        if (const auto wait = reserve(1500ms)) {
            BOOST_TEST((*wait >= 150ms));
            BOOST_TEST((*wait <= 500ms));
        }
    }
    BOOST_TEST(!reserve(400ms).has_value());
}

/// Guards against returns that displace first attempts: the reservations of a tenth are bounded, and callers beyond
/// them are told no reserved time.
BOOST_AUTO_TEST_CASE(the_reservations_of_a_tenth_are_a_share_of_what_is_admitted_there) {
    int reserved = 0;
    for (int caller = 0; caller < 1000; ++caller) {
        reserved += reserve(1500ms) ? 1 : 0;
    }
    BOOST_TEST(reserved >= 4 * 4);  // The usable time, 150 to 490 ms from now, is in four tenths of a second.
    BOOST_TEST(reserved <= 4 * 5);
}

/// Guards against a small node in a large fleet that never has a whole reservation to give.
BOOST_AUTO_TEST_CASE(a_node_that_admits_little_reserves_in_some_tenths) {
    decision::Returns small(random, {});
    int reserved = 0;
    for (int step = 0; step < 200; ++step, now += 50ms) {
        small.onDecision(now, {"leaf", 0.6, 20ms}, 0, ReturnKind::kFirstAttempt, true);
        reserved += small.reserve(now, "leaf", {0, 0ms, 1500ms}) ? 1 : 0;
    }
    BOOST_TEST(reserved > 20);  // A quarter of the 200 admitted requests would be 50.
    BOOST_TEST(reserved < 80);
}

BOOST_AUTO_TEST_CASE(a_caller_that_comes_at_once_takes_no_reservation) {
    while (reserve(1500ms)) {
    }
    for (int caller = 0; caller < 100; ++caller) {
        now += 5ms;
        BOOST_TEST((returns.classify(now, "leaf", 60ms) == ReturnKind::kAtOnce));
    }
    BOOST_TEST(returns.totals().kept == 0U);
    BOOST_TEST(returns.totals().at_once == 100U);
}

BOOST_AUTO_TEST_CASE(a_return_some_tenths_late_is_kept_and_a_later_one_is_not) {
    const auto wait = reserve(1500ms);
    BOOST_REQUIRE(wait.has_value());
    const auto late = *wait + 150ms;
    BOOST_TEST((returns.classify(now + late, "leaf", late) == ReturnKind::kKept));
    const auto second = reserve(1500ms);
    const auto too_late = *second + 450ms;
    BOOST_TEST((returns.classify(now + too_late, "leaf", too_late) == ReturnKind::kUnreserved));
}

/// A second reservation is for the time since the first attempt, which a return's deadline tells.
BOOST_AUTO_TEST_CASE(a_caller_that_is_refused_twice_keeps_its_second_reservation) {
    const auto wait = returns.reserve(now, "leaf", {0, 300ms, 1200ms});
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST((returns.classify(now + *wait, "leaf", *wait) == ReturnKind::kUnreserved));
    BOOST_TEST((returns.classify(now + *wait, "leaf", 300ms + *wait) == ReturnKind::kKept));
}

/// Failure: a restarted node has no reservations, and its callers' retries rank as with the part off.
BOOST_AUTO_TEST_CASE(reservations_are_lost_in_a_restart) {
    const auto wait = reserve(1500ms);
    decision::Returns restarted(random, {});
    BOOST_TEST((restarted.classify(now + *wait, "leaf", *wait) == ReturnKind::kUnreserved));
}

/// Failure: the bottleneck of the route is another one when the caller returns.
BOOST_AUTO_TEST_CASE(a_reservation_does_not_hold_at_another_bottleneck) {
    const auto wait = reserve(1500ms);
    BOOST_TEST((returns.classify(now + *wait, "other", *wait) == ReturnKind::kUnreserved));
    BOOST_TEST((returns.classify(now + *wait, "leaf", *wait) == ReturnKind::kKept));
}

/// Failure: the caller's clock runs fast, so that it returns early; its remaining time is then too long as well.
BOOST_AUTO_TEST_CASE(a_caller_that_returns_early_by_its_clock_ranks_as_without_a_reservation) {
    const auto wait = reserve(1500ms);
    const auto early = *wait / 2;
    BOOST_TEST((returns.classify(now + early, "leaf", early) != ReturnKind::kKept));
    BOOST_TEST((returns.classify(now + early, "leaf", *wait) != ReturnKind::kKept));
}

/// Failure: a route whose callers use different timeouts. The deadlines of the short ones look like those of callers
/// that have waited for longer than anyone was told.
BOOST_AUTO_TEST_CASE(first_attempts_with_a_shorter_timeout_take_no_reservation) {
    while (reserve(1500ms)) {
    }
    for (int caller = 0; caller < 100; ++caller) {
        now += 5ms;
        BOOST_TEST((returns.classify(now, "leaf", 900ms) == ReturnKind::kUnreserved));
    }
}

BOOST_AUTO_TEST_CASE(without_requests_nothing_is_reserved_and_nothing_fails) {
    decision::Returns unused(random, {});
    int reserved = 0;
    for (int caller = 0; caller < 100; ++caller) {
        reserved += unused.reserve(now, "leaf", {0, 0ms, 1500ms}) ? 1 : 0;
    }
    BOOST_TEST(reserved == 0);
}

/// Guards against memory that grows with the number of services of the fleet.
BOOST_AUTO_TEST_CASE(only_the_services_used_last_are_remembered) {
    const auto wait = reserve(1500ms);
    for (int service = 0; service < 200; ++service) {
        now += 1ms;
        returns.onDecision(now, {"s" + std::to_string(service), 0.6, 20ms}, 0, ReturnKind::kFirstAttempt, true);
    }
    BOOST_TEST((returns.classify(now + *wait - 200ms, "leaf", *wait) == ReturnKind::kUnreserved));
}

BOOST_AUTO_TEST_SUITE_END()
