/// @file
/// Balancing state of an entry: a view of each service that it calls.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "src/balancing/relay_cost.h"
#include "src/balancing/service_view.h"
#include "src/base/time.h"

namespace dewcrank::balancing {

/// Constants of the balancing by pace and by zone. Both are off by default.
struct BalancerKnobs {
    RelayCostKnobs cost;
    ServiceViewKnobs view;
    Duration pace_memory = 2s;  ///< The weight of a service time falls linearly to zero in this time.
};

/// Number of a zone that no report has come from.
inline constexpr std::size_t kUnknownZone = static_cast<std::size_t>(-1);

/// Collects the reports of relays by service, and numbers the zones.
class Balancer {
public:
    explicit Balancer(const BalancerKnobs& knobs) : knobs_(knobs) {}

    /// @return false if relays are chosen as without balancing by pace or zone.
    [[nodiscard]] bool isOn() const { return knobs_.cost.uses_pace || knobs_.cost.uses_zones; }
    [[nodiscard]] const RelayCostKnobs& costKnobs() const { return knobs_.cost; }
    /// @return the number of a zone, the same for each call with its name.
    std::size_t zoneNumber(const std::string& zone);
    ServiceView& view(const std::string& service);
    /// @param age of the service time.
    /// @return the factor for `pacedCost`; 1 if balancing by pace is off.
    [[nodiscard]] double relativeTime(const ServiceValues& values, Duration service_time, Duration age) const;
    /// @return the weight of a service time of this age, from 0 to 1.
    [[nodiscard]] double freshness(Duration age) const;

private:
    BalancerKnobs knobs_;
    std::vector<std::string> zones_;
    std::map<std::string, ServiceView> views_;  ///< By service: those that this entry has called.
};

}  // namespace dewcrank::balancing
