#include "src/decision/bottleneck_view.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dewcrank::decision {

namespace {

/// Stale relay loads are evicted this often per `load_ttl`.
constexpr int kEvictionsPerTtl = 4;

}  // namespace

void BottleneckView::updateAverage(double* average, double value, bool is_first) const {
    *average += (value - *average) * (is_first ? 1 : knobs_.report_weight);
}

void BottleneckView::onReport(TimePoint now, const std::string& route, const std::string& service,
                              const std::string& relay, const RouteReport& report) {
    onRelayLoad(now, &services_[service], relay, report.load);
    auto& it = routes_[route];
    const bool is_first = it.service != service || now - it.last_report > 2 * knobs_.report_ttl;
    it.service = service;
    it.is_inner = report.is_inner.value_or(it.is_inner);
    updateAverage(&it.time, toSeconds(report.time), is_first);
    it.last_report = now;
    updateDownstream(&it, report.below);
    if (!report.below.service.empty()) {
        onReportedRatio(now, report.below);
    }
}

void BottleneckView::updateDownstream(Route* route, const Bottleneck& below) const {
    for (auto& [service, it] : route->below) {
        it.reported_share += ((service == below.service ? 1 : 0) - it.reported_share) * knobs_.reported_share_weight;
    }
    if (below.service.empty()) {
        return;
    }
    const auto [found, is_new] = route->below.try_emplace(below.service);
    updateAverage(&found->second.cost, toSeconds(below.cost), is_new);
    found->second.reported_share = is_new ? 1 : found->second.reported_share;
}

void BottleneckView::onRelayLoad(TimePoint now, Service* service, const std::string& relay,
                                 const ServiceLoad& load) const {
    evictStale(now, service);
    auto& it = service->relays[relay];
    service->sum -= it.load;
    service->sum += load;
    it = {load, now};
    service->last_report = now;
}

/// Removes the loads of relays without a recent report, and sums the others anew to remove rounding errors.
void BottleneckView::evictStale(TimePoint now, Service* service) const {
    if (now - service->last_eviction < knobs_.load_ttl / kEvictionsPerTtl) {
        return;
    }
    service->last_eviction = now;
    std::erase_if(service->relays, [&](const auto& entry) { return now - entry.second.last_report > knobs_.load_ttl; });
    service->sum = {};
    for (const auto& [name, it] : service->relays) {
        service->sum += it.load;
    }
}

/// A new ratio weighs more the longer ago the last one was reported.
void BottleneckView::onReportedRatio(TimePoint now, const Bottleneck& below) {
    auto& service = services_[below.service];
    const auto age = service.last_ratio_report ? toSeconds(now - *service.last_ratio_report)
                                               : std::numeric_limits<double>::infinity();
    const double weight = std::max(knobs_.report_weight, 1 - std::exp(-age / toSeconds(knobs_.ratio_averaging_time)));
    service.reported_ratio += (below.level - service.reported_ratio) * weight;
    service.last_ratio_report = now;
}

/// Holds a ratio for `report_ttl` after its report, then raises it linearly to 1 over the same time.
double BottleneckView::decayTowardOne(TimePoint now, TimePoint last_report, double level) const {
    const double age = toSeconds(now - last_report) / toSeconds(knobs_.report_ttl);
    return level + (1 - level) * std::clamp(age - 1, 0.0, 1.0);
}

double BottleneckView::admitRatioOf(TimePoint now, const std::string& service) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 1;
    }
    const auto& it = found->second;
    const bool has_own_report =
        it.last_report && (!it.last_ratio_report || now - *it.last_report <= knobs_.report_ttl ||
                           *it.last_report > *it.last_ratio_report);
    if (has_own_report) {
        return decayTowardOne(now, *it.last_report, it.sum.level());
    }
    return it.last_ratio_report ? decayTowardOne(now, *it.last_ratio_report, it.reported_ratio) : 1;
}

BottleneckView::Costs BottleneckView::costsOf(const Route& route) const {
    Costs costs;
    for (const auto& [service, it] : route.below) {
        if (it.reported_share >= knobs_.min_reported_share) {
            costs[service] = it.cost;
        }
    }
    costs[route.service] += route.time;
    return costs;
}

Bottleneck BottleneckView::lowestAmong(TimePoint now, const Costs& costs) const {
    Bottleneck lowest;
    for (const auto& [service, cost] : costs) {
        const double level = admitRatioOf(now, service);
        if (lowest.service.empty() || level < lowest.level) {
            lowest = {service, level, fromSeconds(cost)};
        }
    }
    return lowest;
}

Bottleneck BottleneckView::least(TimePoint now, const std::string& route) const {
    const auto found = routes_.find(route);
    return found == routes_.end() ? Bottleneck{} : lowestAmong(now, costsOf(found->second));
}

Bottleneck BottleneckView::leastBelow(TimePoint now, const std::string& route, const CallGraph& graph) const {
    Costs sum;
    for (const auto& [callee, it] : routes_) {
        if (!it.is_inner || !graph.depends(route, callee)) {
            continue;
        }
        const double calls = graph.callsPerRun(route, callee).value_or(1);
        for (const auto& [service, cost] : costsOf(it)) {
            sum[service] += calls * cost;
        }
    }
    return lowestAmong(now, sum);
}

bool BottleneckView::isInner(const std::string& route) const {
    const auto found = routes_.find(route);
    return found != routes_.end() && found->second.is_inner;
}

Bottleneck BottleneckView::leastOfAll(TimePoint now) const {
    Bottleneck lowest;
    for (const auto& [service, it] : services_) {
        const double level = admitRatioOf(now, service);
        if (lowest.service.empty() || level < lowest.level) {
            lowest = {service, level, {}};
        }
    }
    return lowest;
}

}  // namespace dewcrank::decision
