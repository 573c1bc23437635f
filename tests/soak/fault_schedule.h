/// @file
/// Fault schedules of a soak: random ones from a seed, and the format of the --fault option.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/error.h"
#include "src/base/time.h"
#include "src/ports/random_source.h"

namespace dewcrank::soak {

/// One fault of a schedule.
struct PlannedFault {
    std::string name;      ///< One of `faultNames()`.
    Duration at{};         ///< Start, relative to the start of the load.
    Duration duration{};   ///< Time until the fault is reverted.
    std::size_t node = 0;  ///< Number of the affected node; ignored by faults of the store, the load or all nodes.
};

/// Draws a random schedule.
/// @param length duration of the load; no fault extends into its final part, see `faultFreeFrom`.
/// @param nodes number of nodes.
/// @param only names of the faults to draw from; empty draws from `drawnFaultNames()`.
std::vector<PlannedFault> drawFaults(RandomSource& random, Duration length, std::size_t nodes,
                                     const std::vector<std::string>& only);

/// Draws a schedule of planned stops of entries and relays: together, one shortly after the other, in groups, and
/// beside other faults. No node is stopped again before it has restarted.
std::vector<PlannedFault> drawStops(RandomSource& random, Duration length, std::size_t nodes);

/// Parses "KIND@SECONDS+SECONDS/NODE": name of the fault, start, duration and node number.
/// @param nodes number of nodes.
/// @return the fault, or an error that states the expected format.
Result<PlannedFault> parseFault(const std::string& text, std::size_t nodes);

/// @param length duration of the load.
/// @return the time, from the start of the load, at which all random faults have ended.
Duration faultFreeFrom(Duration length);

}  // namespace dewcrank::soak
