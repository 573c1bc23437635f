/// @file
/// Checks of the invariants of a simulated fleet over the records of its callers and instances.

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"

namespace dewcrank::sim {

namespace {

/// @return the number of `times`, which are sorted, in the window of the retry limit that starts at `begin`.
double countInWindow(const std::vector<TimePoint>& times, TimePoint begin) {
    const auto from = std::lower_bound(times.begin(), times.end(), begin);
    return static_cast<double>(std::lower_bound(from, times.end(), begin + kRetryLimit.window) - from);
}

/// The limit for a window is computed from the first attempts in it, in the window before, or in the window that starts
/// half a window earlier, whichever gives the highest limit.
/// @return the number of retries beyond the limit in the worst window; not positive if all are within it.
double maxExcess(const std::vector<TimePoint>& retries, const std::vector<TimePoint>& first_attempts) {
    double max_excess = -kRetryLimit.slack;
    for (const auto begin : retries) {
        const double requests = std::max({countInWindow(first_attempts, begin),
                                          countInWindow(first_attempts, begin - kRetryLimit.window / 2),
                                          countInWindow(first_attempts, begin - kRetryLimit.window)});
        max_excess =
            std::max(max_excess, countInWindow(retries, begin) - kRetryLimit.ratio * requests - kRetryLimit.slack);
    }
    return max_excess;
}

}  // namespace

std::vector<Violation> SidecarFleet::violations() const {
    std::vector<Violation> found;
    checkResponses(&found);
    checkRuns(&found);
    checkDraining(&found);
    checkRetries(&found);
    checkAccess(&found);
    checkQuotas(&found);
    checkSignals(&found);
    return found;
}

void SidecarFleet::checkResponses(std::vector<Violation>* out) const {
    std::map<std::string, int> runs;
    for (const auto& run : records_.runs) {
        ++runs[run.request_id];
    }
    for (const auto& request : requests_) {
        const bool claims_not_run =
            request->status == kHttpServiceUnavailable || request->status == kHttpTooManyRequests;
        if (claims_not_run && !request->is_idempotent && runs[request->id] > 0) {
            out->push_back({"requests reported as not executed have not run", request->id});
        }
        if (!request->is_idempotent && runs[request->id] > 1) {
            out->push_back({"non-idempotent requests run at most once", request->id});
        }
        if (request->status == kHttpOk && !request->body.starts_with(request->id + " ")) {
            out->push_back(
                {"successful responses are complete and match their request", request->id + ": " + request->body});
        }
        const bool is_overdue = queue_.now() - request->sent > kCallerDeadline;
        if (is_overdue && request->status == 0 && !request->is_cancelled && !request->entry_failed &&
            !request->not_sent) {
            out->push_back({"every request gets a response", request->id + " at " + request->entry});
        }
    }
}

std::map<std::string, const CallerRequest*> SidecarFleet::requestsById() const {
    std::map<std::string, const CallerRequest*> by_id;
    for (const auto& request : requests_) {
        by_id[request->id] = request.get();
    }
    return by_id;
}

/// @return whether a route of any table sends requests for the path of the run to its service.
bool SidecarFleet::isAllowed(const RunRecord& run) const {
    for (auto end = run.path.find('/'); end != std::string::npos; end = run.path.find('/', end + 1)) {
        if (allowed_routes_.contains(run.path.substr(0, end + 1) + " " + run.service)) {
            return true;
        }
    }
    return false;
}

void SidecarFleet::checkRuns(std::vector<Violation>* out) const {
    const auto by_id = requestsById();
    for (const auto& run : records_.runs) {
        if (!isAllowed(run)) {
            out->push_back(
                {"requests run only at services that a table allows", run.request_id + " at " + run.service});
        }
        const auto found = by_id.find(run.request_id);
        const bool is_cancelled = found != by_id.end() && found->second->is_cancelled && !found->second->entry_failed;
        if (!is_cancelled || wasSuspended(run)) {
            continue;
        }
        if (run.began > found->second->ended + kCancellationGrace ||
            run.ended > found->second->ended + kCancellationGrace) {
            out->push_back({"runs end when their caller disconnects", run.request_id});
        }
    }
}

bool SidecarFleet::wasSuspended(const RunRecord& run) const {
    return std::any_of(suspensions_.begin(), suspensions_.end(), [&](const auto& it) {
        return it.incarnation == run.incarnation && run.began <= it.ended && it.began <= run.ended;
    });
}

void SidecarFleet::checkDraining(std::vector<Violation>* out) const {
    for (const auto& run : records_.runs) {
        const auto found = drained_at_.find(run.incarnation);
        if (found != drained_at_.end() && run.began > found->second + kDrainBound) {
            out->push_back({"drained instances receive no requests", run.request_id + " at " + run.incarnation});
        }
    }
}

/// API keys reach neither instances nor logs, each run names the tenant of the caller's key, and requests with a
/// revoked or unknown key are never run. This also holds while machines are cut off, suspended or restarted.
void SidecarFleet::checkAccess(std::vector<Violation>* out) const {
    if (tenants_.empty()) {
        return;
    }
    if (logLinesWithKey() > 0) {
        out->push_back({"API keys do not appear in logs", std::to_string(logLinesWithKey()) + " lines of the log"});
    }
    const auto by_id = requestsById();
    for (const auto& run : records_.runs) {
        const auto found = by_id.find(run.request_id);
        if (run.has_key) {
            out->push_back({"API keys do not reach instances", run.request_id});
        }
        if (found == by_id.end()) {
            if (!run.tenant.empty()) {
                out->push_back({"instances receive the tenant of the caller", run.request_id + ": " + run.tenant});
            }
            continue;
        }
        std::string holder;
        TimePoint held_until{};
        for (const auto& version : tenant_versions_) {
            const auto& keys = version.tenant.keys();
            if (std::find(keys.begin(), keys.end(), found->second->key) != keys.end()) {
                holder = version.tenant.name();
                held_until = std::max(held_until, version.superseded_at);
            }
        }
        if (holder.empty()) {
            out->push_back({"unknown keys run nothing", run.request_id});
        } else if (run.tenant != holder) {
            out->push_back({"instances receive the tenant of the caller", run.request_id + ": " + run.tenant});
        }
        if (!holder.empty() && held_until != TimePoint::max() && found->second->sent > held_until + kRevocationBound) {
            out->push_back({"revoked keys run nothing", run.request_id + " at " + found->second->entry});
        }
    }
}

/// Counts the runs of each tenant over all machines in each sliding window. If the tenant's limit changed within two
/// windows, the greatest one applies.
void SidecarFleet::checkQuotas(std::vector<Violation>* out) const {
    std::map<std::string, std::vector<TimePoint>> runs;
    const auto by_id = requestsById();
    for (const auto& run : records_.runs) {
        if (!run.tenant.empty() && by_id.contains(run.request_id)) {
            runs[run.tenant].push_back(run.began);
        }
    }
    for (const auto& [name, times] : runs) {
        for (auto begin = times.begin(); begin != times.end(); ++begin) {
            double max_quota = 0;
            bool is_limited = true;
            for (const auto& version : tenant_versions_) {
                if (version.tenant.name() == name && version.superseded_at > *begin - 2 * kQuotaWindow) {
                    is_limited = is_limited && version.tenant.rate_per_s() > 0;
                    max_quota = std::max(
                        max_quota, version.tenant.rate_per_s() * toSeconds(kQuotaWindow) + version.tenant.burst());
                }
            }
            const auto count = std::lower_bound(begin, times.end(), *begin + kQuotaWindow) - begin;
            const double allowed = max_quota * (1 + kQuotaOverage) + kQuotaSlack;
            if (is_limited && static_cast<double>(count) > allowed) {
                out->push_back({"tenant quotas are respected",
                                name + ": " + std::to_string(count) + " of " + std::to_string(allowed)});
                break;
            }
        }
    }
}

/// Counts as retries all arrivals after the first of each request at a service, also those that an instance rejected
/// and the internal calls of retried runs.
void SidecarFleet::checkRetries(std::vector<Violation>* out) const {
    std::map<std::string, std::vector<TimePoint>> retries;
    std::map<std::string, std::vector<TimePoint>> first_attempts;
    std::set<std::string> seen;
    for (const auto& arrival : records_.arrivals) {
        const bool is_first = seen.insert(arrival.request_id + " " + arrival.service).second;
        (is_first ? first_attempts : retries)[arrival.service].push_back(arrival.at);
    }
    for (const auto& [service, times] : retries) {
        if (const auto excess = maxExcess(times, first_attempts[service]); excess > 0) {
            out->push_back({"repeats stay within their bound", service + ", by " + std::to_string(excess)});
        }
    }
}

}  // namespace dewcrank::sim
