#include "src/sidecar/inner_calls.h"

namespace dewcrank::sidecar {

namespace {
/// Of one report in the moving average of a level.
constexpr double kReportWeight = 0.2;
}  // namespace

InnerCalls::InnerCalls(Clock& clock, decision::CallGraph& graph, Duration memory)
    : clock_(clock), graph_(graph), memory_(memory) {}

decision::Lineage InnerCalls::onCall(const std::string& route, Duration given) {
    return graph_.onCall(clock_.now(), route, given);
}

void InnerCalls::onFailed(const std::string& route) {
    if (isInner(route)) {
        graph_.onCallFailed(clock_.now());
    }
}

void InnerCalls::onReport(const std::string& route, bool is_inner, const decision::Bottleneck& bottleneck) {
    if (!is_inner) {
        below_.erase(route);
        return;
    }
    auto& it = below_[route];
    const bool is_same = it.bottleneck.service == bottleneck.service;
    const double former = is_same ? it.bottleneck.level : bottleneck.level;
    it.bottleneck = {bottleneck.service, former + (bottleneck.level - former) * kReportWeight};
    it.reported = clock_.now();
}

bool InnerCalls::isOverloaded(const std::string& route) const {
    const auto found = below_.find(route);
    return found != below_.end() && isRecent(found->second) &&
           found->second.bottleneck.level < decision::kUnloadedLevel;
}

decision::Bottleneck InnerCalls::leastOf(const std::string& route, decision::Bottleneck own) const {
    for (const auto& [callee, it] : below_) {
        if (isRecent(it) && it.bottleneck.level < own.level && graph_.depends(route, callee)) {
            own = it.bottleneck;
        }
    }
    return own;
}

}  // namespace dewcrank::sidecar
