/// @file
/// Detects requests whose timeout is shorter than the usual one of their route.
#pragma once

#include <map>
#include <string>

#include "src/base/time.h"

namespace dewcrank::decision {

/// Tracks the usual timeout of each route: the longest one of its recent requests. A client retry, or a call that is
/// made for another request, often has a shorter timeout: the time that is left until
/// the deadline of the first attempt or of the other request.
class UsualDeadlines {
public:
    /// Registers a request. @return true if its timeout is shorter than the usual one of its route.
    /// @param timeout   remaining time until the request's deadline.
    bool isShortened(TimePoint now, const std::string& route, Duration timeout);
    /// @return the usual timeout of a route; zero before its first request.
    [[nodiscard]] Duration usual(const std::string& route) const;

private:
    /// Longest timeouts of two consecutive spans of time, so that an outlier expires after at most both.
    struct LongestTimeouts {
        TimePoint span_start{};
        Duration current{};
        Duration previous{};
    };
    std::map<std::string, LongestTimeouts> longest_;  ///< By route.
};

}  // namespace dewcrank::decision
