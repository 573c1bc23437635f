#include "src/balancing/balancer.h"

#include <algorithm>

namespace dewcrank::balancing {

std::size_t Balancer::zoneNumber(const std::string& zone) {
    const auto found = std::find(zones_.begin(), zones_.end(), zone);
    if (found != zones_.end()) {
        return static_cast<std::size_t>(found - zones_.begin());
    }
    zones_.push_back(zone);
    return zones_.size() - 1;
}

ServiceView& Balancer::view(const std::string& service) {
    return views_.try_emplace(service, knobs_.view).first->second;
}

double Balancer::freshness(Duration age) const {
    return std::clamp(1 - static_cast<double>(age.count()) / static_cast<double>(knobs_.pace_memory.count()), 0.0, 1.0);
}

double Balancer::relativeTime(const ServiceValues& values, Duration service_time, Duration age) const {
    const double relative = knobs_.cost.uses_pace ? values.relativeTime(service_time) : 1;
    return boundedRelativeTime(relative, freshness(age), knobs_.cost);
}

}  // namespace dewcrank::balancing
