/// @file
/// A rate over all nodes, as reported by the nodes that can measure it.
#pragma once

#include "src/base/time.h"

namespace dewcrank {

/// Requests per second at all nodes together.
struct FleetRate {
    double per_s = 0;
    Duration age{};  ///< Of the oldest report that it contains.
};

}  // namespace dewcrank
