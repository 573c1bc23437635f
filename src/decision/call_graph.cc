#include "src/decision/call_graph.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {

constexpr double kFade = 0.5;
constexpr int kDeadlineTries = 8;  ///< Before a sample is given up for want of a deadline of its own.

Duration part(Duration whole, double share) {
    return std::chrono::duration_cast<Duration>(whole * share);
}

}  // namespace

void CallGraph::fade(TimePoint now) {
    if (now - faded_ < knobs_.half_life) {
        return;
    }
    faded_ = now;
    for (auto& [name, route] : routes_) {
        for (auto& [callee, it] : route.by_callee) {
            it.whole_runs *= kFade;
            it.calls_of_whole *= kFade;
            it.failed_runs *= kFade;
            it.calls_of_failed *= kFade;
        }
    }
}

/// True if a run that shows calls of this usual time has ample time.
bool CallGraph::hasRoom(const Route& route, Duration usual) const {
    return route.mean_time > 0 && toSeconds(part(usual, knobs_.sample_share)) >= knobs_.least_room * route.mean_time;
}

bool CallGraph::isSampleDue(const Route& route) const {
    const bool is_known = std::all_of(callees_.begin(), callees_.end(), [&](const auto& callee) {
        const auto found = route.by_callee.find(callee.first);
        const bool has_enough = found != route.by_callee.end() && found->second.whole_runs >= 2 * knobs_.enough_samples;
        return has_enough || !hasRoom(route, callee.second);
    });
    return route.since_sample >= (is_known ? knobs_.known_interval : knobs_.learning_interval);
}

/// The shortest time that shows calls and leaves room; zero if none does.
Duration CallGraph::sampleTime(const Route& route) const {
    Duration least{};
    for (const auto& [callee, usual] : callees_) {
        const auto time = part(usual, knobs_.sample_share);
        if (hasRoom(route, usual) && (least == Duration::zero() || time < least)) {
            least = time;
        }
    }
    return least;
}

/// The latest deadline up to the given one that no run has; the epoch if there is none near by.
TimePoint CallGraph::unlikeOthers(TimePoint deadline) const {
    const auto apart = 2 * knobs_.tolerance + 1ms;
    for (int tries = 0; tries < kDeadlineTries; ++tries, deadline -= apart) {
        const auto next = by_deadline_.lower_bound(deadline - apart);
        if (next == by_deadline_.end() || next->first > deadline + apart) {
            return deadline;
        }
    }
    return {};
}

CallGraph::RunNumber CallGraph::onRunBegan(TimePoint now, const std::string& route_name, const Lineage& lineage,
                                           TimePoint* deadline) {
    fade(now);
    auto& route = routes_[route_name];
    ++route.since_sample;
    if (isSampleDue(route)) {
        const auto time = sampleTime(route);
        const auto sample = time == Duration::zero() ? TimePoint{} : unlikeOthers(std::min(*deadline, now + time));
        if (sample != TimePoint{}) {
            *deadline = sample;
            route.since_sample = 0;
        }
    }
    ++route.running;
    route.sum.repeat_share += lineage.repeat_share;
    route.sum.represents += lineage.represents;
    const auto number = ++last_number_;
    auto& run = runs_[number] = {route_name, lineage, now, *deadline, true, {}};
    markNeighbours(&run);
    by_deadline_.emplace(*deadline, number);
    return number;
}

void CallGraph::markNeighbours(Run* run) {
    const auto apart = 2 * knobs_.tolerance;
    const auto end = by_deadline_.upper_bound(run->deadline + apart);
    for (auto it = by_deadline_.lower_bound(run->deadline - apart); it != end; ++it) {
        runs_.at(it->second).is_alone = false;
        run->is_alone = false;
    }
}

void CallGraph::onRunEnded(TimePoint now, RunNumber number, bool is_whole) {
    const auto ended = runs_.extract(number);
    const auto& run = ended.mapped();
    const auto [begin, end] = by_deadline_.equal_range(run.deadline);
    by_deadline_.erase(std::find_if(begin, end, [&](const auto& entry) { return entry.second == number; }));
    auto& route = routes_[run.route];
    --route.running;
    route.sum.repeat_share -= run.lineage.repeat_share;
    route.sum.represents -= run.lineage.represents;
    if (route.running == 0) {
        route.sum = {0, 0};  // Rounding does not add up.
    }
    if (is_whole) {
        const double time = toSeconds(now - run.began);
        route.mean_time += (time - route.mean_time) * (route.mean_time > 0 ? knobs_.time_weight : 1);
    }
    count(run, is_whole);
}

/// A run shows how many calls of a callee it makes if it had less time from its start on than they
/// usually give.
void CallGraph::count(const Run& run, bool is_whole) {
    if (!run.is_alone) {
        return;
    }
    auto& by_callee = routes_[run.route].by_callee;
    for (const auto& [callee, usual] : callees_) {
        if (run.deadline - run.began > part(usual, knobs_.sample_share)) {
            continue;
        }
        const auto made = run.made.find(callee);
        const double calls = made == run.made.end() ? 0 : made->second;
        auto& it = by_callee[callee];
        (is_whole ? it.whole_runs : it.failed_runs) += 1;
        (is_whole ? it.calls_of_whole : it.calls_of_failed) += calls;
    }
}

/// The one run that has this deadline; null if there is none, or if several have.
CallGraph::Run* CallGraph::recognise(TimePoint deadline) {
    const auto found = by_deadline_.lower_bound(deadline - knobs_.tolerance);
    if (found == by_deadline_.end() || found->first > deadline + knobs_.tolerance) {
        return nullptr;
    }
    const auto next = std::next(found);
    const bool is_alone = next == by_deadline_.end() || next->first > deadline + knobs_.tolerance;
    return is_alone ? &runs_.at(found->second) : nullptr;
}

Lineage CallGraph::onCall(TimePoint now, const std::string& callee, Duration given) {
    fade(now);
    const bool is_shortened = usual_.isShortened(now, callee, given);
    callees_[callee] = usual_.usual(callee);
    auto* run = is_shortened ? recognise(now + given) : nullptr;
    if (run == nullptr) {
        return meanLineage(callee);
    }
    run->made[callee] += 1;
    return run->lineage;
}

/// Runs count by the calls that they make.
Lineage CallGraph::meanLineage(const std::string& callee) const {
    Lineage sum{0, 0};
    double weight = 0;
    for (const auto& [name, route] : routes_) {
        if (route.running > 0) {
            const double calls = callsPerRun(name, callee).value_or(1);
            weight += calls * route.running;
            sum.repeat_share += calls * route.sum.repeat_share;
            sum.represents += calls * route.sum.represents;
        }
    }
    if (weight <= 0) {
        return {};
    }
    return {std::clamp(sum.repeat_share / weight, 0.0, 1.0), std::max(1.0, sum.represents / weight)};
}

/// The latest failed call is taken: older ones are likelier to have been answered for already.
bool CallGraph::explainFailure(TimePoint now, TimePoint run_began) {
    while (!failed_calls_.empty() && now - failed_calls_.front() > knobs_.failure_memory) {
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
    if (it.whole_runs >= knobs_.enough_samples) {
        return it.calls_of_whole / it.whole_runs;
    }
    if (it.failed_runs >= knobs_.enough_failed_samples) {
        return it.calls_of_failed / it.failed_runs;
    }
    return std::nullopt;
}

bool CallGraph::depends(const std::string& route, const std::string& callee) const {
    return callsPerRun(route, callee).value_or(1) >= knobs_.least_calls;
}

double CallGraph::mostCalls(const std::string& route) const {
    double most = 0;
    for (const auto& [callee, usual] : callees_) {
        const double calls = callsPerRun(route, callee).value_or(1);
        most = std::max(most, calls >= knobs_.least_calls ? calls : 0);
    }
    return most;
}

}  // namespace dewcrank::decision
