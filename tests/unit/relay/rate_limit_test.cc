/// Rate limits that instances name: how they are read, when they are in force, and how requests are paced by them.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "src/relay/instance_queue.h"
#include "src/relay/instance_signals.h"
#include "src/relay/named_rate_limit.h"
#include "src/relay/rate_limiter.h"
#include "src/relay/relay_service.h"
#include "tests/support/fakes.h"
#include "tests/support/mutation.h"

using namespace dewcrank;
using relay::InstanceQueue;

namespace {

constexpr Duration kWindow = 4s;
constexpr double kSlack = 5;  ///< Requests beyond the limit in any window.

HttpResponse responseNaming(const std::string& limit) {
    HttpResponse response;
    response.headers.set(HeaderNames().rate_limit.front(), limit);
    return response;
}

/// Counts admissions in sliding windows.
class WindowCounter {
public:
    void add(TimePoint now) {
        times_.push_back(now);
        const auto first = std::upper_bound(times_.begin(), times_.end(), now - kWindow);
        most_ = std::max(most_, static_cast<double>(times_.end() - first));
    }
    [[nodiscard]] double most() const { return most_; }
    [[nodiscard]] std::size_t total() const { return times_.size(); }

private:
    std::vector<TimePoint> times_;
    double most_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_relay_rate_limit)

BOOST_AUTO_TEST_CASE(only_decimal_numbers_in_range_are_limits) {
    const HeaderNames names;
    const struct {
        const char* text;
        std::optional<double> limit;
    } cases[] = {{"16.3", 16.3},           {"0", 0.0},
                 {"300", 300.0},           {"0.05", 0.05},
                 {"-1", std::nullopt},     {"", std::nullopt},
                 {"inf", std::nullopt},    {"nan", std::nullopt},
                 {"1e3", std::nullopt},    {"0x10", std::nullopt},
                 {"12 req", std::nullopt}, {"1,5", std::nullopt},
                 {"1e999", std::nullopt},  {"99999999999", std::nullopt}};
    for (const auto& entry : cases) {
        const auto signals = relay::readSignals(responseNaming(entry.text), names);
        BOOST_TEST((signals.rate_limit == entry.limit), entry.text);
        BOOST_TEST(signals.has_invalid_rate_limit == !entry.limit.has_value(), entry.text);
    }
    const auto none = relay::readSignals(HttpResponse{}, names);
    BOOST_TEST(!none.rate_limit.has_value());
    BOOST_TEST(!none.has_invalid_rate_limit);
}

BOOST_AUTO_TEST_CASE(only_the_value_one_says_that_an_instance_is_leaving) {
    const HeaderNames names;
    for (const std::string text : {"1", "0", "", "true", "11"}) {
        HttpResponse response;
        response.headers.set(names.leaving.front(), text);
        BOOST_TEST(relay::readSignals(response, names).is_leaving == (text == "1"), text);
    }
}

BOOST_AUTO_TEST_CASE(any_header_value_is_read_as_a_limit_in_range_or_as_none) {
    const HeaderNames names;
    tests::Mutator mutator(7, {"1", ".", "-", "e", "inf", "nan", " ", "\t", "\0", "999999999999999999999"});
    for (int number = 0; number < 20000; ++number) {
        const auto signals = relay::readSignals(responseNaming(mutator.mutated("16.3")), names);
        if (signals.rate_limit) {
            BOOST_TEST_REQUIRE(*signals.rate_limit >= 0);
            BOOST_TEST_REQUIRE(*signals.rate_limit <= 1e6);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_limit_ends_only_by_a_response_to_a_request_sent_after_it_was_named) {
    relay::NamedRateLimit limit;
    BOOST_TEST(!limit.isKnown());
    BOOST_TEST(limit.onResponse(TimePoint(10s), TimePoint(9s), 8));
    BOOST_TEST(!limit.onResponse(TimePoint(11s), TimePoint(9500ms), std::nullopt));  // Sent before.
    BOOST_TEST(limit.limit().value() == 8);
    BOOST_TEST(!limit.onResponse(TimePoint(12s), TimePoint(9500ms), 20));  // Sent before, and higher.
    BOOST_TEST(limit.limit().value() == 8);
    BOOST_TEST(limit.onResponse(TimePoint(12s), TimePoint(9500ms), 5));  // Sent before, but lower.
    BOOST_TEST(limit.limit().value() == 5);
    BOOST_TEST(limit.onResponse(TimePoint(13s), TimePoint(12500ms), 20));
    BOOST_TEST(limit.limit().value() == 20);
    BOOST_TEST(limit.onResponse(TimePoint(14s), TimePoint(13s), std::nullopt));
    BOOST_TEST(!limit.limit().has_value());
}

BOOST_AUTO_TEST_CASE(what_peers_were_told_counts_until_the_first_response) {
    relay::NamedRateLimit limit;
    BOOST_TEST(limit.onPeerNotice(TimePoint(10s), 8));
    BOOST_TEST(!limit.isKnown());
    BOOST_TEST(!limit.onPeerNotice(TimePoint(11s), 9));
    BOOST_TEST(limit.onPeerNotice(TimePoint(11s), 7));
    BOOST_TEST(limit.onResponse(TimePoint(12s), TimePoint(11500ms), std::nullopt));
    BOOST_TEST(limit.isKnown());
    BOOST_TEST(!limit.onPeerNotice(TimePoint(13s), 8));
    BOOST_TEST(!limit.limit().has_value());
}

BOOST_AUTO_TEST_CASE(no_window_has_more_than_the_limit_and_the_slack_and_all_of_it_is_used) {
    for (const double rate : {0.0, 0.3, 1.0, 3.0, 16.3, 300.0}) {
        tests::VirtualTime time;
        relay::RateLimiter limiter(time.clock);
        limiter.setRate(rate);
        WindowCounter counter;
        constexpr Duration kStep = 1ms;
        constexpr Duration kTime = 60s;
        for (Duration at{}; at < kTime; at += kStep) {
            while (limiter.tryTake()) {
                counter.add(time.clock.now());
            }
            time.advance(kStep);
        }
        const double allowed = rate * toSeconds(kWindow) + kSlack;
        BOOST_TEST(counter.most() <= allowed, rate << ": " << counter.most());
        BOOST_TEST(static_cast<double>(counter.total()) >= std::floor(0.98 * rate * toSeconds(kTime)), rate);
        BOOST_TEST(counter.total() > 0U, rate << ": some request has to find out whether the limit has ended");
    }
}

// Saved tokens are bounded, whatever the pause, and are lost when the limit falls.
BOOST_AUTO_TEST_CASE(a_pause_or_a_lower_limit_leaves_no_burst) {
    tests::VirtualTime time;
    relay::RateLimiter limiter(time.clock);
    const auto takeAll = [&limiter] {
        int taken = 0;
        while (limiter.tryTake()) {
            ++taken;
        }
        return taken;
    };
    limiter.setRate(100);
    BOOST_TEST(takeAll() == 0);
    time.advance(3600s);
    BOOST_TEST(takeAll() == 5);
    time.advance(3600s);
    limiter.setRate(0.3);
    BOOST_TEST(takeAll() == 2);
    limiter.setRate(std::nullopt);
    BOOST_TEST(limiter.tryTake());
    BOOST_TEST((limiter.waitBehind(100) == Duration::zero()));
    limiter.setRate(100);
    BOOST_TEST(takeAll() == 0);
}

BOOST_AUTO_TEST_CASE(what_could_not_wait_is_taken_from_what_follows) {
    tests::VirtualTime time;
    relay::RateLimiter limiter(time.clock);
    limiter.setRate(10);
    limiter.takeAnyway();
    limiter.takeAnyway();
    time.advance(250ms);
    BOOST_TEST(!limiter.tryTake());
    time.advance(60ms);
    BOOST_TEST(limiter.tryTake());
    limiter.returnToken();
    BOOST_TEST(limiter.tryTake());
}

BOOST_AUTO_TEST_CASE(a_queue_paces_its_requests_and_rejects_at_once_what_would_wait_too_long) {
    tests::VirtualTime time;
    InstanceQueue queue(time.clock, {});
    queue.setLimit(100);
    queue.setRateLimit(10);
    std::vector<TimePoint> admitted;
    int rejected = 0;
    const auto enter = [&](Duration max_wait) {
        const auto now = time.clock.now();
        queue.enter({now, now + max_wait}, [&](InstanceQueue::Decision decision) {
            if (decision == InstanceQueue::Decision::kAdmitted) {
                admitted.push_back(time.clock.now());
            } else {
                ++rejected;
            }
        });
    };
    const auto start = time.clock.now();
    enter(50ms);  // The first token takes 100 ms.
    BOOST_TEST(rejected == 1);
    for (int number = 0; number < 5; ++number) {
        enter(350ms);
    }
    BOOST_TEST(rejected == 3);
    BOOST_TEST(queue.load().waiting == 3U);
    BOOST_TEST((queue.load().rate_wait > 390ms));
    time.advance(1s);
    BOOST_REQUIRE(admitted.size() == 3U);
    for (std::size_t number = 0; number < admitted.size(); ++number) {
        const auto due = start + 100ms * (number + 1);
        BOOST_TEST((admitted[number] >= due && admitted[number] < due + 5ms), number);
    }
    BOOST_TEST(rejected == 3);
}

BOOST_AUTO_TEST_CASE(requests_that_wait_go_at_once_when_the_limit_ends) {
    tests::VirtualTime time;
    InstanceQueue queue(time.clock, {});
    queue.setLimit(100);
    queue.setRateLimit(1);
    int admitted = 0;
    for (int number = 0; number < 3; ++number) {
        queue.enter({time.clock.now(), time.clock.now() + 5s}, [&admitted](InstanceQueue::Decision decision) {
            admitted += decision == InstanceQueue::Decision::kAdmitted ? 1 : 0;
        });
    }
    BOOST_TEST(admitted == 0);
    queue.setRateLimit(std::nullopt);
    BOOST_TEST(admitted == 3);
}

// A limited instance must not look idle.
BOOST_AUTO_TEST_CASE(the_capacity_of_a_limited_instance_is_what_its_rate_fills) {
    const relay::QueueLoad unlimited{0, 0, 20, 50ms};
    BOOST_TEST(unlimited.capacity() == 20);
    const relay::QueueLoad limited{0, 0, 20, 50ms, 4, {}};
    BOOST_TEST(limited.capacity() == 0.2);
    const relay::QueueLoad high{0, 0, 20, 50ms, 4000, {}};
    BOOST_TEST(high.capacity() == 20);
}

BOOST_AUTO_TEST_SUITE_END()
