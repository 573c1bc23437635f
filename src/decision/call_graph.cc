#include "src/decision/call_graph.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {

constexpr double kDecay = 0.5;        ///< Counts are multiplied by this once per `half_life`.
constexpr int kMaxDeadlineTries = 8;  ///< Attempts to find a unique deadline for a sample.
/// A deadline later by this many tolerances than that of a call belongs to the call by chance only.
constexpr int kChanceOffset = 7;

Duration fractionOf(Duration whole, double share) {
    return std::chrono::duration_cast<Duration>(whole * share);
}

}  // namespace

void CallGraph::decay(TimePoint now) {
    if (now - decayed_at_ < knobs_.half_life) {
        return;
    }
    decayed_at_ = now;
    for (auto& [name, callee] : callees_) {
        callee.calls *= kDecay;
        callee.matched *= kDecay;
        callee.by_chance *= kDecay;
    }
    for (auto& [name, route] : routes_) {
        for (auto& [callee, it] : route.by_callee) {
            it.complete_runs *= kDecay;
            it.calls_of_complete *= kDecay;
            it.failed_runs *= kDecay;
            it.calls_of_failed *= kDecay;
        }
    }
}

/// Calls whose deadlines match by chance are left out: among many runs, each deadline is near that of some run.
bool CallGraph::isJudged(const Callee& callee) const {
    return callee.calls - callee.by_chance >= knobs_.min_callee_calls;
}

bool CallGraph::inheritsDeadline(const Callee& callee) const {
    const double judged = callee.calls - callee.by_chance;
    return isJudged(callee) && callee.matched - callee.by_chance >= knobs_.min_inherited_share * judged;
}

bool CallGraph::identifiesCalls(const Callee& callee, Duration time) const {
    return inheritsDeadline(callee) || time <= fractionOf(callee.usual, knobs_.sample_share);
}

bool CallGraph::needsSamples(const Callee& callee) const {
    return callee.calls >= knobs_.min_callee_calls && !inheritsDeadline(callee);
}

/// @return true if a run of this route has ample time to complete within the given one.
bool CallGraph::isAmpleTime(const Route& route, Duration time) const {
    return route.mean_time > 0 && toSeconds(time) >= knobs_.min_time_factor * route.mean_time;
}

bool CallGraph::isSampleDue(const Route& route) const {
    const bool is_known = std::all_of(callees_.begin(), callees_.end(), [&](const auto& callee) {
        const auto found = route.by_callee.find(callee.first);
        const bool has_enough = found != route.by_callee.end() && found->second.complete_runs >= 2 * knobs_.min_samples;
        return has_enough || !needsSamples(callee.second) ||
               !isAmpleTime(route, fractionOf(callee.second.usual, knobs_.sample_share));
    });
    return route.since_sample >= (is_known ? knobs_.known_interval : knobs_.learning_interval);
}

/// @return the shortest timeout for a sample that leaves it ample time; zero if there is none.
/// @param time_left until the deadline of the request.
Duration CallGraph::sampleTime(const Route& route, Duration time_left) const {
    const auto longest = fractionOf(time_left, knobs_.max_time_share);
    Duration shortest{};
    for (const auto& [name, callee] : callees_) {
        const auto time = std::min(longest, fractionOf(callee.usual, knobs_.sample_share));
        if (needsSamples(callee) && isAmpleTime(route, time) && (shortest == Duration::zero() || time < shortest)) {
            shortest = time;
        }
    }
    return shortest;
}

/// @return the latest deadline up to the given one that no run has; the epoch if none was found.
TimePoint CallGraph::findUniqueDeadline(TimePoint deadline) const {
    const auto separation = 2 * knobs_.tolerance + 1ms;
    for (int tries = 0; tries < kMaxDeadlineTries; ++tries, deadline -= separation) {
        const auto next = by_deadline_.lower_bound(deadline - separation);
        if (next == by_deadline_.end() || next->first > deadline + separation) {
            return deadline;
        }
    }
    return {};
}

CallGraph::RunId CallGraph::onRepeatableRunBegan(TimePoint now, const std::string& route_name,
                                                 const CallContext& call_context, TimePoint* deadline) {
    decay(now);
    auto& route = routes_[route_name];
    ++route.since_sample;
    const auto time = isSampleDue(route) ? sampleTime(route, *deadline - now) : Duration::zero();
    if (time > Duration::zero()) {
        const auto sample = findUniqueDeadline(now + time);
        if (sample != TimePoint{}) {
            *deadline = sample;
            route.since_sample = 0;
        }
    }
    return onRunBegan(now, route_name, call_context, *deadline);
}

CallGraph::RunId CallGraph::onRunBegan(TimePoint now, const std::string& route_name, const CallContext& call_context,
                                       TimePoint deadline) {
    decay(now);
    auto& route = routes_[route_name];
    ++route.running;
    route.sum.retry_probability += call_context.retry_probability;
    route.sum.demand_weight += call_context.demand_weight;
    route.sum.no_retry_share += call_context.no_retry_share;
    const auto id = ++last_id_;
    auto& run = runs_[id] = {route_name, call_context, now, deadline, true, {}};
    markDeadlineCollisions(&run);
    by_deadline_.emplace(deadline, id);
    return id;
}

/// Excludes runs with nearly equal deadlines from the samples: their calls cannot be told apart.
void CallGraph::markDeadlineCollisions(Run* run) {
    const auto separation = 2 * knobs_.tolerance;
    const auto end = by_deadline_.upper_bound(run->deadline + separation);
    for (auto it = by_deadline_.lower_bound(run->deadline - separation); it != end; ++it) {
        runs_.at(it->second).has_unique_deadline = false;
        run->has_unique_deadline = false;
    }
}

void CallGraph::onRunEnded(TimePoint now, RunId id, bool is_complete) {
    const auto ended = runs_.extract(id);
    const auto& run = ended.mapped();
    const auto [begin, end] = by_deadline_.equal_range(run.deadline);
    by_deadline_.erase(std::find_if(begin, end, [&](const auto& entry) { return entry.second == id; }));
    auto& route = routes_[run.route];
    --route.running;
    route.sum.retry_probability -= run.call_context.retry_probability;
    route.sum.demand_weight -= run.call_context.demand_weight;
    route.sum.no_retry_share -= run.call_context.no_retry_share;
    if (route.running == 0) {
        route.sum = {0, 0};  // Removes accumulated rounding errors.
    }
    if (is_complete) {
        const double time = toSeconds(now - run.began);
        route.mean_time += (time - route.mean_time) * (route.mean_time > 0 ? knobs_.time_weight : 1);
    }
    addSample(run, is_complete);
}

/// A run is a sample for each callee whose calls it is identified by.
void CallGraph::addSample(const Run& run, bool is_complete) {
    if (!run.has_unique_deadline) {
        return;
    }
    auto& by_callee = routes_[run.route].by_callee;
    for (const auto& [name, callee] : callees_) {
        if (!identifiesCalls(callee, run.deadline - run.began)) {
            continue;
        }
        const auto found = run.calls_made.find(name);
        const double calls = found == run.calls_made.end() ? 0 : found->second;
        auto& it = by_callee[name];
        (is_complete ? it.complete_runs : it.failed_runs) += 1;
        (is_complete ? it.calls_of_complete : it.calls_of_failed) += calls;
    }
}

/// @return the only run with this deadline; null if there is none or more than one.
CallGraph::Run* CallGraph::findRunByDeadline(TimePoint deadline) {
    const auto found = by_deadline_.lower_bound(deadline - knobs_.tolerance);
    if (found == by_deadline_.end() || found->first > deadline + knobs_.tolerance) {
        return nullptr;
    }
    const auto next = std::next(found);
    const bool is_unique = next == by_deadline_.end() || next->first > deadline + knobs_.tolerance;
    return is_unique ? &runs_.at(found->second) : nullptr;
}

bool CallGraph::hasRunUntil(TimePoint deadline) const {
    const auto found = by_deadline_.lower_bound(deadline - knobs_.tolerance);
    return found != by_deadline_.end() && found->first <= deadline + knobs_.tolerance;
}

void CallGraph::countMatch(TimePoint deadline, Callee* callee) const {
    callee->calls += 1;
    callee->matched += hasRunUntil(deadline) ? 1 : 0;
    callee->by_chance += hasRunUntil(deadline + kChanceOffset * knobs_.tolerance) ? 1 : 0;
}

CallContext CallGraph::onCall(TimePoint now, const std::string& name, Duration timeout) {
    decay(now);
    const bool is_shortened = usual_.isShortened(now, name, timeout);
    auto& callee = callees_[name];
    callee.usual = usual_.usual(name);
    countMatch(now + timeout, &callee);
    // Calls to a callee that is not judged yet count for the runs that end after it is.
    const bool may_inherit = inheritsDeadline(callee) || !isJudged(callee);
    auto* run = is_shortened || may_inherit ? findRunByDeadline(now + timeout) : nullptr;
    if (run == nullptr) {
        return meanContext(name);
    }
    run->calls_made[name] += 1;
    return run->call_context;
}

/// @return the mean over the runs in progress, weighted by the calls to `callee` that each makes.
CallContext CallGraph::meanContext(const std::string& callee) const {
    CallContext sum{0, 0};
    double weight = 0;
    for (const auto& [name, route] : routes_) {
        if (route.running > 0) {
            const double calls = callsPerRun(name, callee).value_or(1);
            weight += calls * route.running;
            sum.retry_probability += calls * route.sum.retry_probability;
            sum.demand_weight += calls * route.sum.demand_weight;
            sum.no_retry_share += calls * route.sum.no_retry_share;
        }
    }
    if (weight <= 0) {
        return {};
    }
    return {std::clamp(sum.retry_probability / weight, 0.0, 1.0), std::max(1.0, sum.demand_weight / weight),
            std::clamp(sum.no_retry_share / weight, 0.0, 1.0)};
}

/// Uses the latest failed call: older ones have more probably caused an earlier response.
bool CallGraph::attributeFailure(TimePoint now, TimePoint run_began) {
    while (!failed_calls_.empty() && now - failed_calls_.front() > knobs_.failure_ttl) {
        failed_calls_.pop_front();
    }
    if (failed_calls_.empty() || failed_calls_.back() < run_began) {
        return false;
    }
    failed_calls_.pop_back();
    return true;
}

std::optional<double> CallGraph::callsPerRun(const std::string& route, const std::string& callee) const {
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return std::nullopt;
    }
    const auto samples = found->second.by_callee.find(callee);
    if (samples == found->second.by_callee.end()) {
        return std::nullopt;
    }
    const auto& it = samples->second;
    if (it.complete_runs >= knobs_.min_samples) {
        return it.calls_of_complete / it.complete_runs;
    }
    if (it.failed_runs >= knobs_.min_failed_samples) {
        return it.calls_of_failed / it.failed_runs;
    }
    return std::nullopt;
}

bool CallGraph::depends(const std::string& route, const std::string& callee) const {
    return callsPerRun(route, callee).value_or(1) >= knobs_.min_calls;
}

double CallGraph::maxCallsPerRun(const std::string& route) const {
    double max_calls = 0;
    for (const auto& [callee, usual] : callees_) {
        const double calls = callsPerRun(route, callee).value_or(1);
        max_calls = std::max(max_calls, calls >= knobs_.min_calls ? calls : 0);
    }
    return max_calls;
}

}  // namespace dewcrank::decision
