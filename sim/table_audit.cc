#include "sim/table_audit.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::sim {

namespace {

/// Path prefix of a route that is the same in all versions.
const std::string kFirstRoute = "/work/";
/// Each version adds a route. It leads to the first service for so many versions, then to the second one for as many,
/// and is removed then.
constexpr std::size_t kVersionsPerService = 6;
constexpr Duration kObserveInterval = 10ms;
/// Minimum number of requests on routes added later that shows whether a fleet serves these.
constexpr std::size_t kMinAddedRequests = 20;
/// Routes added later are served at least this often, as a share of the first routes.
constexpr double kMinServedRatio = 0.25;

const std::string kInForceInvariant = "changes of the table are in force in time";
const std::string kRegressionInvariant = "nodes do not return to an older table";
const std::string kAddedInvariant = "added routes are served";

/// The route that a version added.
std::string routeOf(std::size_t version) {
    return "/added-" + std::to_string(version) + "/";
}

}  // namespace

TableAudit::TableAudit(SidecarFleet& fleet, std::array<std::string, 2> services)
    : fleet_(fleet), services_(std::move(services)) {
    observe();
}

void TableAudit::change() {
    const auto number = versions_.size();
    Version version;
    version.acknowledged = fleet_.queue().now();
    std::vector<ExtraRoute> routes;
    for (std::size_t age = 0; age < services_.size() * kVersionsPerService && age < number; ++age) {
        routes.push_back({routeOf(number - age), services_[age / kVersionsPerService]});
        version.services[routes.back().prefix] = routes.back().service;
    }
    version.services[kFirstRoute] = services_.front();
    fleet_.setExtraRoutes(std::move(routes));
    fleet_.putTable(services_.front(), services_.front(), services_.front());
    versions_.push_back(std::move(version));
}

void TableAudit::changeRepeatedly(Duration interval, TimePoint end) {
    if (fleet_.queue().now() < end) {
        change();
        fleet_.after(interval, [this, interval, end] { changeRepeatedly(interval, end); });
    }
}

void TableAudit::probeRepeatedly(Duration interval, TimePoint end) {
    if (fleet_.queue().now() >= end) {
        return;
    }
    for (std::size_t machine = 0; machine < fleet_.machineCount(); ++machine) {
        probe(machine);
    }
    fleet_.after(interval, [this, interval, end] { probeRepeatedly(interval, end); });
}

/// Requests the routes that the newest version has added, moved and removed, and those of the version that is due now.
void TableAudit::probe(std::size_t machine) {
    send(machine, kFirstRoute);
    const auto now = fleet_.queue().now();
    for (const auto version : std::set<std::size_t>{newestAt(now), newestAt(now - bounds_.apply)}) {
        for (std::size_t phase = 0; phase <= services_.size(); ++phase) {
            if (version > phase * kVersionsPerService) {
                send(machine, routeOf(version - phase * kVersionsPerService));
            }
        }
    }
}

void TableAudit::send(std::size_t machine, const std::string& route) {
    probes_.push_back({fleet_.requests().size(), machine, route});
    fleet_.send(machine, route + "x", true);
}

void TableAudit::onMachineDisturbed(std::size_t machine, Duration duration) {
    const auto now = fleet_.queue().now();
    disturbed_[machine].push_back({now, now + duration});
}

void TableAudit::onAllDisturbed(Duration duration) {
    for (std::size_t machine = 0; machine < fleet_.machineCount(); ++machine) {
        onMachineDisturbed(machine, duration);
    }
}

void TableAudit::onNodeRestarted(std::size_t machine) {
    restarts_[machine].push_back(fleet_.queue().now());
}

bool TableAudit::isDisturbed(std::size_t machine, TimePoint at) const {
    const auto found = disturbed_.find(machine);
    return found != disturbed_.end() && std::any_of(found->second.begin(), found->second.end(), [at](const auto& span) {
               return span.begin <= at && at < span.end;
           });
}

bool TableAudit::isInTouch(std::size_t machine, TimePoint at) const {
    const auto found = disturbed_.find(machine);
    return found == disturbed_.end() || std::none_of(found->second.begin(), found->second.end(), [&](const auto& span) {
               return span.begin <= at && at - bounds_.contact < span.end;
           });
}

void TableAudit::observe() {
    auto oldest = versions_.size() - 1;
    const auto now = fleet_.queue().now();
    for (std::size_t machine = 0; machine < fleet_.machineCount(); ++machine) {
        const auto* node = fleet_.node(machine);
        if (node != nullptr && !isDisturbed(machine, now)) {
            oldest = std::min<std::size_t>(oldest, node->table().version());
        }
    }
    for (std::size_t number = oldest; number > 0 && !versions_[number].delay; --number) {
        versions_[number].delay = now - versions_[number].acknowledged;
    }
    fleet_.after(kObserveInterval, [this] { observe(); });
}

std::vector<std::optional<Duration>> TableAudit::delays(TimePoint begin) const {
    std::vector<std::optional<Duration>> found;
    for (std::size_t number = 1; number < versions_.size(); ++number) {
        if (versions_[number].acknowledged >= begin) {
            found.push_back(versions_[number].delay);
        }
    }
    return found;
}

// Checks ---------------------------------------------------------------------

TableAudit::Outcome TableAudit::outcomeOf(const CallerRequest& request,
                                          const std::map<std::string, const RunRecord*>& runs) const {
    if (request.status == kHttpNotFound) {
        return "";
    }
    const auto run = runs.find(request.id);
    return run == runs.end() ? Outcome() : run->second->service;
}

bool TableAudit::allows(std::size_t version, const std::string& route, const std::string& outcome) const {
    const auto found = versions_[version].services.find(route);
    return (found == versions_[version].services.end() ? "" : found->second) == outcome;
}

std::size_t TableAudit::newestAt(TimePoint at) const {
    auto newest = versions_.size() - 1;
    while (newest > 0 && versions_[newest].acknowledged > at) {
        --newest;
    }
    return newest;
}

void TableAudit::checkInForce(const Probe& probe, const std::string& outcome, std::vector<Violation>* out) const {
    const auto& request = *fleet_.requests()[probe.request];
    if (!isInTouch(probe.machine, request.sent)) {
        return;
    }
    const auto oldest_allowed = newestAt(request.sent - bounds_.apply);
    const auto newest_allowed = newestAt(request.ended);
    for (auto version = oldest_allowed; version <= newest_allowed; ++version) {
        if (allows(version, probe.route, outcome)) {
            return;
        }
    }
    const auto late = request.sent - versions_[oldest_allowed].acknowledged - bounds_.apply;
    out->push_back({kInForceInvariant, request.id + " at " + request.entry + ": " + probe.route + " -> " +
                                           (outcome.empty() ? "unknown" : outcome) + ", version " +
                                           std::to_string(oldest_allowed) + " or newer was due since " +
                                           std::to_string(toMilliseconds(late)) + " ms"});
}

/// Only runs show the effect of a version. Version numbers that explain a run are compared, since some routes are the
/// same in several versions.
void TableAudit::checkRegressions(std::size_t machine, const std::map<std::string, const RunRecord*>& runs,
                                  std::vector<Violation>* out) const {
    struct Effect {
        TimePoint at{};
        std::size_t version = 0;
    };
    std::vector<Effect> effects;
    const auto restarts = restarts_.find(machine);
    const auto life_of = [&](TimePoint at) {
        return restarts == restarts_.end() ? 0
                                           : std::count_if(restarts->second.begin(), restarts->second.end(),
                                                           [at](auto it) { return it <= at; });
    };
    for (const auto& probe : probes_) {
        const auto& request = *fleet_.requests()[probe.request];
        const auto outcome = outcomeOf(request, runs);
        if (probe.machine != machine || !outcome) {
            continue;
        }
        std::size_t oldest_seen = 0;
        for (const auto& effect : effects) {
            if (effect.at + bounds_.back < request.sent && life_of(effect.at) == life_of(request.sent)) {
                oldest_seen = std::max(oldest_seen, effect.version);
            }
        }
        std::size_t oldest = 0;
        std::size_t newest = 0;
        for (std::size_t version = 1; version < versions_.size(); ++version) {
            if (allows(version, probe.route, *outcome)) {
                oldest = oldest == 0 ? version : oldest;
                newest = version;
            }
        }
        if (newest < oldest_seen) {
            out->push_back({kRegressionInvariant, request.id + " at " + request.entry});
        }
        if (const auto run = runs.find(request.id); run != runs.end() && oldest > 0) {
            effects.push_back({run->second->began, oldest});
        }
    }
}

/// Compares probes on the newest added route, once it is due, with probes on the route that all versions have.
void TableAudit::checkAddedRoutes(std::vector<Violation>* out) const {
    struct Count {
        double sent = 0;
        double served = 0;
        [[nodiscard]] double ratio() const { return served / std::max(1.0, sent); }
    };
    Count first;
    Count added;
    for (const auto& probe : probes_) {
        const auto& request = *fleet_.requests()[probe.request];
        const auto due = newestAt(request.sent - bounds_.apply);
        const bool is_first = probe.route == kFirstRoute;
        const bool is_due = versions_[due].services.contains(probe.route) &&
                            versions_[newestAt(request.ended)].services.contains(probe.route);
        if (!isInTouch(probe.machine, request.sent) || !is_due) {
            continue;
        }
        auto& count = is_first ? first : added;
        count.sent += 1;
        count.served += request.status == kHttpOk ? 1 : 0;
    }
    if (added.sent >= kMinAddedRequests && added.ratio() < kMinServedRatio * first.ratio()) {
        out->push_back({kAddedInvariant, std::to_string(added.ratio()) + " of added, " + std::to_string(first.ratio()) +
                                             " of first routes"});
    }
}

std::vector<Violation> TableAudit::violations() const {
    std::map<std::string, const RunRecord*> runs;
    for (const auto& run : fleet_.runs()) {
        runs.try_emplace(run.request_id, &run);
    }
    std::vector<Violation> found;
    for (const auto& probe : probes_) {
        if (const auto outcome = outcomeOf(*fleet_.requests()[probe.request], runs)) {
            checkInForce(probe, *outcome, &found);
        }
    }
    for (std::size_t machine = 0; machine < fleet_.machineCount(); ++machine) {
        checkRegressions(machine, runs, &found);
    }
    checkAddedRoutes(&found);
    return found;
}

}  // namespace dewcrank::sim
