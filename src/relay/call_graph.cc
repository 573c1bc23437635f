#include "src/relay/call_graph.h"

#include <algorithm>

namespace dewcrank::relay {

namespace {

/// Of its longest time: a call that gives more was not shortened by its request's deadline.
constexpr double kUsualShare = 0.99;
constexpr double kFade = 0.5;

}  // namespace

void CallGraph::fade(TimePoint now) {
    if (now - faded_ < knobs_.half_life) {
        return;
    }
    faded_ = now;
    for (auto& [route, count] : runs_) {
        count *= kFade;
    }
    for (auto& [name, it] : callees_) {
        it.usual = {};
        it.calls *= kFade;
        it.matches *= kFade;
        for (auto& [route, count] : it.by_caller) {
            count *= kFade;
        }
    }
}

void CallGraph::onRunBegan(TimePoint now, const std::string& route, TimePoint deadline) {
    fade(now);
    running_.emplace(deadline, route);
    ++runs_[route];
}

void CallGraph::onRunEnded(const std::string& route, TimePoint deadline) {
    const auto [begin, end] = running_.equal_range(deadline);
    const auto found = std::find_if(begin, end, [&](const auto& entry) { return entry.second == route; });
    if (found != end) {
        running_.erase(found);
    }
}

/// A call whose deadline is that of several requests counts for each of them in part.
void CallGraph::onCall(TimePoint now, const std::string& callee, Duration given) {
    fade(now);
    auto& it = callees_[callee];
    ++it.calls;
    it.usual = std::max(it.usual, given);
    if (static_cast<double>(given.count()) > kUsualShare * static_cast<double>(it.usual.count())) {
        return;
    }
    const auto begin = running_.lower_bound(now + given - knobs_.tolerance);
    const auto end = running_.upper_bound(now + given + knobs_.tolerance);
    const auto count = static_cast<double>(std::distance(begin, end));
    for (auto run = begin; run != end; ++run) {
        it.by_caller[run->second] += 1 / count;
    }
    it.matches += begin == end ? 0 : 1;
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

bool CallGraph::depends(const std::string& route, const std::string& callee) const {
    const auto found = callees_.find(callee);
    const auto runs = runs_.find(route);
    const bool is_known = found != callees_.end() && found->second.matches >= knobs_.least_matches &&
                          runs != runs_.end() && runs->second >= knobs_.least_runs;
    if (!is_known) {
        return true;
    }
    const auto& it = found->second;
    const auto matched = it.by_caller.find(route);
    const double share = matched == it.by_caller.end() ? 0 : matched->second / it.matches;
    return share * it.calls / runs->second >= knobs_.least_calls;
}

}  // namespace dewcrank::relay
