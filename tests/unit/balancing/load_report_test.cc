/// Loads that instances name, and the pace that a relay derives from them and from measured times.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "src/balancing/load_report.h"
#include "src/balancing/pace_estimate.h"
#include "src/relay/instance_queue.h"
#include "src/relay/instance_signals.h"
#include "src/relay/signal_handler.h"
#include "tests/support/fakes.h"
#include "tests/support/mutation.h"

using namespace dewcrank;
using balancing::LoadReport;
using balancing::PaceEstimate;

BOOST_AUTO_TEST_SUITE(unit_balancing_load_report)

BOOST_AUTO_TEST_CASE(loads_have_three_or_four_numbers_in_range) {
    const auto plain = balancing::parseLoadReport("12,3,394");
    BOOST_REQUIRE(plain.has_value());
    BOOST_TEST(plain->running == 12U);
    BOOST_TEST(plain->waiting == 3U);
    BOOST_TEST(plain->slots == 394U);
    BOOST_TEST(!plain->pace.has_value());
    const auto paced = balancing::parseLoadReport(" 0, 0 ,1,250 ");
    BOOST_REQUIRE(paced.has_value());
    BOOST_TEST(paced->pace.value() == 2.5);
    BOOST_TEST(balancing::parseLoadReport("1,2,1000000,10000")->pace.value() == 100);
    BOOST_TEST(balancing::parseLoadReport("1,2,3,112.5")->pace.value() == 1.125);
    for (const std::string text : {"",
                                   ",",
                                   "1",
                                   "1,2",
                                   "1,2,",
                                   "1,2,3,",
                                   ",2,3",
                                   "1,2,3,4,5",
                                   "-1,2,3",
                                   "1,-2,3",
                                   "1,2,-3",
                                   "1,2,3,-4",
                                   "1,2,0",
                                   "1,2,3,0",
                                   "1,2,3,10001",
                                   "1,2,1000001",
                                   "1000001,2,3",
                                   "x,2,3",
                                   "1,2,3x",
                                   "1,2,3,1e2",
                                   "1,2,3,inf",
                                   "1,2,3,nan",
                                   "1.5,2,3",
                                   "1;2;3",
                                   "1,2,0x10",
                                   "99999999999999999999,2,3",
                                   "+1,2,3"}) {
        BOOST_TEST(!balancing::parseLoadReport(text).has_value(), "'" << text << "'");
    }
}

// Guards against reads beyond the text and against values out of range in the estimate.
BOOST_AUTO_TEST_CASE(spoiled_loads_are_rejected_or_in_range) {
    tests::Mutator mutator(7, {",", "-", "0", "100000000", "."});
    std::size_t accepted = 0;
    for (int round = 0; round < 20000; ++round) {
        const auto report = balancing::parseLoadReport(mutator.mutated("12,3,394,250"));
        if (report) {
            ++accepted;
            BOOST_TEST((report->slots >= 1 && report->slots <= 1000000));
            BOOST_TEST((report->running <= 1000000 && report->waiting <= 1000000));
            BOOST_TEST((!report->pace || (*report->pace > 0 && *report->pace <= 100)));
        }
    }
    BOOST_TEST(accepted > 100);
}

// Guards against an instance that floods the log, or sets its pace, with values that cannot be used.
BOOST_AUTO_TEST_CASE(invalid_loads_are_counted_and_logged_once_an_incarnation) {
    tests::VirtualTime time;
    tests::RecordingLog log;
    instance::LocalInstance local(time.clock, 8s);
    relay::QueueKnobs knobs;
    knobs.uses_pace = true;
    relay::InstanceQueue queue(time.clock, knobs);
    const HeaderNames names;
    relay::SignalHandler handler(time.clock, log, local, queue, names, {});
    HttpResponse response;
    const auto respond = [&](const std::string& value) {
        response.headers.set(names.server_load, value);
        handler.onResponse(response, instance::incarnationName(local.record()), time.clock.now(), "r");
    };
    queue.setLimit(2);
    queue.enter({time.clock.now(), time.clock.now() + 1s}, [](auto) {});
    respond("1,0,2,250");
    queue.leave(50ms);
    BOOST_TEST(queue.load().pace == 2.5);
    BOOST_TEST(log.lines.empty());
    for (int count = 0; count < 5; ++count) {
        respond("1,0,2,0");
    }
    BOOST_TEST(handler.invalidLoads() == 5U);
    BOOST_TEST(log.lines.size() == 1U);
    BOOST_TEST(log.lines.at(0).starts_with("event=server_load_invalid"));
    BOOST_TEST(queue.load().pace == 2.5);
    handler.onNewIncarnation();
    BOOST_TEST(queue.load().pace == 0);
    respond("x");
    BOOST_TEST(log.lines.size() == 2U);
    BOOST_TEST(handler.unreadHeaders() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr Duration kUsual = 30ms;

/// One instance that runs `kRunning` requests at a time, and the estimate of its relay.
struct PaceFixture {
    /// Runs the instance for some time. @param slowdown of its service time. @param is_named responses name the pace.
    void run(Duration length, double slowdown, bool is_named) {
        const auto end = now + length;
        const auto step = std::chrono::duration_cast<Duration>(kUsual * slowdown) / 10;
        for (; now < end; now += step) {
            if (is_named) {
                estimate.onReport(now, {10, 0, 10, slowdown});
            }
            const double share = 0.5 + random.unit();
            estimate.onServiceTime(now, fromSeconds(toSeconds(kUsual) * share * slowdown));
        }
    }
    /// @return the expected service time by the usual one of the instance.
    double present() {
        const auto pace = estimate.at(now);
        return pace->pace * toSeconds(pace->usual_time) / toSeconds(kUsual);
    }

    TimePoint now{1s};
    adapters::SeededRandom random{3};
    PaceEstimate estimate{balancing::PaceKnobs{}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_balancing_pace_estimate, PaceFixture)

BOOST_AUTO_TEST_CASE(nothing_is_known_before_the_first_response_and_of_another_incarnation) {
    BOOST_TEST(!estimate.at(now).has_value());
    run(1s, 1, true);
    BOOST_TEST(estimate.at(now).has_value());
    estimate.reset();
    BOOST_TEST(!estimate.at(now).has_value());
}

// Guards against an estimate that follows a change only once slow responses have ended.
BOOST_AUTO_TEST_CASE(a_named_pace_counts_from_the_first_response_that_names_it) {
    run(2s, 1, true);
    BOOST_TEST(std::abs(present() - 1) < 0.15);
    estimate.onReport(now, {10, 0, 10, 2.5});
    BOOST_TEST(std::abs(present() - 2.5) < 0.4);
    BOOST_TEST(estimate.at(now)->pace == 2.5);
    run(600ms, 2.5, true);
    BOOST_TEST(std::abs(present() - 2.5) < 0.4);
    run(600ms, 1, true);
    BOOST_TEST(std::abs(present() - 1) < 0.2);
}

// Guards against an instance that names a change which its service times do not show.
BOOST_AUTO_TEST_CASE(measured_times_correct_a_named_pace) {
    run(2s, 1, true);
    for (int response = 0; response < 300; ++response, now += 3ms) {
        estimate.onReport(now, {10, 0, 10, 4.0});
        estimate.onServiceTime(now, kUsual);
    }
    BOOST_TEST(std::abs(present() - 1) < 0.15);
}

BOOST_AUTO_TEST_CASE(without_a_named_pace_the_measured_times_tell) {
    run(5s, 1, false);
    run(500ms, 5, false);
    BOOST_TEST(present() > 3.5);
    BOOST_TEST(estimate.at(now)->pace > 3);
    run(600ms, 1, false);
    BOOST_TEST(present() < 1.5);
}

BOOST_AUTO_TEST_CASE(the_age_is_that_of_the_last_response) {
    run(1s, 1, true);
    const auto age = estimate.at(now)->age;
    BOOST_TEST((estimate.at(now + 300ms)->age == age + 300ms));
    BOOST_TEST(estimate.at(now + 5s)->pace < 1.5);
}

BOOST_AUTO_TEST_SUITE_END()
