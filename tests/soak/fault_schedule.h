/// @file
/// When a soak injects which faults: drawn from a seed, or given.
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
    std::string name;
    Duration at{};  ///< From the start of the load.
    Duration lasts{};
    std::size_t node = 0;  ///< Which of them it strikes; kinds that strike the store or all ignore it.
};

/// Draws a schedule. @param length of the load; the last part of it is left quiet.
/// @param only names of the kinds to draw from; empty: all.
std::vector<PlannedFault> drawFaults(RandomSource& random, Duration length, std::size_t nodes,
                                     const std::vector<std::string>& only);

/// Reads "KIND@SECONDS+SECONDS/NODE": what, from when on, for how long, and at which node (a number). The
/// error names what is expected.
Result<PlannedFault> parseFault(const std::string& text, std::size_t nodes);

/// When the last fault of a soak of this length has ended.
Duration quietFrom(Duration length);

}  // namespace dewcrank::soak
