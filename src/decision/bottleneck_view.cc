#include "src/decision/bottleneck_view.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dewcrank::decision {

namespace {

/// A relay's load goes at the latest after this part of its time.
constexpr int kSweepsInMemory = 4;

}  // namespace

void BottleneckView::approach(double* average, double value, bool is_first) const {
    *average += (value - *average) * (is_first ? 1 : knobs_.report_weight);
}

void BottleneckView::onReport(TimePoint now, const std::string& route, const std::string& service,
                              const std::string& relay, const RouteReport& report) {
    onRelayLoad(now, &services_[service], relay, report.load);
    auto& it = routes_[route];
    const bool is_first = it.service != service || now - it.reported > 2 * knobs_.memory;
    it.service = service;
    it.is_inner = report.is_inner.value_or(it.is_inner);
    approach(&it.time, toSeconds(report.time), is_first);
    it.reported = now;
    onBelow(&it, report.below);
    if (!report.below.service.empty()) {
        onTold(now, report.below);
    }
}

void BottleneckView::onBelow(Route* route, const Bottleneck& below) const {
    for (auto& [service, it] : route->below) {
        it.presence += ((service == below.service ? 1 : 0) - it.presence) * knobs_.presence_weight;
    }
    if (below.service.empty()) {
        return;
    }
    const auto [found, is_new] = route->below.try_emplace(below.service);
    approach(&found->second.cost, toSeconds(below.cost), is_new);
    found->second.presence = is_new ? 1 : found->second.presence;
}

void BottleneckView::onRelayLoad(TimePoint now, Service* service, const std::string& relay,
                                 const ServiceLoad& load) const {
    sweep(now, service);
    auto& it = service->relays[relay];
    service->sum -= it.load;
    service->sum += load;
    it = {load, now};
    service->reported = now;
}

/// Relays that were not heard for a while say nothing of the present.
void BottleneckView::sweep(TimePoint now, Service* service) const {
    if (now - service->swept < knobs_.load_memory / kSweepsInMemory) {
        return;
    }
    service->swept = now;
    std::erase_if(service->relays, [&](const auto& entry) { return now - entry.second.reported > knobs_.load_memory; });
    service->sum = {};
    for (const auto& [name, it] : service->relays) {
        service->sum += it.load;
    }
}

void BottleneckView::onTold(TimePoint now, const Bottleneck& below) {
    auto& service = services_[below.service];
    const auto age = service.told ? toSeconds(now - *service.told) : std::numeric_limits<double>::infinity();
    const double weight = std::max(knobs_.report_weight, 1 - std::exp(-age / toSeconds(knobs_.told_averaging)));
    service.told_level += (below.level - service.told_level) * weight;
    service.told = now;
}

double BottleneckView::faded(TimePoint now, TimePoint reported, double level) const {
    const double age = toSeconds(now - reported) / toSeconds(knobs_.memory);
    return level + (1 - level) * std::clamp(age - 1, 0.0, 1.0);
}

double BottleneckView::levelOf(TimePoint now, const std::string& service) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 1;
    }
    const auto& it = found->second;
    const bool has_own = it.reported && (!it.told || now - *it.reported <= knobs_.memory || *it.reported > *it.told);
    if (has_own) {
        return faded(now, *it.reported, it.sum.level());
    }
    return it.told ? faded(now, *it.told, it.told_level) : 1;
}

BottleneckView::Costs BottleneckView::costsOf(const Route& route) const {
    Costs costs;
    for (const auto& [service, it] : route.below) {
        if (it.presence >= knobs_.least_presence) {
            costs[service] = it.cost;
        }
    }
    costs[route.service] += route.time;
    return costs;
}

Bottleneck BottleneckView::leastAmong(TimePoint now, const Costs& costs) const {
    Bottleneck least;
    for (const auto& [service, cost] : costs) {
        const double level = levelOf(now, service);
        if (least.service.empty() || level < least.level) {
            least = {service, level, fromSeconds(cost)};
        }
    }
    return least;
}

Bottleneck BottleneckView::least(TimePoint now, const std::string& route) const {
    const auto found = routes_.find(route);
    return found == routes_.end() ? Bottleneck{} : leastAmong(now, costsOf(found->second));
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
    return leastAmong(now, sum);
}

bool BottleneckView::isInner(const std::string& route) const {
    const auto found = routes_.find(route);
    return found != routes_.end() && found->second.is_inner;
}

Bottleneck BottleneckView::leastOfAll(TimePoint now) const {
    Bottleneck least;
    for (const auto& [service, it] : services_) {
        const double level = levelOf(now, service);
        if (least.service.empty() || level < least.level) {
            least = {service, level, {}};
        }
    }
    return least;
}

}  // namespace dewcrank::decision
