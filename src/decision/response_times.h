/// @file
/// How long requests of a route take at most, from those that have ended.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "src/base/time.h"

namespace dewcrank::decision {

/// Keeps a smoothed time and a smoothed deviation of it for each route, as TCP does for round trips (RFC 6298).
class ResponseTimes {
public:
    /// Registers a request that has ended. @param time that it took.
    void onEnded(const std::string& route, Duration time);
    /// @return the time within which nearly all requests of the route end; nothing if none has ended yet.
    [[nodiscard]] std::optional<Duration> upperBound(const std::string& route) const;

private:
    /// In seconds.
    struct Estimate {
        double mean = 0;
        double deviation = 0;
    };
    std::map<std::string, Estimate> estimates_;  ///< By route.
};

}  // namespace dewcrank::decision
