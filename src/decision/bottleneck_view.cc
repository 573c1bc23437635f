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
    it.is_internal = report.is_internal.value_or(it.is_internal);
    updateAverage(&it.time, toSeconds(report.time), is_first);
    it.last_report = now;
    updateDownstream(&it, report.downstream);
    if (!report.downstream.service.empty()) {
        onReportedRatio(now, report.downstream);
    }
}

void BottleneckView::updateDownstream(Route* route, const Bottleneck& downstream) const {
    for (auto& [service, it] : route->downstream) {
        it.reported_share +=
            ((service == downstream.service ? 1 : 0) - it.reported_share) * knobs_.reported_share_weight;
    }
    if (downstream.service.empty()) {
        return;
    }
    const auto [found, is_new] = route->downstream.try_emplace(downstream.service);
    updateAverage(&found->second.cost, toSeconds(downstream.cost), is_new);
    updateAverage(&found->second.calls, downstream.calls, is_new);
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
void BottleneckView::onReportedRatio(TimePoint now, const Bottleneck& downstream) {
    auto& service = services_[downstream.service];
    const auto age = service.last_ratio_report ? toSeconds(now - *service.last_ratio_report)
                                               : std::numeric_limits<double>::infinity();
    const double weight = std::max(knobs_.report_weight, 1 - std::exp(-age / toSeconds(knobs_.ratio_averaging_time)));
    auto& reported = service.reported;
    reported.slots += (downstream.admit_ratio - reported.slots) * weight;
    reported.retries += (downstream.retry_ratio - reported.retries) * weight;
    reported.retries_per_call += (downstream.retries_per_call - reported.retries_per_call) * weight;
    service.last_ratio_report = now;
}

/// Holds a ratio for `report_ttl` after its report, then raises it linearly to 1 over the same time.
BottleneckView::Ratios BottleneckView::decayTowardOne(TimePoint now, TimePoint last_report,
                                                      const Ratios& ratios) const {
    const double age = toSeconds(now - last_report) / toSeconds(knobs_.report_ttl);
    const double decayed = std::clamp(age - 1, 0.0, 1.0);
    return {ratios.slots + (1 - ratios.slots) * decayed, ratios.retries + (1 - ratios.retries) * decayed,
            ratios.retries_per_call * (1 - decayed)};
}

void BottleneckView::onCallEnded(TimePoint now, const std::string& service, bool found_instance) {
    const auto found = services_.find(service);
    if (found != services_.end() && (found->second.no_instance || !found_instance)) {
        auto& no_instance = found->second.no_instance;
        no_instance = no_instance.value_or(DecayingMean(knobs_.no_instance_decay));
        no_instance->add(now, found_instance ? 0 : 1);
    }
}

BottleneckView::Ratios BottleneckView::ratiosOf(TimePoint now, const std::string& service) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return {};
    }
    const auto& it = found->second;
    const double missing = it.no_instance ? it.no_instance->decayedMean(now) : 0;
    const double available = missing < knobs_.min_missing_share ? 1 : 1 - missing;
    auto ratios = reportedRatiosOf(now, it);
    ratios.slots = std::min(ratios.slots, std::max(available, knobs_.min_available_share));
    return ratios;
}

/// Uses the loads that the service's relays report to this node, or the ratios that other nodes report if these loads
/// are outdated.
BottleneckView::Ratios BottleneckView::reportedRatiosOf(TimePoint now, const Service& it) const {
    const bool has_own_report =
        it.last_report && (!it.last_ratio_report || now - *it.last_report <= knobs_.report_ttl ||
                           *it.last_report > *it.last_ratio_report);
    if (has_own_report) {
        return decayTowardOne(now, *it.last_report,
                              {it.sum.admitRatio(), it.sum.retryAdmitRatio(), it.sum.retriesPerCall()});
    }
    return it.last_ratio_report ? decayTowardOne(now, *it.last_ratio_report, it.reported) : Ratios{};
}

Bottleneck BottleneckView::bottleneckAt(TimePoint now, const std::string& service, const Cost& cost) const {
    const auto ratios = ratiosOf(now, service);
    Bottleneck result{service, ratios.slots, fromSeconds(cost.time)};
    result.calls = cost.calls;
    if (knobs_.includes_retries) {
        result.scarce = ratios.retries < ratios.slots ? Resource::kRetries : Resource::kSlots;
        result.retry_ratio = ratios.retries;
        result.retries_per_call = ratios.retries_per_call;
    }
    return result;
}

BottleneckView::Costs BottleneckView::costsOf(const Route& route) const {
    Costs costs;
    for (const auto& [service, it] : route.downstream) {
        if (it.reported_share >= knobs_.min_reported_share) {
            costs[service] = {it.cost, it.calls};
        }
    }
    auto& own = costs[route.service];
    own.time += route.time;
    own.calls += 1;
    return costs;
}

Bottleneck BottleneckView::lowestAmong(TimePoint now, const Costs& costs) const {
    Bottleneck lowest;
    for (const auto& [service, cost] : costs) {
        const auto candidate = bottleneckAt(now, service, cost);
        if (lowest.service.empty() || candidate.lowestRatio() < lowest.lowestRatio()) {
            lowest = candidate;
        }
    }
    return lowest;
}

Bottleneck BottleneckView::bottleneckOf(TimePoint now, const std::string& route) const {
    const auto found = routes_.find(route);
    return found == routes_.end() ? Bottleneck{} : lowestAmong(now, costsOf(found->second));
}

Bottleneck BottleneckView::bottleneckOfCalls(TimePoint now, const std::string& route, const CallGraph& graph) const {
    Costs sum;
    for (const auto& [callee, it] : routes_) {
        if (!it.is_internal || !graph.depends(route, callee)) {
            continue;
        }
        const double calls = graph.callsPerRun(route, callee).value_or(1);
        for (const auto& [service, cost] : costsOf(it)) {
            auto& total = sum[service];
            total.time += calls * cost.time;
            total.calls += calls * cost.calls;
        }
    }
    return lowestAmong(now, sum);
}

bool BottleneckView::isInternal(const std::string& route) const {
    const auto found = routes_.find(route);
    return found != routes_.end() && found->second.is_internal;
}

Bottleneck BottleneckView::worstBottleneck(TimePoint now) const {
    Bottleneck lowest;
    for (const auto& [service, it] : services_) {
        const auto candidate = bottleneckAt(now, service, {});
        if (lowest.service.empty() || candidate.lowestRatio() < lowest.lowestRatio()) {
            lowest = candidate;
        }
    }
    return lowest;
}

}  // namespace dewcrank::decision
