/// Balancing by zone: zones with unequal numbers of instances and demand that swings, under full load.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <numbers>
#include <string>
#include <vector>

#include "src/balancing/relay_cost.h"
#include "tests/unit/balancing/fleet_model.h"

using namespace dewcrank;
using tests::FleetModel;
using tests::ModelOptions;

namespace {

constexpr Duration kObjective = 200ms;  ///< Of a request with a mean service time of 100 ms.
constexpr Duration kTail = 300ms;
constexpr double kPeriodSeconds = 13;
constexpr double kSwing = 0.55;
const std::vector<std::string> kZones = {"a", "b", "c", "d"};

/// Zone "a" has two instances, the others have one each.
double instancesOf(std::size_t zone) {
    return zone == 0 ? 2 : 1;
}

/// Demand of a zone by the capacity of one instance, around `load` times the capacity of the zone.
double demandAt(std::size_t zone, double load, double swing, TimePoint now) {
    const double phase = static_cast<double>(zone) / static_cast<double>(kZones.size());
    const double angle = 2 * std::numbers::pi * (toSeconds(now.time_since_epoch()) / kPeriodSeconds + phase);
    return instancesOf(zone) * load * (1 + swing * std::sin(angle));
}

ModelOptions zoneOptions(bool zones, bool pace) {
    ModelOptions options;
    options.instance_zones = {"a", "a", "b", "c", "d"};
    options.entry_zones = tests::inTurn(20, kZones);
    options.slots = 100;
    options.work_time = 100ms;
    options.zones = zones;
    options.pace = pace;
    return options;
}

void startDemand(FleetModel* model, double load, double swing) {
    const double unit = model->capacity() / 5;
    for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
        model->setDemand(kZones[zone], [=](TimePoint now) { return unit * demandAt(zone, load, swing, now); });
    }
    model->runFor(2s);
}

/// @return the share of all requests for which the own zone has no instance time.
double excessShare(double load, TimePoint begin, TimePoint end) {
    double excess = 0;
    double demand = 0;
    for (auto at = begin; at < end; at += 10ms) {
        for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
            const double needed = demandAt(zone, load, kSwing, at);
            excess += std::max(0.0, needed - instancesOf(zone));
            demand += needed;
        }
    }
    return excess / demand;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_balancing_zone)

BOOST_AUTO_TEST_CASE(the_preference_ends_where_the_own_zone_is_full_and_the_other_one_is_not) {
    const balancing::RelayCostKnobs knobs;
    BOOST_TEST(balancing::zonePreference(0.5, 0.1, knobs) == 1);
    BOOST_TEST(balancing::zonePreference(0.95, 0.95, knobs) == 1);
    BOOST_TEST(balancing::zonePreference(1.5, 1.5, knobs) == 1);
    BOOST_TEST(balancing::zonePreference(0.95, 0.5, knobs) == 0);
    BOOST_TEST(balancing::zonePreference(1.5, 1.2, knobs) == 0);
    const double half = balancing::zonePreference(0.95, 0.82, knobs);
    BOOST_TEST((half > 0.1 && half < 0.9), half);
}

// Guards against zones that spread their requests over all zones as soon as all are busy.
BOOST_AUTO_TEST_CASE(only_about_the_excess_of_a_zone_is_sent_to_others) {
    for (const double load : {0.6, 0.8, 0.9}) {
        for (const bool zones : {false, true}) {
            FleetModel model(zoneOptions(zones, zones));
            startDemand(&model, load, kSwing);
            const auto begin = model.now();
            model.runFor(13s);
            const auto stats = model.stats(begin, model.now() - kTail, kObjective);
            const double excess = excessShare(load, begin, model.now());
            const auto label = "load " + std::to_string(load) + (zones ? " on: " : " off: ");
            BOOST_TEST_MESSAGE(label << "excess " << excess << ", sent to others " << stats.remoteShare() << ", within "
                                     << stats.withinShare());
            if (zones) {
                BOOST_TEST(stats.remoteShare() < excess + 0.1, label << stats.remoteShare() << " of " << excess);
                BOOST_TEST(stats.remoteShare() >= 0.8 * excess, label << stats.remoteShare() << " of " << excess);
                BOOST_TEST(stats.withinShare() > 0.99, label << stats.withinShare());
                BOOST_TEST(stats.served > 0.999 * stats.requests, label << stats.served / stats.requests);
            } else if (load > 0.7) {
                BOOST_TEST(stats.remoteShare() > excess + 0.1, label << stats.remoteShare() << " of " << excess);
            }
        }
    }
}

// Guards against a preference that keeps the requests of a zone which has lost half of its instances.
BOOST_AUTO_TEST_CASE(a_zone_that_loses_half_of_its_instances_hands_over_the_rest) {
    FleetModel model(zoneOptions(true, true));
    startDemand(&model, 0.7, 0);
    model.setUp(1, false);
    const auto lost = model.now();
    model.runFor(3s);
    const auto halved = model.stats(lost + 500ms, model.now() - kTail, kObjective);
    BOOST_TEST(halved.served > 0.995 * halved.requests, halved.served / halved.requests);
    BOOST_TEST(halved.withinShare() > 0.97, halved.withinShare());
    BOOST_TEST(halved.remoteShare() < 0.30, halved.remoteShare());  // 0.4 of the demand, half of the zone's capacity.
    model.setUp(1, true);
    const auto back = model.now();
    model.runFor(4s);
    const auto whole = model.stats(back + 2s, model.now() - kTail, kObjective);
    BOOST_TEST(whole.remoteShare() < 0.05, whole.remoteShare());
    BOOST_TEST(whole.withinShare() > 0.98, whole.withinShare());
}

// Guards against values of before a partition that direct requests after it.
BOOST_AUTO_TEST_CASE(a_zone_that_is_cut_off_serves_itself_and_exchanges_its_excess_again_when_it_returns) {
    FleetModel model(zoneOptions(true, true));
    startDemand(&model, 0.8, kSwing);
    model.setCut("b", true);
    const auto cut = model.now();
    model.runFor(6s);
    const auto during = model.stats(cut, model.now() - kTail, kObjective);
    BOOST_TEST(during.served > 0.9 * during.requests, during.served / during.requests);
    model.setCut("b", false);
    const auto back = model.now();
    model.runFor(13s);
    const auto after = model.stats(back + 1s, model.now() - kTail, kObjective);
    BOOST_TEST(after.served > 0.999 * after.requests, after.served / after.requests);
    BOOST_TEST(after.withinShare() > 0.99, after.withinShare());
    BOOST_TEST(after.remoteShare() < 0.2, after.remoteShare());
}

BOOST_AUTO_TEST_SUITE_END()
