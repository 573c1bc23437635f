#include "tests/soak/checks.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

#include "src/base/http_status.h"

namespace dewcrank::soak {

namespace {

/// Input of all checks, with runs indexed by request.
struct CheckContext {
    const Observations& observations;
    const CheckBounds& bounds;
    TimePoint now;
    std::map<std::string, std::vector<const Run*>> runs;  ///< By request id.

    [[nodiscard]] const std::vector<const Run*>& runsOf(const std::string& request) const {
        static const std::vector<const Run*> none;
        const auto found = runs.find(request);
        return found == runs.end() ? none : found->second;
    }
};

constexpr std::size_t kAllowedCrashes = 3;
constexpr std::ptrdiff_t kAllowedLateRuns = 3;

using Check = void (*)(const CheckContext&, std::vector<Violation>*);

/// True for statuses which state that a request was not executed.
bool reportsNotExecuted(int status) {
    return status == kHttpServiceUnavailable || status == kHttpTooManyRequests || status == kHttpRequestTimeout;
}

void checkNotExecuted(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& request : ctx.observations.requests) {
        if (!request->is_idempotent && reportsNotExecuted(request->status) && !ctx.runsOf(request->id).empty()) {
            out->push_back({"requests reported as not executed have not run", request->id});
        }
    }
}

void checkAtMostOnce(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& request : ctx.observations.requests) {
        if (!request->is_idempotent && ctx.runsOf(request->id).size() > 1) {
            out->push_back({"non-idempotent requests run at most once", request->id});
        }
    }
}

void checkCompleteResponse(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& request : ctx.observations.requests) {
        if (request->status == kHttpOk && !request->is_complete) {
            out->push_back({"successful responses are complete and match their request", request->id});
        }
    }
}

/// A draining entry may close a connection that it has not read: early, and before any run. An entry whose process
/// was terminated may lose any request.
void checkResponded(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& request : ctx.observations.requests) {
        const auto due = request->sent + request->deadline + ctx.bounds.response_slack;
        const bool closed_early =
            request->ended != TimePoint{} && request->ended - request->sent < ctx.bounds.unread_window;
        const bool may_be_unread = closed_early || request->is_behind_another;
        const bool was_read = request->was_sent && (!may_be_unread || !ctx.runsOf(request->id).empty());
        const bool is_open = request->status == 0 && was_read && !request->has_disconnected;
        if (is_open && ctx.now > due && !ctx.observations.wasTerminated(request->entry, request->sent, due)) {
            out->push_back(
                {"every request gets a response", request->id + " at node " + std::to_string(request->entry)});
        }
    }
}

/// @return the earlier one of the caller's deadline and the shortest timeout of the request's route in any table that
/// may have been in force meanwhile, less the margin in which nodes may give the request up.
TimePoint deliveryDue(const CheckContext& ctx, const CallerRequest& request) {
    auto time = request.deadline;
    const auto& tables = ctx.observations.tables;
    for (std::size_t number = 0; number < tables.size(); ++number) {
        const bool is_replaced =
            number + 1 < tables.size() && tables[number + 1].acknowledged + ctx.bounds.table_contact < request.sent;
        const auto found = tables[number].timeouts.find(request.route);
        if (!is_replaced && tables[number].acknowledged <= request.ended && found != tables[number].timeouts.end()) {
            time = std::min(time, found->second);
        }
    }
    return request.sent + time - ctx.bounds.give_up_margin;
}

/// A planned stop may cut what is still at work in the last sixth of the grace period.
bool isCutByGracePeriod(const CheckContext& ctx, const CallerRequest& request, std::size_t node) {
    const auto& restarts = ctx.observations.restarts;
    return std::any_of(restarts.begin(), restarts.end(), [&](const auto& it) {
        return it.node == node && request.sent <= it.started + ctx.bounds.stop_intake &&
               request.ended >= it.started + ctx.bounds.grace_period * 5 / 6 &&
               request.ended <= it.started + ctx.bounds.grace_period + ctx.bounds.response_slack;
    });
}

bool isLossExcused(const CheckContext& ctx, const CallerRequest& request) {
    const auto& observations = ctx.observations;
    const auto may_explain = [&](std::size_t node) {
        return observations.wasHarmed(node, request.sent - ctx.bounds.fault_effect, request.ended) ||
               isCutByGracePeriod(ctx, request, node);
    };
    const auto& runs = ctx.runsOf(request.id);
    const bool is_run_excused = std::any_of(runs.begin(), runs.end(), [&](const Run* run) {
        return run->has_crashed || may_explain(observations.node_by_instance.at(run->instance));
    });
    const auto found = observations.answers.find(request.id);
    const bool is_answer_faulty =
        found != observations.answers.end() &&
        std::any_of(found->second.begin(), found->second.end(), [](const Answer& it) { return !it.is_intact; });
    return is_run_excused || is_answer_faulty || may_explain(request.entry);
}

/// @return what happened to a request at its entry and its instances, in seconds after the first table and from the
/// time when it was sent.
std::string timelineOf(const CheckContext& ctx, const CallerRequest& request) {
    const auto& observations = ctx.observations;
    const auto after_sent = [&](TimePoint at) {
        return (at < request.sent ? "" : "+") + std::to_string(toMilliseconds(at - request.sent)) + " ms";
    };
    std::string text = request.id + " " + request.path + " at node " + std::to_string(request.entry) + ": sent at " +
                       std::to_string(toSeconds(request.sent - observations.tables.front().acknowledged)) + " s with " +
                       std::to_string(toMilliseconds(request.deadline)) + " ms, ended " + after_sent(request.ended) +
                       " status " + std::to_string(request.status) + " " + std::to_string(request.body_bytes) +
                       " B stamp '" + request.stamp + "'";
    std::set<std::size_t> nodes = {request.entry};
    for (const auto* run : ctx.runsOf(request.id)) {
        nodes.insert(observations.node_by_instance.at(run->instance));
        text += "; run at " + run->instance + " " + after_sent(run->started) + " to " +
                (run->ended == TimePoint{} ? "?" : after_sent(run->ended));
    }
    if (const auto found = observations.answers.find(request.id); found != observations.answers.end()) {
        for (const auto& answer : found->second) {
            text += "; " + answer.instance + " answers " + after_sent(answer.at) + " status " +
                    std::to_string(answer.status) + " " + std::to_string(answer.body_bytes) + " B";
        }
    }
    for (const auto& restart : observations.restarts) {
        const bool is_near = restart.started > request.sent - 2 * ctx.bounds.grace_period &&
                             restart.started < request.ended + ctx.bounds.fault_effect;
        if (nodes.contains(restart.node) && is_near) {
            text += "; signal to node " + std::to_string(restart.node) + " " + after_sent(restart.started);
        }
    }
    return text;
}

/// What an instance answers in time is what the caller reads, unless a fault other than a planned stop explains it.
void checkDelivery(const CheckContext& ctx, const CallerRequest& request, std::vector<Violation>* out) {
    const bool is_judged = !ctx.runsOf(request.id).empty() && !request.has_disconnected &&
                           request.ended != TimePoint{} && request.ended <= deliveryDue(ctx, request);
    const bool is_judged_otherwise = !request.is_idempotent && reportsNotExecuted(request.status);
    if (!is_judged || is_judged_otherwise) {
        return;
    }
    const auto found = ctx.observations.answers.find(request.id);
    const bool is_delivered = found != ctx.observations.answers.end() &&
                              std::any_of(found->second.begin(), found->second.end(), [&](const Answer& it) {
                                  return it.status == request.status && it.stamp == request.stamp &&
                                         it.body_bytes == request.body_bytes && it.body_hash == request.body_hash;
                              });
    if (!is_delivered && !isLossExcused(ctx, request)) {
        out->push_back({"callers read what instances answer", timelineOf(ctx, request)});
    }
}

/// An instance ends its work at the deadline that it is handed: an earlier one costs the response of a slow run.
void checkHandedDeadline(const CheckContext& ctx, const CallerRequest& request, std::vector<Violation>* out) {
    const auto found = ctx.observations.answers.find(request.id);
    const bool is_cut_short = found != ctx.observations.answers.end() && request.status == kHttpGatewayTimeout &&
                              std::any_of(found->second.begin(), found->second.end(),
                                          [](const Answer& it) { return it.status == kHttpGatewayTimeout; });
    if (is_cut_short && request.ended <= deliveryDue(ctx, request)) {
        out->push_back({"instances may work until their caller's deadline", timelineOf(ctx, request)});
    }
}

void checkDeliveries(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto* requests : {&ctx.observations.requests, &ctx.observations.calls}) {
        for (const auto& request : *requests) {
            checkDelivery(ctx, *request, out);
            checkHandedDeadline(ctx, *request, out);
        }
    }
}

/// Calls of instances get the same promises as requests of callers.
void checkCallsNotExecuted(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& call : ctx.observations.calls) {
        const auto runs = ctx.runsOf(call->id).size();
        if (!call->is_idempotent && reportsNotExecuted(call->status) && runs > 0) {
            out->push_back({"requests reported as not executed have not run", timelineOf(ctx, *call)});
        }
        if (!call->is_idempotent && runs > 1) {
            out->push_back({"non-idempotent requests run at most once", timelineOf(ctx, *call)});
        }
    }
}

void checkAllowedServices(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& request : ctx.observations.requests) {
        for (const auto* run : ctx.runsOf(request->id)) {
            const auto& tables = ctx.observations.tables;
            const bool is_allowed = std::any_of(tables.begin(), tables.end(), [&](const auto& table) {
                const auto found = table.services.find(request->route);
                return found != table.services.end() && found->second == run->service;
            });
            if (!is_allowed) {
                out->push_back(
                    {"requests run only at services that a table allows", request->id + " at " + run->service});
            }
        }
    }
}

/// An acknowledgement binds the next process of the node too: only a disturbance shortly before the arrival excuses it.
void checkDrainedInstances(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& [instance, acknowledged] : ctx.observations.drained) {
        const auto found = ctx.observations.arrivals_by_instance.find(instance);
        if (found == ctx.observations.arrivals_by_instance.end()) {
            continue;
        }
        for (const auto& arrival : found->second) {
            const bool is_late = arrival.at > acknowledged + ctx.bounds.drain_grace;
            const auto node = ctx.observations.node_by_instance.at(instance);
            const auto from = std::max(acknowledged, arrival.at - ctx.bounds.contact);
            if (is_late && !ctx.observations.wasDisturbed(node, from, arrival.at)) {
                out->push_back({"drained instances receive no requests", arrival.request + " at " + instance});
            }
        }
    }
}

std::string rounded(double number) {
    return std::to_string(std::llround(number));
}

/// In each window, arrivals other than the first of each request must not exceed `ratio * first arrivals + slack`.
void checkRetries(const CheckContext& ctx, std::vector<Violation>* out) {
    const auto& limit = ctx.bounds.retries;
    for (const auto& [service, arrivals] : ctx.observations.arrivals) {
        std::size_t begin = 0;
        double first = 0;
        double retries = 0;
        for (const auto& arrival : arrivals) {
            (arrival.is_first ? first : retries) += 1;
            while (arrivals[begin].at <= arrival.at - limit.window) {
                (arrivals[begin].is_first ? first : retries) -= 1;
                ++begin;
            }
            const double allowed = limit.ratio * first + limit.slack;
            if (retries > allowed) {
                const auto detail = service + " at " + arrival.request + ": " + rounded(retries) + " retries for " +
                                    rounded(first) + " requests, " + rounded(allowed) + " allowed";
                out->push_back({"repeats stay within their bound", detail});
                break;
            }
        }
    }
}

/// True if a newer table was certainly in force when the request was sent.
bool isSuperseded(const CheckContext& ctx, const Observations::Table& table, const CallerRequest& request) {
    const auto& tables = ctx.observations.tables;
    const auto next = std::find_if(tables.begin(), tables.end(),
                                   [&table](const auto& other) { return other.version > table.version; });
    return next != tables.end() && next->acknowledged + ctx.bounds.table_propagation < request.sent;
}

/// True if every table that may have been in force contains the request's route. Nodes may use a table as soon as the
/// store has it, which is before the acknowledgement reaches the operator.
bool isRoutedByAllTables(const CheckContext& ctx, const CallerRequest& request) {
    return std::all_of(ctx.observations.tables.begin(), ctx.observations.tables.end(), [&](const auto& table) {
        const bool is_too_new = table.acknowledged > request.ended + ctx.bounds.table_propagation;
        return is_too_new || isSuperseded(ctx, table, request) || table.services.contains(request.route);
    });
}

/// At undisturbed nodes, no request is routed by a superseded table, and no route is rejected that every table which
/// may be in force contains.
void checkTablePropagation(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& request : ctx.observations.requests) {
        const auto from = std::max(TimePoint{}, request->sent - ctx.bounds.contact);
        const auto to = request->sent + request->deadline;
        if (ctx.observations.wasDisturbed(request->entry, from, to) ||
            ctx.observations.wasDisturbed(kStoreIndex, from, to)) {
            continue;
        }
        for (const auto* run : ctx.runsOf(request->id)) {
            const bool is_allowed =
                std::any_of(ctx.observations.tables.begin(), ctx.observations.tables.end(), [&](const auto& table) {
                    const auto found = table.services.find(request->route);
                    return !isSuperseded(ctx, table, *request) && found != table.services.end() &&
                           found->second == run->service;
                });
            if (!is_allowed) {
                out->push_back({"routing tables take effect in time", request->id + " at " + run->service});
            }
        }
        if (request->status == kHttpNotFound && isRoutedByAllTables(ctx, *request)) {
            out->push_back({"no route is denied", request->id + " " + request->route});
        }
    }
}

/// Runs for a caller that has disconnected must end within `disconnect_slack`.
void checkDisconnected(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& request : ctx.observations.requests) {
        if (!request->has_disconnected || ctx.observations.anyDisturbed(request->sent - ctx.bounds.settle_time,
                                                                        request->ended + ctx.bounds.settle_time)) {
            continue;
        }
        for (const auto* run : ctx.runsOf(request->id)) {
            const auto end = run->ended == TimePoint{} ? ctx.now : run->ended;
            if (end > request->ended + ctx.bounds.disconnect_slack) {
                out->push_back({"runs end when their caller disconnects", request->id});
            }
        }
    }
}

/// Each crashing request may run until `crash_propagation` after its third run, and kAllowedLateRuns times after that.
void checkCrashingRequests(const CheckContext& ctx, std::vector<Violation>* out) {
    std::map<std::string, std::vector<TimePoint>> started;  // By path.
    for (const auto& request : ctx.observations.requests) {
        if (request->path.find(standins::kCrashPathMarker) != std::string::npos) {
            for (const auto* run : ctx.runsOf(request->id)) {
                started[request->path].push_back(run->started);
            }
        }
    }
    for (auto& [path, times] : started) {
        std::sort(times.begin(), times.end());
        const auto late = std::count_if(times.begin(), times.end(), [&times = times, &ctx](TimePoint at) {
            return times.size() > kAllowedCrashes && at > times[kAllowedCrashes - 1] + ctx.bounds.crash_propagation;
        });
        if (late > kAllowedLateRuns) {
            out->push_back({"crashing requests are quarantined", path + " ran " + std::to_string(times.size()) +
                                                                     " times, " + std::to_string(late) + " late"});
        }
    }
}

/// Quarantine may affect at most one other path per incarnation of an instance.
void checkUnrelatedQuarantine(const CheckContext& ctx, std::vector<Violation>* out) {
    std::set<std::string> refused;
    for (const auto& request : ctx.observations.requests) {
        if (request->is_quarantined && request->path.find(standins::kCrashPathMarker) == std::string::npos) {
            refused.insert(request->path);
        }
    }
    if (refused.size() > ctx.observations.node_by_instance.size()) {
        out->push_back({"other requests are not quarantined", std::to_string(refused.size()) + " paths quarantined"});
    }
}

/// Requests run only with a key of a known tenant that was not revoked more than `revocation` ago. Instances receive
/// the tenant's name and never the key.
void checkKeys(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& request : ctx.observations.leaked_keys) {
        out->push_back({"API keys do not reach instances", request});
    }
    for (const auto& request : ctx.observations.requests) {
        if (request->key.empty() || ctx.runsOf(request->id).empty()) {
            continue;
        }
        std::string tenant;
        TimePoint valid_until{};
        for (const auto& table : ctx.observations.tables) {
            const auto found = table.tenants.find(request->key);
            if (found != table.tenants.end()) {
                tenant = found->second;
                valid_until = TimePoint::max();
            } else if (valid_until == TimePoint::max()) {
                valid_until = table.acknowledged;
            }
        }
        const auto recorded = ctx.observations.tenant_by_request.find(request->id);
        if (tenant.empty()) {
            out->push_back({"unknown keys run nothing", request->id});
        } else if (recorded == ctx.observations.tenant_by_request.end() || recorded->second != tenant) {
            out->push_back({"instances receive the tenant of the caller", request->id});
        } else if (valid_until != TimePoint::max() && request->sent > valid_until + ctx.bounds.revocation) {
            out->push_back({"revoked keys run nothing", request->id + " at node " + std::to_string(request->entry)});
        }
    }
}

void checkQuotas(const CheckContext& ctx, std::vector<Violation>* out) {
    std::map<std::string, std::vector<TimePoint>> started;  // By tenant.
    for (const auto& request : ctx.observations.requests) {
        const auto recorded = ctx.observations.tenant_by_request.find(request->id);
        if (recorded != ctx.observations.tenant_by_request.end() && !ctx.runsOf(request->id).empty()) {
            started[recorded->second].push_back(ctx.runsOf(request->id).front()->started);
        }
    }
    for (const auto& [tenant, max_runs] : ctx.bounds.max_runs) {
        auto& times = started[tenant];
        std::sort(times.begin(), times.end());
        for (auto from = times.begin(); from != times.end(); ++from) {
            const auto to = std::lower_bound(from, times.end(), *from + ctx.bounds.quota_window);
            if (static_cast<double>(to - from) > max_runs) {
                out->push_back({"tenant quotas are respected", tenant + ": " + std::to_string(to - from)});
                break;
            }
        }
    }
}

/// Where and when a request began.
struct Origin {
    std::size_t node = 0;
    TimePoint sent{};
};

/// Internal calls begin at the node of the instance that makes them, in a run of their parent request.
std::optional<Origin> originOf(const CheckContext& ctx, const Observations::Arrival& arrival,
                               const std::map<std::string, const CallerRequest*>& requests) {
    if (const auto found = requests.find(arrival.request); found != requests.end()) {
        return Origin{found->second->entry, found->second->sent};
    }
    const auto separator = arrival.request.rfind('+');
    const auto caller = arrival.request.substr(separator + 1);
    const auto node = ctx.observations.node_by_instance.find(caller);
    if (separator == std::string::npos || node == ctx.observations.node_by_instance.end()) {
        return std::nullopt;
    }
    for (const auto* run : ctx.runsOf(arrival.request.substr(0, separator))) {
        if (run->instance == caller) {
            return Origin{node->second, run->started};
        }
    }
    return std::nullopt;
}

/// @return the events of an instance for the replay of its signals. Requests whose entry was being restarted count as
/// of an unknown entry.
std::vector<sim::SignalEvent> signalEventsOf(const CheckContext& ctx, const std::string& instance,
                                             const std::map<std::string, const CallerRequest*>& requests) {
    using Kind = sim::SignalEvent::Kind;
    const auto& observations = ctx.observations;
    const auto entry_at = [&](std::size_t node, TimePoint at) {
        const bool restarts =
            std::any_of(observations.restarts.begin(), observations.restarts.end(), [&](const auto& it) {
                return it.node == node && it.started <= at && (it.ended == TimePoint{} || it.ended >= at);
            });
        return restarts ? std::string() : std::to_string(node);
    };
    std::vector<sim::SignalEvent> events;
    for (const auto& restart : observations.restarts) {
        events.push_back({restart.started, Kind::kRestart, std::to_string(restart.node)});
        events.push_back({restart.ended, Kind::kRestart, std::to_string(restart.node)});
    }
    for (const auto& event : observations.signals.at(instance)) {
        const bool is_passed = event.kind == Kind::kPassed;
        if (!is_passed || !entry_at(std::stoul(event.entry), event.at).empty()) {
            events.push_back(event);
        }
    }
    const auto arrivals = observations.arrivals_by_instance.find(instance);
    if (arrivals == observations.arrivals_by_instance.end()) {
        return events;
    }
    for (const auto& arrival : arrivals->second) {
        const auto origin = originOf(ctx, arrival, requests);
        if (origin) {
            events.push_back(
                {arrival.at, Kind::kArrival, entry_at(origin->node, arrival.at), {}, origin->sent, arrival.request});
        }
    }
    return events;
}

void checkSignals(const CheckContext& ctx, std::vector<Violation>* out) {
    std::map<std::string, const CallerRequest*> requests;
    for (const auto& request : ctx.observations.requests) {
        requests[request->id] = request.get();
    }
    for (const auto& [instance, recorded] : ctx.observations.signals) {
        for (const auto& violation : sim::replaySignals(instance, signalEventsOf(ctx, instance, requests))) {
            out->push_back({violation.invariant, violation.detail});
        }
    }
}

void checkUnexpectedExits(const CheckContext& ctx, std::vector<Violation>* out) {
    for (const auto& what : ctx.observations.unexpected_exits) {
        out->push_back({"no node process exits unexpectedly", what});
    }
}

constexpr Check kChecks[] = {
    checkNotExecuted,  checkDeliveries,       checkCallsNotExecuted,    checkAtMostOnce, checkCompleteResponse,
    checkResponded,    checkAllowedServices,  checkDrainedInstances,    checkRetries,    checkTablePropagation,
    checkDisconnected, checkCrashingRequests, checkUnrelatedQuarantine, checkKeys,       checkQuotas,
    checkSignals,      checkUnexpectedExits};

}  // namespace

std::vector<Violation> findViolations(const Observations& observations, const CheckBounds& bounds, TimePoint now) {
    CheckContext context{observations, bounds, now, {}};
    for (const auto& run : observations.runs) {
        context.runs[run.request].push_back(&run);
    }
    std::vector<Violation> violations;
    for (const auto check : kChecks) {
        check(context, &violations);
    }
    return violations;
}

}  // namespace dewcrank::soak
