/// @file
/// Tells callers that ask again from those that ask for the first time.
#pragma once

#include <map>
#include <string>

#include "src/base/time.h"

namespace dewcrank::entry {

/// A caller that asks again under a new id gives the time that it has left, which is less than its
/// kind's usual time. The usual time of a route is the longest that was given lately.
class UsualDeadlines {
public:
    /// Notes a request. @return true if its caller seems to have asked before.
    bool isRepeat(TimePoint now, const std::string& route, Duration given);

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

}  // namespace dewcrank::entry
