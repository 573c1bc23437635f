/// @file
/// What an entry knows of a whole service from the reports of its relays.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "src/balancing/timed_mean.h"
#include "src/base/time.h"

namespace dewcrank::balancing {

/// Constants of the view of a service.
struct ServiceViewKnobs {
    Duration mean_time = 500ms;       ///< Time constant of all means.
    Duration zone_memory = 2s;        ///< A zone's utilization falls linearly to zero in this time without a report.
    double max_traffic_factor = 100;  ///< Bounds the estimate from few reports.
};

/// A report of a relay as the entry sees it.
struct RelayReport {
    std::size_t zone = 0;                  ///< Number of the zone, from 0.
    double load = 0;                       ///< Requests that run or wait at the relay.
    double slots = 1;                      ///< Of the instance.
    double own_in_flight = 0;              ///< Requests of this entry among them.
    std::optional<Duration> service_time;  ///< Present time of a request at the instance.
};

/// What a service looks like at one time, for the choice among its relays.
struct ServiceValues {
    /// Requests that all entries together send for each one that this entry sends; at least 1.
    double traffic_factor = 1;
    double service_seconds = 0;            ///< Mean service time; 0: not known.
    double utilization = 0;                ///< Mean that relays have reported recently.
    std::vector<double> zone_utilization;  ///< The same by zone.

    /// @return the service time divided by the mean of the service; 1 if that is not known.
    [[nodiscard]] double relativeTime(Duration service_time) const;
    /// @return the utilization of a zone; of all relays if the zone has never been heard of.
    [[nodiscard]] double utilizationOf(std::size_t zone) const;
};

/// Means over the relays of one service. Values for relays without a recent report are derived from it.
class ServiceView {
public:
    explicit ServiceView(ServiceViewKnobs knobs);

    void onReport(TimePoint now, const RelayReport& report);
    /// @return the values at this time; valid until the next call.
    const ServiceValues& valuesAt(TimePoint now);

private:
    [[nodiscard]] double recentMean(TimePoint now, const TimedMean& mean) const;

    ServiceViewKnobs knobs_;
    TimedMean load_;
    TimedMean own_in_flight_;
    TimedMean service_time_;  ///< Seconds.
    TimedMean utilization_;
    std::vector<TimedMean> zone_utilization_;  ///< By zone; empty for zones without a report.
    ServiceValues values_;
};

}  // namespace dewcrank::balancing
