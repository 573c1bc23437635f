#include "src/balancing/service_view.h"

#include <algorithm>

namespace dewcrank::balancing {

ServiceView::ServiceView(ServiceViewKnobs knobs)
    : knobs_(knobs),
      load_(knobs.mean_time),
      own_in_flight_(knobs.mean_time),
      service_time_(knobs.mean_time),
      utilization_(knobs.mean_time) {}

void ServiceView::onReport(TimePoint now, const RelayReport& report) {
    const double utilization = report.load / std::max(1.0, report.slots);
    load_.add(now, report.load);
    own_in_flight_.add(now, report.own_in_flight);
    utilization_.add(now, utilization);
    while (zone_utilization_.size() <= report.zone) {
        zone_utilization_.emplace_back(knobs_.mean_time);
    }
    zone_utilization_[report.zone].add(now, utilization);
    if (report.service_time) {
        service_time_.add(now, toSeconds(*report.service_time));
    }
}

double ServiceView::recentMean(TimePoint now, const TimedMean& mean) const {
    const double age = static_cast<double>((now - mean.lastAdded()).count());
    return mean.mean() * std::clamp(1 - age / static_cast<double>(knobs_.zone_memory.count()), 0.0, 1.0);
}

/// In the traffic factor, one is added to both counts, so that few requests in flight do not yield a high factor by
/// chance.
const ServiceValues& ServiceView::valuesAt(TimePoint now) {
    values_.traffic_factor =
        std::clamp((load_.mean() + 1) / (own_in_flight_.mean() + 1), 1.0, knobs_.max_traffic_factor);
    values_.service_seconds = service_time_.mean();
    values_.utilization = recentMean(now, utilization_);
    values_.zone_utilization.clear();
    for (const auto& zone : zone_utilization_) {
        values_.zone_utilization.push_back(zone.isEmpty() ? values_.utilization : recentMean(now, zone));
    }
    return values_;
}

double ServiceValues::relativeTime(Duration service_time) const {
    return service_seconds > 0 ? toSeconds(service_time) / service_seconds : 1;
}

double ServiceValues::utilizationOf(std::size_t zone) const {
    return zone < zone_utilization.size() ? zone_utilization[zone] : utilization;
}

}  // namespace dewcrank::balancing
