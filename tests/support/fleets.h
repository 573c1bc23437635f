/// @file
/// Services of simulated fleets that several tests use.
#pragma once

#include <string>
#include <vector>

#include "sim/sidecar_fleet.h"

namespace dewcrank::tests {

inline sim::InstanceOptions instanceOptions(const std::string& service, Duration work, std::uint32_t slots) {
    sim::InstanceOptions options;
    options.service = service;
    options.work_time = work;
    options.slots = slots;
    return options;
}

/// Two services for callers, "browse" and "desk", both of which make internal calls of a third one, "leaf"; three
/// machines each, in this order.
inline std::vector<sim::FleetService> callingServices() {
    auto browse = instanceOptions("browse", 40ms, 20);
    auto desk = instanceOptions("desk", 60ms, 20);
    browse.internal_host = "inner.example";
    desk.internal_host = "inner.example";
    return {{browse, 3}, {desk, 3}, {instanceOptions("leaf", 20ms, 10), 3}};
}

}  // namespace dewcrank::tests
