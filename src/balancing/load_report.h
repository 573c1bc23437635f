/// @file
/// What an instance reports about its load in a header of its responses.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace dewcrank::balancing {

/// Load of an instance, as named by itself.
struct LoadReport {
    std::uint32_t running = 0;  ///< Requests that run.
    std::uint32_t waiting = 0;  ///< Requests that wait inside the instance.
    std::uint32_t slots = 0;    ///< Requests that it runs at once.
    std::optional<double>
        pace;  ///< Present service time divided by the usual one; above 1 the instance is slower than usual.
};

/// Parses "running,waiting,slots" or "running,waiting,slots,pace", the pace in percent.
/// @return nothing if a value is missing, malformed or out of range.
[[nodiscard]] std::optional<LoadReport> parseLoadReport(std::string_view text);

}  // namespace dewcrank::balancing
