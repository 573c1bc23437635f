/// @file
/// The promises that a soak holds the fleet to, judged by what callers and instances have seen.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/decision/retry_budget.h"
#include "tests/soak/observations.h"

namespace dewcrank::soak {

/// A promise that was seen broken.
struct Breach {
    std::string promise;
    std::string detail;
};

/// What the promises with a bound are judged by.
struct CheckBounds {
    decision::RetryLimit repeats;    ///< Of each service.
    Duration drain = 2500ms;         ///< After its acknowledgement nothing arrives any more.
    Duration answer_slack = 1500ms;  ///< After a caller's deadline, for an answer.
    Duration unread_slack = 200ms;   ///< A connection closed within it may not have been read.
    Duration crash_news = 3s;        ///< After the third end of an instance, all relays know the request.
    Duration leave_slack = 1500ms;   ///< After a caller has left, for the end of its run.
    Duration table = 4s;             ///< After its acknowledgement a table is in force at every sound node.
    Duration revocation = 5s;        ///< After its table is acknowledged a revoked key runs nothing, at any node.
    Duration quota_window = 5s;      ///< In which quotas are judged, over all nodes.
    /// Runs of a tenant in any such window; without one here it has no limit.
    std::map<std::string, double> most_runs{};
    Duration quiet = 4s;  ///< A node counts as sound so long after its last disturbance.
};

/// All breaches so far. @param now requests that may still be answered are not judged.
std::vector<Breach> findBreaches(const Observations& seen, const CheckBounds& bounds, TimePoint now);

}  // namespace dewcrank::soak
