/// Balancing by pace: load patterns of instances with different and changing speeds, replayed against the selectors of
/// many entries and the queues of the relays.

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "src/balancing/relay_cost.h"
#include "tests/unit/balancing/fleet_model.h"

using namespace dewcrank;
using tests::FleetModel;
using tests::ModelOptions;

namespace {

constexpr Duration kObjective = 60ms;  ///< Of a request with a mean service time of 30 ms at a usual instance.
constexpr Duration kWarmUp = 2s;
constexpr Duration kTail = 300ms;  ///< Requests sent in the last part of a run may not have ended.
constexpr Duration kWindow = 50ms;

ModelOptions optionsFor(std::size_t instances, std::size_t entries, bool pace) {
    ModelOptions options;
    options.instance_zones = tests::inTurn(instances, {"north"});
    options.entry_zones = tests::inTurn(entries, {"north"});
    options.pace = pace;
    return options;
}

void startLoad(FleetModel* model, double load) {
    const double rate = model->capacity() * load;
    model->setDemand("north", [rate](TimePoint) { return rate; });
    model->runFor(kWarmUp);
}

/// Speeds from 0.5 to 1.6 of the mean.
tests::ModelStats unevenSpeeds(bool pace, Duration report_age) {
    constexpr std::size_t kInstances = 10;
    auto options = optionsFor(kInstances, 20, pace);
    options.report_age = report_age;
    FleetModel model(options);
    for (std::size_t index = 0; index < kInstances; ++index) {
        model.setSpeed(index, 0.5 + 1.1 * static_cast<double>(index) / (kInstances - 1));
    }
    startLoad(&model, 0.95);
    const auto begin = model.now();
    model.runFor(4s);
    return model.stats(begin, model.now() - kTail, kObjective);
}

/// 15 % of the instances are slowed by a factor of 2.5, others every 0.6 s.
tests::ModelStats slowedInTurn(bool pace, Duration report_age) {
    constexpr std::size_t kInstances = 20;
    auto options = optionsFor(kInstances, 20, pace);
    options.report_age = report_age;
    FleetModel model(options);
    startLoad(&model, 0.85);
    const auto begin = model.now();
    adapters::SeededRandom random(5);
    for (int change = 0; change < 7; ++change) {
        std::set<std::size_t> slowed;
        while (slowed.size() < 3) {
            slowed.insert(random.below(kInstances));
        }
        for (std::size_t index = 0; index < kInstances; ++index) {
            model.setSlowdown(index, slowed.contains(index) ? 2.5 : 1);
        }
        model.runFor(600ms);
    }
    return model.stats(begin, model.now() - kTail, kObjective);
}

/// Result of an instance that is five times slower for some seconds.
struct SlowInstanceResult {
    tests::ModelStats slow;
    double share_in_next_second = 0;  ///< Of the instance, after it has recovered.
    double share_later = 0;
};

SlowInstanceResult oneSlowInstance(bool pace, bool names_pace) {
    auto options = optionsFor(6, 12, pace);
    options.names_pace = names_pace;
    FleetModel model(options);
    startLoad(&model, 0.7);
    model.setSlowdown(0, 5);
    SlowInstanceResult result;
    const auto begin = model.now();
    model.runFor(4s);
    result.slow = model.stats(begin, model.now() - kTail, kObjective);
    model.setSlowdown(0, 1);
    const auto recovered = model.now();
    model.runFor(3s);
    result.share_in_next_second = model.stats(recovered, recovered + 1s, kObjective).shareOf(0);
    result.share_later = model.stats(recovered + 1s, model.now() - kTail, kObjective).shareOf(0);
    return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_balancing_pace)

// Guards against slots that stay free at slow instances while requests wait at fast ones, and against a weight that
// differs from the utilization for an instance of usual pace.
BOOST_AUTO_TEST_CASE(slow_instances_hold_fewer_requests_and_fill_up_like_others) {
    const balancing::RelayCostKnobs knobs;
    for (const double utilization : {0.0, 0.3, 0.7, 0.95, 1.0, 1.4}) {
        BOOST_TEST(std::abs(balancing::pacedCost(utilization, 1, knobs) - utilization) < 1e-9);
    }
    BOOST_TEST(balancing::pacedCost(0.4, 2.5, knobs) > balancing::pacedCost(0.6, 1, knobs));
    BOOST_TEST(balancing::pacedCost(0.4, 0.5, knobs) < balancing::pacedCost(0.3, 1, knobs));
    for (const double time : {0.25, 1.0, 4.0}) {
        BOOST_TEST(std::abs(balancing::pacedCost(1, time, knobs) - 1) < 1e-9);
        for (double utilization = 0; utilization < 1.5; utilization += 0.01) {
            BOOST_TEST(balancing::pacedCost(utilization + 0.01, time, knobs) >
                       balancing::pacedCost(utilization, time, knobs));
        }
    }
}

BOOST_AUTO_TEST_CASE(the_relative_time_is_bounded_and_fades_to_one) {
    const balancing::RelayCostKnobs knobs;
    BOOST_TEST(balancing::boundedRelativeTime(50, 1, knobs) == 4);
    BOOST_TEST(balancing::boundedRelativeTime(0.01, 1, knobs) == 0.25);
    BOOST_TEST(balancing::boundedRelativeTime(3, 0.5, knobs) == 2);
    BOOST_TEST(balancing::boundedRelativeTime(3, 0, knobs) == 1);
}

// Guards against instances that get the same number of requests at once whatever their speed.
BOOST_AUTO_TEST_CASE(uneven_instances_meet_the_objective_also_with_old_reports) {
    for (const auto age : {0ms, 500ms, 2000ms}) {
        const auto off = unevenSpeeds(false, age);
        const auto on = unevenSpeeds(true, age);
        BOOST_TEST(on.withinShare() > 0.93, age.count() << " ms: " << on.withinShare());
        BOOST_TEST(on.withinShare() > off.withinShare() + 0.02,
                   age.count() << " ms: off " << off.withinShare() << ", on " << on.withinShare());
        BOOST_TEST(on.attempts < 1.01 * on.requests, "attempts " << on.attempts << " of " << on.requests);
    }
}

// Guards against entries that follow a slowdown only after the slowed instances have filled up.
BOOST_AUTO_TEST_CASE(instances_that_are_slowed_in_turn_do_not_break_the_objective) {
    for (const auto age : {0ms, 500ms, 2000ms}) {
        const auto off = slowedInTurn(false, age);
        const auto on = slowedInTurn(true, age);
        BOOST_TEST(on.withinShare() > 0.91, age.count() << " ms: " << on.withinShare());
        BOOST_TEST(on.withinShare() > off.withinShare() + 0.01,
                   age.count() << " ms: off " << off.withinShare() << ", on " << on.withinShare());
    }
}

// Guards against a slow instance that stays full, and against one that gets nothing and whose recovery goes unnoticed.
BOOST_AUTO_TEST_CASE(a_slow_instance_keeps_a_small_share_until_it_recovers) {
    const auto off = oneSlowInstance(false, true);
    for (const bool names_pace : {true, false}) {
        const auto on = oneSlowInstance(true, names_pace);
        BOOST_TEST(on.slow.shareOf(0) < 0.7 * off.slow.shareOf(0),
                   "off " << off.slow.shareOf(0) << ", on " << on.slow.shareOf(0));
        BOOST_TEST(on.slow.shareOf(0) > 0.003, on.slow.shareOf(0));
        BOOST_TEST(on.slow.withinShare() > off.slow.withinShare() + 0.01);
        BOOST_TEST(on.share_in_next_second > 0.09, on.share_in_next_second);
        BOOST_TEST(on.share_later > 0.14, on.share_later);
    }
}

/// @return the greatest share of a window's requests that one instance got, by its fair share.
double herdingOf(bool pace, std::size_t instances, Duration report_age, tests::ModelStats* stats) {
    auto options = optionsFor(instances, 20, pace);
    options.report_age = report_age;
    options.slots = instances > 100 ? 10 : 20;
    FleetModel model(options);
    startLoad(&model, 0.8);
    const auto begin = model.now();
    model.runFor(instances > 100 ? Duration(800ms) : Duration(3s));
    *stats = model.stats(begin, model.now() - kTail, kObjective);
    return model.herding(begin, model.now() - kTail, kWindow);
}

// Guards against entries that all choose the instance whose last report was the best.
BOOST_AUTO_TEST_CASE(entries_do_not_choose_the_same_instance_whatever_the_age_of_reports) {
    double most_off = 0;
    double least_within_off = 1;
    for (const std::size_t instances : {2U, 4U, 300U}) {
        for (const auto age : {0ms, 100ms, 1000ms, 2000ms}) {
            tests::ModelStats off;
            most_off = std::max(most_off, herdingOf(false, instances, age, &off));
            least_within_off = std::min(least_within_off, off.withinShare());
            tests::ModelStats on;
            const double most = herdingOf(true, instances, age, &on);
            const auto label = std::to_string(instances) + " instances, " + std::to_string(age.count()) + " ms: ";
            BOOST_TEST(most < 2, label << most);
            BOOST_TEST(on.withinShare() > 0.99, label << on.withinShare());
        }
    }
    BOOST_TEST(least_within_off < 0.97, "without the part: herding " << most_off << ", within " << least_within_off);
}

// Guards against 80 entries that all fill an instance which has just started, and against one that is not used.
BOOST_AUTO_TEST_CASE(a_new_cold_instance_is_used_within_seconds_and_not_flooded) {
    const auto result = [](bool pace) {
        FleetModel model(optionsFor(6, 80, pace));
        model.setUp(5, false);
        startLoad(&model, 0.7);
        const auto begin = model.now();
        model.setSlowdown(5, 2);
        model.setUp(5, true, 3s);
        model.runFor(3s);
        model.setSlowdown(5, 1);
        model.runFor(2s);
        const auto first = model.stats(begin, begin + 500ms, kObjective);
        const auto cold = model.stats(begin, begin + 3s, kObjective);
        const auto warm = model.stats(begin + 3s, model.now() - kTail, kObjective);
        BOOST_TEST_MESSAGE("pace " << pace << ": share in 3 s " << cold.shareOf(5) << ", then " << warm.shareOf(5)
                                   << ", within " << cold.withinShare() << ", attempts in 0.5 s "
                                   << first.attempts / first.requests << ", herding "
                                   << model.herding(begin, begin + 500ms, kWindow));
        return std::make_tuple(first, cold, warm);
    };
    const auto [first, cold, warm] = result(true);
    BOOST_TEST(cold.shareOf(5) > 0.02, cold.shareOf(5));
    BOOST_TEST(cold.shareOf(5) < 0.12, cold.shareOf(5));
    BOOST_TEST(warm.shareOf(5) > 0.11, warm.shareOf(5));
    BOOST_TEST(first.attempts < 1.02 * first.requests, first.attempts / first.requests);
    const auto [first_off, cold_off, warm_off] = result(false);
    BOOST_TEST(first_off.attempts > 1.02 * first_off.requests, first_off.attempts / first_off.requests);
}

// Guards against a relay that goes on to queue, by the mean of former responses, what its slowed instance cannot start
// in time.
BOOST_AUTO_TEST_CASE(a_relay_rejects_at_once_what_its_slowed_instance_cannot_start) {
    for (const bool uses_pace : {false, true}) {
        tests::VirtualTime time;
        relay::QueueKnobs knobs;
        knobs.uses_pace = uses_pace;
        relay::InstanceQueue queue(time.clock, knobs);
        queue.setLimit(2);
        const auto enter = [&] {
            auto decision = relay::InstanceQueue::Decision::kTimedOut;
            queue.enter({time.clock.now(), time.clock.now() + 45ms}, [&](auto result) { decision = result; });
            return decision;
        };
        for (int response = 0; response < 200; ++response) {
            enter();
            time.advance(20ms);
            queue.onLoadReport({1, 0, 2, 1});
            queue.leave(20ms);
        }
        enter();
        enter();
        queue.onLoadReport({2, 0, 2, 5});
        const bool is_rejected = enter() == relay::InstanceQueue::Decision::kWaitTooLong;
        BOOST_TEST(is_rejected == uses_pace);
    }
}

BOOST_AUTO_TEST_SUITE_END()
