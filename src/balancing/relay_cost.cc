#include "src/balancing/relay_cost.h"

#include <algorithm>

namespace dewcrank::balancing {

namespace {

/// Weight of what has changed since a report by estimate. At 1 the requests of the other entries, which are only known
/// on average, make costs differ by chance, so that slow instances fill up; at 0 entries choose the same relays.
constexpr double kChangeWeight = 0.5;

}  // namespace

/// The other entries are assumed to have sent as much since the report as this one, in proportion to their traffic, and
/// requests to have ended at the pace of the instance: while nothing changes, the two balance. Requests of this entry
/// that ended without a report are not multiplied.
double expectedUtilization(const RelayEstimate& estimate) {
    const double sent = estimate.sent_since * (estimate.sent_since > 0 ? estimate.traffic_factor : 1);
    const double change = sent - estimate.reported * estimate.ended_share;
    const double known = estimate.reported + kChangeWeight * change;
    const double assumed = estimate.expected + kChangeWeight * sent;
    const double load = estimate.freshness * known + (1 - estimate.freshness) * assumed;
    return std::max(0.0, load) / std::max(1.0, estimate.slots);
}

double boundedRelativeTime(double relative_time, double freshness, const RelayCostKnobs& knobs) {
    const double bounded = std::clamp(relative_time, knobs.min_relative_time, knobs.max_relative_time);
    return 1 + (bounded - 1) * std::clamp(freshness, 0.0, 1.0);
}

double pacedCost(double utilization, double relative_time, const RelayCostKnobs& knobs) {
    if (utilization >= 1) {
        return 1 + (utilization - 1) * relative_time;
    }
    const double weighted = utilization * relative_time / (1 + utilization * (relative_time - 1));
    return weighted + knobs.idle_time_cost * (relative_time - 1) * (1 - weighted);
}

double zonePreference(double own_utilization, double other_utilization, const RelayCostKnobs& knobs) {
    const double room = (knobs.full_from - own_utilization) / (knobs.full_from - knobs.room_until);
    const double difference = own_utilization - other_utilization;
    const double closeness = 1 - (difference - knobs.zone_margin) / knobs.zone_range;
    return std::clamp(std::max(room, closeness), 0.0, 1.0);
}

}  // namespace dewcrank::balancing
