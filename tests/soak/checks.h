/// @file
/// The invariants that the soak verifies, checked against the recorded requests, runs and disturbances.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/decision/retry_budget.h"
#include "tests/soak/observations.h"

namespace dewcrank::soak {

/// A violated invariant.
struct Violation {
    std::string invariant;  ///< Name of the invariant.
    std::string detail;     ///< Which request, instance, service or process violated it.
};

/// Limits that the checks apply.
struct CheckBounds {
    decision::RetryLimit retries;         ///< Retry limit of each service.
    Duration drain_grace = 2500ms;        ///< Requests may still arrive for this long after a drain was acknowledged.
    Duration response_slack = 1500ms;     ///< Time after the caller's deadline in which a response must arrive.
    Duration unread_window = 200ms;       ///< A connection closed within this time may not have been read by the entry.
    Duration crash_propagation = 3s;      ///< Time after the third crash until all relays have quarantined the request.
    Duration disconnect_slack = 1500ms;   ///< Time after a caller's disconnect in which its runs must end.
    Duration table_propagation = 2500ms;  ///< Time after its acknowledgement until undisturbed nodes use a table.
    /// A node is bound by table_propagation again this long after its last disturbance, or the store's.
    Duration contact = 3s;
    Duration revocation = 5s;    ///< Time after its acknowledgement until nodes reject a revoked key.
    Duration quota_window = 5s;  ///< Window in which runs are counted against quotas, over all nodes.
    /// Maximum runs in any quota window, by tenant; a tenant without an entry is unlimited.
    std::map<std::string, double> max_runs{};
    /// Time before the caller's deadline and the route's timeout from which a response may be given up.
    Duration give_up_margin = 60ms;
    Duration fault_effect = 3s;    ///< A fault may cost the response of a request that is sent this much later.
    Duration table_contact = 10s;  ///< Time after the acknowledgement of the next table in which one may be in use.
    Duration grace_period = 6s;    ///< Time from SIGTERM to SIGKILL.
    Duration stop_intake = 3s;  ///< A stopping node may have requests cut that were sent up to this long after SIGTERM.
    Duration settle_time = 4s;  ///< Time after a disturbance until a node is expected to have recovered.
};

/// Runs all checks.
/// @param now time of the evaluation; requests whose response may still arrive are skipped.
/// @return the violations, grouped by check.
std::vector<Violation> findViolations(const Observations& observations, const CheckBounds& bounds, TimePoint now);

}  // namespace dewcrank::soak
