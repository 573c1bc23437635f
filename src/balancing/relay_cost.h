/// @file
/// The cost by which an entry compares relays: expected utilization, weighted by pace, and preference for its zone.
#pragma once

namespace dewcrank::balancing {

/// Constants of the cost.
struct RelayCostKnobs {
    bool uses_pace = false;   ///< Utilization is weighted by the relative service time.
    bool uses_zones = false;  ///< The preference for the own zone keeps a lower bound.
    double min_relative_time = 0.25;
    double max_relative_time = 4;
    /// Cost of an idle instance per unit by which its relative service time exceeds 1; falls to zero as the instance
    /// fills. Without it an idle slow instance would be as good as an idle fast one. At 0.3 the recovery of an instance
    /// that names no pace takes more than 3 s to show.
    double idle_time_cost = 0.2;
    /// While the own zone's utilization is below `room_until`, other zones are chosen as at low load; above `full_from`
    /// only their utilization decides. The slots that relays leave free keep utilizations of full instances below 1.
    double room_until = 0.8;
    double full_from = 0.92;
    /// Another zone is as good as the own one from this difference of their utilizations plus `zone_range` on, and is
    /// avoided as at low load below it.
    double zone_margin = 0.05;
    double zone_range = 0.15;
};

/// What an entry knows of one relay.
struct RelayEstimate {
    double reported = 0;        ///< Requests that run or wait, as last reported.
    double sent_since = 0;      ///< Requests in flight of this entry, less those at the report.
    double freshness = 0;       ///< Weight of the report: 1 when it arrives, 0 when it is out of date.
    double ended_share = 0;     ///< Part of the reported requests that has probably ended since, from 0 to 1.
    double expected = 0;        ///< Requests that run or wait at a relay without a report.
    double traffic_factor = 1;  ///< Requests that all entries send for each one of this entry.
    double slots = 1;           ///< Of the instance.
};

/// @return the expected number of requests that run or wait at the relay, per slot.
[[nodiscard]] double expectedUtilization(const RelayEstimate& estimate);

/// @param relative_time service time of the instance divided by the mean of the service. @param freshness of that
/// value, from 0 to 1.
/// @return the factor for `pacedCost`: bounded, and 1 without a value.
[[nodiscard]] double boundedRelativeTime(double relative_time, double freshness, const RelayCostKnobs& knobs);

/// Weighs a utilization by the relative service time. Relays of equal cost below full load have utilizations whose odds
/// u / (1 - u) are inverse to their service times, so that slow instances hold fewer requests and yet no slots stay
/// free while requests wait elsewhere. Above full load the wait is weighted. Equals the utilization for a factor of 1.
[[nodiscard]] double pacedCost(double utilization, double relative_time, const RelayCostKnobs& knobs);

/// @return the part of the preference for the own zone that remains, from 0 to 1: all of it while the own zone has
/// room, and at full load as long as the other zone is not clearly less utilized.
[[nodiscard]] double zonePreference(double own_utilization, double other_utilization, const RelayCostKnobs& knobs);

}  // namespace dewcrank::balancing
