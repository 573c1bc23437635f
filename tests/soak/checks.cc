#include "tests/soak/checks.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "src/base/http_status.h"

namespace dewcrank::soak {

namespace {

/// What all checks look things up in.
struct Evidence {
    const Observations& seen;
    const CheckBounds& bounds;
    TimePoint now;
    std::map<std::string, std::vector<const Run*>> runs;  ///< By request.

    [[nodiscard]] const std::vector<const Run*>& runsOf(const std::string& request) const {
        static const std::vector<const Run*> none;
        const auto found = runs.find(request);
        return found == runs.end() ? none : found->second;
    }
};

constexpr std::size_t kAllowedCrashes = 3;
constexpr std::ptrdiff_t kAllowedLateSends = 3;

using Check = void (*)(const Evidence&, std::vector<Breach>*);

bool promisesNotRun(int status) {
    return status == kHttpServiceUnavailable || status == kHttpTooManyRequests || status == kHttpRequestTimeout;
}

void checkNotRun(const Evidence& it, std::vector<Breach>* out) {
    for (const auto& request : it.seen.requests) {
        if (!request->is_repeatable && promisesNotRun(request->status) && !it.runsOf(request->id).empty()) {
            out->push_back({"not-run is not run", request->id});
        }
    }
}

void checkAtMostOnce(const Evidence& it, std::vector<Breach>* out) {
    for (const auto& request : it.seen.requests) {
        if (!request->is_repeatable && it.runsOf(request->id).size() > 1) {
            out->push_back({"runs at most once", request->id});
        }
    }
}

void checkOwnAnswer(const Evidence& it, std::vector<Breach>* out) {
    for (const auto& request : it.seen.requests) {
        if (request->status == kHttpOk && !request->is_whole) {
            out->push_back({"own whole answer", request->id});
        }
    }
}

/// A connection that ends soon and before anything has arrived at an instance may not have been
/// read: a closing entry is free to do that. Only an entry that ends may do more.
void checkAnswered(const Evidence& it, std::vector<Breach>* out) {
    for (const auto& request : it.seen.requests) {
        const auto due = request->sent + request->deadline + it.bounds.answer_slack;
        const bool has_ended_soon =
            request->ended != TimePoint{} && request->ended - request->sent < it.bounds.unread_slack;
        const bool was_read = request->was_taken && (!has_ended_soon || !it.runsOf(request->id).empty());
        const bool is_open = request->status == 0 && was_read && !request->has_left;
        if (is_open && it.now > due && !it.seen.wasEnded(request->entry, request->sent, due)) {
            out->push_back({"every request is answered", request->id + " at node " + std::to_string(request->entry)});
        }
    }
}

void checkAllowedServices(const Evidence& it, std::vector<Breach>* out) {
    for (const auto& request : it.seen.requests) {
        for (const auto* run : it.runsOf(request->id)) {
            const auto& tables = it.seen.tables;
            const bool is_allowed = std::any_of(tables.begin(), tables.end(), [&](const auto& table) {
                const auto found = table.services.find(request->route);
                return found != table.services.end() && found->second == run->service;
            });
            if (!is_allowed) {
                out->push_back({"only allowed services run", request->id + " at " + run->service});
            }
        }
    }
}

void checkDrained(const Evidence& it, std::vector<Breach>* out) {
    for (const auto& [instance, acknowledged] : it.seen.drained) {
        const auto found = it.seen.arrivals_by_instance.find(instance);
        if (found == it.seen.arrivals_by_instance.end()) {
            continue;
        }
        for (const auto& arrival : found->second) {
            const bool is_late = arrival.at > acknowledged + it.bounds.drain;
            const auto node = it.seen.node_of_instance.at(instance);
            if (is_late && !it.seen.wasDisturbed(node, acknowledged, arrival.at)) {
                out->push_back({"a draining instance gets nothing", arrival.request + " at " + instance});
            }
        }
    }
}

std::string rounded(double number) {
    return std::to_string(std::llround(number));
}

/// In any window, what arrives past the first of each request stays within ratio and slack.
void checkRepeats(const Evidence& it, std::vector<Breach>* out) {
    const auto& bound = it.bounds.repeats;
    for (const auto& [service, arrivals] : it.seen.arrivals) {
        std::size_t begin = 0;
        double first = 0;
        double repeats = 0;
        for (const auto& arrival : arrivals) {
            (arrival.is_first ? first : repeats) += 1;
            while (arrivals[begin].at <= arrival.at - bound.window) {
                (arrivals[begin].is_first ? first : repeats) -= 1;
                ++begin;
            }
            const double allowed = bound.ratio * first + bound.slack;
            if (repeats > allowed) {
                const auto detail = service + " at " + arrival.request + ": " + rounded(repeats) + " repeats for " +
                                    rounded(first) + " requests, " + rounded(allowed) + " allowed";
                out->push_back({"repeats stay within their bound", detail});
                break;
            }
        }
    }
}

/// True if a newer table has been in force for sure when the request was sent.
bool isReplaced(const Evidence& it, const Observations::Table& table, const CallerRequest& request) {
    const auto& tables = it.seen.tables;
    const auto next = std::find_if(tables.begin(), tables.end(),
                                   [&table](const auto& other) { return other.version > table.version; });
    return next != tables.end() && next->acknowledged + it.bounds.table < request.sent;
}

/// True if each table that may have been in force has the request's route. A node may go by a table from when the store
/// takes it, which is told to the operator later.
bool isAlwaysRouted(const Evidence& it, const CallerRequest& request) {
    return std::all_of(it.seen.tables.begin(), it.seen.tables.end(), [&](const auto& table) {
        const bool is_too_new = table.acknowledged > request.ended + it.bounds.table;
        return is_too_new || isReplaced(it, table, request) || table.services.contains(request.route);
    });
}

/// While nodes are sound, nothing is run by a table that a newer one has replaced for long, and nothing is denied that
/// all tables which may be in force allow.
void checkTables(const Evidence& it, std::vector<Breach>* out) {
    for (const auto& request : it.seen.requests) {
        const auto from = std::max(TimePoint{}, request->sent - it.bounds.table - it.bounds.quiet);
        const auto to = request->sent + request->deadline;
        if (it.seen.wasDisturbed(request->entry, from, to) || it.seen.wasDisturbed(kStoreNumber, from, to)) {
            continue;
        }
        for (const auto* run : it.runsOf(request->id)) {
            const bool is_allowed = std::any_of(it.seen.tables.begin(), it.seen.tables.end(), [&](const auto& table) {
                const auto found = table.services.find(request->route);
                return !isReplaced(it, table, *request) && found != table.services.end() &&
                       found->second == run->service;
            });
            if (!is_allowed) {
                out->push_back({"tables are in force in time", request->id + " at " + run->service});
            }
        }
        if (request->status == kHttpNotFound && isAlwaysRouted(it, *request)) {
            out->push_back({"no route is denied", request->id + " " + request->route});
        }
    }
}

/// What is run for a caller that has left ends soon.
void checkLeft(const Evidence& it, std::vector<Breach>* out) {
    for (const auto& request : it.seen.requests) {
        if (!request->has_left ||
            it.seen.anyDisturbed(request->sent - it.bounds.quiet, request->ended + it.bounds.quiet)) {
            continue;
        }
        for (const auto* run : it.runsOf(request->id)) {
            const auto end = run->ended == TimePoint{} ? it.now : run->ended;
            if (end > request->ended + it.bounds.leave_slack) {
                out->push_back({"work ends with its caller", request->id});
            }
        }
    }
}

/// Three ends of instances are allowed for each request that ends them, and what is sent before the news can be
/// everywhere; then three sends more.
void checkCrashing(const Evidence& it, std::vector<Breach>* out) {
    std::map<std::string, std::vector<TimePoint>> began;  // By path.
    for (const auto& request : it.seen.requests) {
        if (request->path.find(standins::kCrashWord) != std::string::npos) {
            for (const auto* run : it.runsOf(request->id)) {
                began[request->path].push_back(run->began);
            }
        }
    }
    for (auto& [path, times] : began) {
        std::sort(times.begin(), times.end());
        const auto late = std::count_if(times.begin(), times.end(), [&times = times, &it](TimePoint at) {
            return times.size() > kAllowedCrashes && at > times[kAllowedCrashes - 1] + it.bounds.crash_news;
        });
        if (late > kAllowedLateSends) {
            out->push_back({"instances are kept from what ends them", path + " ran " + std::to_string(times.size()) +
                                                                          " times, " + std::to_string(late) + " late"});
        }
    }
}

/// One end of an instance costs one other request at most.
void checkQuarantined(const Evidence& it, std::vector<Breach>* out) {
    std::set<std::string> refused;
    for (const auto& request : it.seen.requests) {
        if (request->is_quarantined && request->path.find(standins::kCrashWord) == std::string::npos) {
            refused.insert(request->path);
        }
    }
    if (refused.size() > it.seen.node_of_instance.size()) {
        out->push_back({"others are not refused for it", std::to_string(refused.size()) + " paths"});
    }
}

/// Whoever shows a key that no table held, or none any more for longer than the bound, runs nothing, wherever it asks.
void checkKeys(const Evidence& it, std::vector<Breach>* out) {
    for (const auto& request : it.seen.strayed_keys) {
        out->push_back({"keys stay at the entry", request});
    }
    for (const auto& request : it.seen.requests) {
        if (request->key.empty() || it.runsOf(request->id).empty()) {
            continue;
        }
        std::string holder;
        TimePoint held_until{};
        for (const auto& table : it.seen.tables) {
            const auto found = table.tenants.find(request->key);
            if (found != table.tenants.end()) {
                holder = found->second;
                held_until = TimePoint::max();
            } else if (held_until == TimePoint::max()) {
                held_until = table.acknowledged;
            }
        }
        const auto named = it.seen.named_tenant.find(request->id);
        if (holder.empty()) {
            out->push_back({"unknown keys run nothing", request->id});
        } else if (named == it.seen.named_tenant.end() || named->second != holder) {
            out->push_back({"runs name their caller's tenant", request->id});
        } else if (held_until != TimePoint::max() && request->sent > held_until + it.bounds.revocation) {
            out->push_back({"revoked keys run nothing", request->id + " at node " + std::to_string(request->entry)});
        }
    }
}

void checkQuotas(const Evidence& it, std::vector<Breach>* out) {
    std::map<std::string, std::vector<TimePoint>> began;  // By tenant.
    for (const auto& request : it.seen.requests) {
        const auto named = it.seen.named_tenant.find(request->id);
        if (named != it.seen.named_tenant.end() && !it.runsOf(request->id).empty()) {
            began[named->second].push_back(it.runsOf(request->id).front()->began);
        }
    }
    for (const auto& [tenant, most] : it.bounds.most_runs) {
        auto& times = began[tenant];
        std::sort(times.begin(), times.end());
        for (auto from = times.begin(); from != times.end(); ++from) {
            const auto to = std::lower_bound(from, times.end(), *from + it.bounds.quota_window);
            if (static_cast<double>(to - from) > most) {
                out->push_back({"quotas hold", tenant + ": " + std::to_string(to - from)});
                break;
            }
        }
    }
}

void checkExits(const Evidence& it, std::vector<Breach>* out) {
    for (const auto& what : it.seen.unexpected_exits) {
        out->push_back({"no process ends by itself", what});
    }
}

constexpr Check kChecks[] = {checkNotRun,      checkAtMostOnce, checkOwnAnswer, checkAnswered, checkAllowedServices,
                             checkDrained,     checkRepeats,    checkTables,    checkLeft,     checkCrashing,
                             checkQuarantined, checkKeys,       checkQuotas,    checkExits};

}  // namespace

std::vector<Breach> findBreaches(const Observations& seen, const CheckBounds& bounds, TimePoint now) {
    Evidence evidence{seen, bounds, now, {}};
    for (const auto& run : seen.runs) {
        evidence.runs[run.request].push_back(&run);
    }
    std::vector<Breach> breaches;
    for (const auto check : kChecks) {
        check(evidence, &breaches);
    }
    return breaches;
}

}  // namespace dewcrank::soak
