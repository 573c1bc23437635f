/// @file
/// Tells requests whose time was shortened on their way.
#pragma once

#include <map>
#include <string>

#include "src/base/time.h"

namespace dewcrank::decision {

/// A caller that asks again under a new id gives the time that it has left, and a call made for
/// another request ends with that: both are less than their route's usual time, which is the
/// longest that was given lately.
class UsualDeadlines {
public:
    /// Notes a request. @return true if it gives less than is usual on its route.
    bool isShortened(TimePoint now, const std::string& route, Duration given);
    /// The usual time of a route; zero if none was given yet.
    [[nodiscard]] Duration usual(const std::string& route) const;

private:
    /// The longest deadlines of two spans of time, so that one that is not given any more counts
    /// for at most both of them.
    struct Longest {
        TimePoint span_began{};
        Duration present{};
        Duration former{};
    };
    std::map<std::string, Longest> longest_;  ///< By route.
};

}  // namespace dewcrank::decision
