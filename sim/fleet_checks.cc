/// What must hold in a simulated fleet, judged from what its callers and instances have seen.

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"

namespace dewcrank::sim {

namespace {

/// After a drain was acknowledged, runs may begin for this long.
constexpr Duration kDrainBound = 2s;

/// Times from `begin` on, for one window. Both are in order.
double countFrom(const std::vector<TimePoint>& times, TimePoint begin) {
    const auto from = std::lower_bound(times.begin(), times.end(), begin);
    return static_cast<double>(std::lower_bound(from, times.end(), begin + kRepeats.window) - from);
}

/// Repeats beyond the bound in the worst window; negative if all stay within it. Requests count in that
/// window, in the one before it or in the one half a window earlier, whichever holds most.
double worstExcess(const std::vector<TimePoint>& repeats, const std::vector<TimePoint>& first) {
    double worst = -kRepeats.slack;
    for (const auto begin : repeats) {
        const double requests = std::max({countFrom(first, begin), countFrom(first, begin - kRepeats.window / 2),
                                          countFrom(first, begin - kRepeats.window)});
        worst = std::max(worst, countFrom(repeats, begin) - kRepeats.ratio * requests - kRepeats.slack);
    }
    return worst;
}

}  // namespace

std::vector<Breach> SidecarFleet::breaches() const {
    std::vector<Breach> found;
    checkAnswers(&found);
    checkRuns(&found);
    checkDraining(&found);
    checkRepeats(&found);
    checkAccess(&found);
    checkQuotas(&found);
    return found;
}

void SidecarFleet::checkAnswers(std::vector<Breach>* out) const {
    std::map<std::string, int> runs;
    for (const auto& run : records_.runs) {
        ++runs[run.request];
    }
    for (const auto& request : requests_) {
        const bool promises_not_run =
            request->status == kHttpServiceUnavailable || request->status == kHttpTooManyRequests;
        if (promises_not_run && !request->is_repeatable && runs[request->id] > 0) {
            out->push_back({"not-run is not run", request->id});
        }
        if (!request->is_repeatable && runs[request->id] > 1) {
            out->push_back({"runs at most once", request->id});
        }
        if (request->status == kHttpOk && !request->body.starts_with(request->id + " ")) {
            out->push_back({"own whole answer", request->id + ": " + request->body});
        }
        const bool is_due = queue_.now() - request->sent > kCallerDeadline;
        if (is_due && request->status == 0 && !request->has_left && !request->entry_lost && !request->not_taken) {
            out->push_back({"every request is answered", request->id + " at " + request->entry});
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

void SidecarFleet::checkRuns(std::vector<Breach>* out) const {
    const auto by_id = requestsById();
    for (const auto& run : records_.runs) {
        const auto prefix = run.path.substr(0, run.path.rfind('/') + 1);
        if (!allowed_.contains(prefix + " " + run.service)) {
            out->push_back({"only allowed services run", run.request + " at " + run.service});
        }
        const auto found = by_id.find(run.request);
        const bool has_left = found != by_id.end() && found->second->has_left && !found->second->entry_lost;
        if (!has_left || wasSuspended(run)) {
            continue;
        }
        if (run.began > found->second->ended + kGrace || run.ended > found->second->ended + kGrace) {
            out->push_back({"work ends with its caller", run.request});
        }
    }
}

/// While it ran: what it was asked to stop it could not stop.
bool SidecarFleet::wasSuspended(const RunRecord& run) const {
    return std::any_of(suspensions_.begin(), suspensions_.end(), [&](const auto& it) {
        return it.instance == run.instance && run.began <= it.ended && it.began <= run.ended;
    });
}

void SidecarFleet::checkDraining(std::vector<Breach>* out) const {
    for (const auto& run : records_.runs) {
        const auto found = drained_.find(run.instance);
        if (found != drained_.end() && run.began > found->second + kDrainBound) {
            out->push_back({"a draining instance gets nothing", run.request + " at " + run.instance});
        }
    }
}

/// Keys stay at the entry, runs name the tenant that holds the key, and a key that has been taken away, or never was
/// one, runs nothing. Machines that are cut off, suspended or restarted are no exception.
void SidecarFleet::checkAccess(std::vector<Breach>* out) const {
    if (tenants_.empty()) {
        return;
    }
    if (logLinesWithKey() > 0) {
        out->push_back({"keys stay at the entry", std::to_string(logLinesWithKey()) + " lines of the log"});
    }
    const auto by_id = requestsById();
    for (const auto& run : records_.runs) {
        const auto found = by_id.find(run.request);
        if (run.has_key) {
            out->push_back({"keys stay at the entry", run.request});
        }
        if (found == by_id.end()) {
            if (!run.tenant.empty()) {
                out->push_back({"runs name their caller's tenant", run.request + ": " + run.tenant});
            }
            continue;
        }
        std::string holder;
        TimePoint held_until{};
        for (const auto& term : tenant_terms_) {
            const auto& keys = term.tenant.keys();
            if (std::find(keys.begin(), keys.end(), found->second->key) != keys.end()) {
                holder = term.tenant.name();
                held_until = std::max(held_until, term.ended);
            }
        }
        if (holder.empty()) {
            out->push_back({"unknown keys run nothing", run.request});
        } else if (run.tenant != holder) {
            out->push_back({"runs name their caller's tenant", run.request + ": " + run.tenant});
        }
        if (!holder.empty() && held_until != TimePoint::max() && found->second->sent > held_until + kRevocation) {
            out->push_back({"revoked keys run nothing", run.request + " at " + found->second->entry});
        }
    }
}

/// In each sliding window, over all machines. Where a limit has changed within two windows the greatest one counts.
void SidecarFleet::checkQuotas(std::vector<Breach>* out) const {
    std::map<std::string, std::vector<TimePoint>> runs;
    const auto by_id = requestsById();
    for (const auto& run : records_.runs) {
        if (!run.tenant.empty() && by_id.contains(run.request)) {
            runs[run.tenant].push_back(run.began);
        }
    }
    for (const auto& [name, times] : runs) {
        for (auto begin = times.begin(); begin != times.end(); ++begin) {
            double most = 0;
            bool is_limited = true;
            for (const auto& term : tenant_terms_) {
                if (term.tenant.name() == name && term.ended > *begin - 2 * kQuotaWindow) {
                    is_limited = is_limited && term.tenant.rate_per_s() > 0;
                    most = std::max(most, term.tenant.rate_per_s() * toSeconds(kQuotaWindow) + term.tenant.burst());
                }
            }
            const auto count = std::lower_bound(begin, times.end(), *begin + kQuotaWindow) - begin;
            const double allowed = most * (1 + kQuotaOverage) + kQuotaSlack;
            if (is_limited && static_cast<double>(count) > allowed) {
                out->push_back({"quotas hold", name + ": " + std::to_string(count) + " of " + std::to_string(allowed)});
                break;
            }
        }
    }
}

/// In any window, the arrivals past the first of each request stay within the bound. Arrivals that an
/// instance has refused count; so do those of calls that a repeated run makes again.
void SidecarFleet::checkRepeats(std::vector<Breach>* out) const {
    std::map<std::string, std::vector<TimePoint>> repeats;
    std::map<std::string, std::vector<TimePoint>> first;
    std::set<std::string> seen;
    for (const auto& it : records_.arrivals) {
        const bool is_first = seen.insert(it.request + " " + it.service).second;
        (is_first ? first : repeats)[it.service].push_back(it.at);
    }
    for (const auto& [service, times] : repeats) {
        if (const auto excess = worstExcess(times, first[service]); excess > 0) {
            out->push_back({"repeats stay within their bound", service + ", by " + std::to_string(excess)});
        }
    }
}

}  // namespace dewcrank::sim
