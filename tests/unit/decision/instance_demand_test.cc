#include "src/decision/instance_demand.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

namespace {

/// A steady request rate at an instance that may use 19 slots.
struct DemandCase {
    const char* name;
    int per_second;
    double demand_weight;
    std::uint32_t running;
    Duration waiting_work;
    double least;  ///< Bounds of the admission ratio.
    double most;
};

constexpr std::uint32_t kLimit = 19;
constexpr Duration kTime = 20ms;

decision::ServiceLoad loadOf(const DemandCase& entry, TimePoint* now) {
    decision::InstanceDemand demand{{}};
    demand.onResponse("r", kTime);
    const auto end = *now + 3s;
    const Duration pause = Duration(1s) / entry.per_second;
    for (; *now < end; *now += pause) {
        demand.onArrival(*now, "r", entry.demand_weight);
        demand.onRunning(*now, entry.running);
    }
    return demand.load(*now, {kLimit}, entry.waiting_work);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_decision_instance_demand)

BOOST_AUTO_TEST_CASE(the_ratio_is_capacity_by_demand) {
    const DemandCase cases[] = {
        {"idle", 50, 1, 1, 0ms, 1, 1},
        {"nearly all in use", 900, 1, 18, 0ms, 1, 1},
        {"twice the capacity, nothing rejected yet", 1900, 1, 19, 0ms, 0.46, 0.50},
        {"the same, half rejected at entries", 950, 2, 19, 0ms, 0.46, 0.50},
        {"the same, nine tenths rejected at entries", 190, 10, 19, 0ms, 0.46, 0.50},
        {"the same, with a queue to drain", 950, 2, 19, 4000ms, 0.30, 0.42},
        {"a very long queue leaves a minimum share to new requests", 950, 2, 19, 60000ms, 0.10, 0.20},
        {"limited by another bottleneck", 250, 4, 5, 0ms, 1, 1},
    };
    for (const auto& entry : cases) {
        TimePoint now(100s);
        const auto load = loadOf(entry, &now);
        BOOST_TEST(load.admitRatio() >= entry.least, entry.name << ": " << load.admitRatio());
        BOOST_TEST(load.admitRatio() <= entry.most, entry.name << ": " << load.admitRatio());
    }
}

/// Guards against an admission ratio that lags behind a load step by more than a window, or oscillates after it.
BOOST_AUTO_TEST_CASE(the_ratio_follows_a_load_step_within_a_second) {
    TimePoint now(100s);
    decision::InstanceDemand demand{{}};
    demand.onResponse("r", kTime);
    demand.onRunning(now, kLimit);
    const auto feed = [&](int per_second, Duration time) {
        const auto end = now + time;
        for (; now < end; now += Duration(1s) / per_second) {
            demand.onArrival(now, "r", 1);
        }
        return demand.load(now, {kLimit}, {}).admitRatio();
    };
    BOOST_TEST(feed(900, 2s) == 1);
    const double halfway = feed(3600, 500ms);
    BOOST_TEST(halfway < 0.5);
    for (int tenth = 0; tenth < 30; ++tenth) {
        const double admit_ratio = feed(3600, 600ms);
        BOOST_TEST(admit_ratio > 0.22);
        BOOST_TEST(admit_ratio < 0.32);
    }
    feed(900, 1100ms);
    BOOST_TEST(feed(900, 100ms) == 1);
}

BOOST_AUTO_TEST_CASE(slots_in_use_are_a_mean_over_time) {
    TimePoint now(100s);
    decision::InstanceDemand demand{{}};
    demand.onArrival(now, "r", 1);
    for (int step = 0; step < 20; ++step, now += 100ms) {
        demand.onRunning(now, step % 2 == 0 ? 10 : 0);
    }
    const double busy = demand.load(now, {kLimit}, {}).busy;
    BOOST_TEST(busy > 4.5);
    BOOST_TEST(busy < 5.5);
}

BOOST_AUTO_TEST_CASE(a_rate_limit_counts_as_the_slots_that_it_fills) {
    TimePoint now(100s);
    decision::InstanceDemand demand{{}};
    demand.onResponse("r", kTime);
    const auto end = now + 3s;
    for (; now < end; now += 10ms) {
        demand.onArrival(now, "r", 1);
        demand.onRunning(now, 1);
    }
    constexpr double kRate = 25;  // A quarter of the arrivals.
    const auto load = demand.load(now, {kLimit, kRate}, {});
    BOOST_TEST(load.admitRatio() > 0.22);
    BOOST_TEST(load.admitRatio() < 0.28);
    BOOST_TEST(load.capacity < 1);
    BOOST_TEST(demand.load(now, {kLimit, 1000}, {}).admitRatio() == 1);
}

// There is a report only when there was an arrival: counting it would overestimate the demand at a low rate.
BOOST_AUTO_TEST_CASE(the_reporting_request_does_not_count_as_demand_at_a_rate_limit) {
    TimePoint now(100s);
    decision::InstanceDemand demand{{}};
    demand.onResponse("r", kTime);
    demand.onArrival(now, "r", 1);
    const auto arrival = demand.onArrival(now + 900ms, "r", 2);
    now += 1s;
    const double all = demand.load(now, {kLimit, 1}, {}).demand;
    BOOST_TEST(demand.load(now, {kLimit, 1}, {}, arrival).demand == all / 3, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(demand.load(now, {kLimit}, {}, arrival).demand == demand.load(now, {kLimit}, {}).demand);
    demand.restart(now);
    BOOST_TEST(demand.load(now, {kLimit, 1}, {}, arrival).demand == 0);
}

// Guards against an instance whose demand of before a limit makes entries reject a whole service.
BOOST_AUTO_TEST_CASE(a_restart_forgets_the_arrivals_so_far) {
    TimePoint now(100s);
    decision::InstanceDemand demand{{}};
    demand.onResponse("r", kTime);
    demand.onArrival(now, "r", 1000);
    demand.restart(now);
    BOOST_TEST(demand.load(now, {kLimit}, {}).demand == 0);
    demand.onArrival(now, "r", 1);
    BOOST_TEST(demand.load(now, {kLimit}, {}).demand > 0);
}

BOOST_AUTO_TEST_SUITE_END()
