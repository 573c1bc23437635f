#include "src/decision/instance_demand.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {

constexpr double kInitialTime = 0.05;  ///< Slot time in seconds assumed for a route without a response.
constexpr double kMinWindow = 0.3;     ///< Seconds; rates over a shorter time are too noisy.
constexpr double kMinRate = 1e-6;      ///< Per second; avoids a division by zero.
constexpr double kMinSlots = 1e-6;     ///< Avoids a division by zero.
/// Shares of the slots in use: up to the first a service counts as no bottleneck, from the second on as one.
constexpr double kIdleUtilization = 0.5;
constexpr double kSaturatedUtilization = 0.8;

}  // namespace

ServiceLoad& ServiceLoad::operator+=(const ServiceLoad& other) {
    demand += other.demand;
    capacity += other.capacity;
    busy += other.busy;
    retry_demand += other.retry_demand;
    retry_capacity += other.retry_capacity;
    first_attempts += other.first_attempts;
    return *this;
}

ServiceLoad& ServiceLoad::operator-=(const ServiceLoad& other) {
    demand -= other.demand;
    capacity -= other.capacity;
    busy -= other.busy;
    retry_demand -= other.retry_demand;
    retry_capacity -= other.retry_capacity;
    first_attempts -= other.first_attempts;
    return *this;
}

double ServiceLoad::admitRatio() const {
    if (demand <= capacity) {
        return 1;
    }
    const double admit_ratio = std::max(0.0, capacity) / std::max(demand, kMinSlots);
    const double used = busy / std::max(capacity, kMinSlots);
    const double idle =
        std::clamp((kSaturatedUtilization - used) / (kSaturatedUtilization - kIdleUtilization), 0.0, 1.0);
    return admit_ratio + (1 - admit_ratio) * idle;
}

double ServiceLoad::retryAdmitRatio() const {
    return retry_demand <= retry_capacity ? 1 : std::max(0.0, retry_capacity) / retry_demand;
}

double ServiceLoad::retriesPerCall() const {
    return first_attempts > kMinRate ? std::max(0.0, retry_demand) / first_attempts : 0;
}

InstanceDemand::Span& InstanceDemand::spanAt(TimePoint now) {
    const auto number = spanNumber(now);
    auto& span = spans_[static_cast<std::size_t>(number) % spans_.size()];
    if (span.number != number) {
        span = {number, 0, 0, 0};
    }
    return span;
}

/// Adds the slots in use since the last change to the spans up to now.
void InstanceDemand::addBusy(TimePoint now) {
    auto from = std::max(busy_since_, now - knobs_.window);
    busy_since_ = now;
    while (from < now) {
        const TimePoint span_end(spanLength() * (spanNumber(from) + 1));
        const auto to = std::min(span_end, now);
        spanAt(from).busy += running_ * toSeconds(to - from);
        from = to;
    }
}

CountedArrival InstanceDemand::onArrival(TimePoint now, const std::string& route, double demand_weight) {
    if (started_ == TimePoint{}) {
        started_ = now;
    }
    auto& span = spanAt(now);
    const CountedArrival arrival{now, demand_weight * toSeconds(timeOf(route)), demand_weight};
    span.arrived_work += arrival.work;
    span.arrived += arrival.weight;
    return arrival;
}

void InstanceDemand::onResponse(const std::string& route, Duration time) {
    auto& average = times_.try_emplace(route, toSeconds(time)).first->second;
    average += (toSeconds(time) - average) * knobs_.time_weight;
}

void InstanceDemand::onRunning(TimePoint now, std::uint32_t running) {
    addBusy(now);
    running_ = running;
}

void InstanceDemand::restart(TimePoint now) {
    started_ = now;
    for (auto& span : spans_) {
        span.arrived_work = 0;
        span.arrived = 0;
    }
}

Duration InstanceDemand::timeOf(const std::string& route) const {
    const auto found = times_.find(route);
    const double time = found == times_.end() ? kInitialTime : found->second;
    return fromSeconds(time);
}

ServiceLoad InstanceDemand::load(TimePoint now, const InstanceLimits& limits, Duration waiting_work,
                                 const CountedArrival& reporting) {
    addBusy(now);
    const auto first = spanNumber(now - knobs_.window);
    double work = 0;
    double arrived = 0;
    double busy = 0;
    for (const auto& span : spans_) {
        if (span.number >= first) {
            work += span.arrived_work;
            arrived += span.arrived;
            busy += span.busy;
        }
    }
    // The window begins with a complete span and ends within the current one.
    const auto window_start = std::max(started_, TimePoint(spanLength() * first));
    const double length = std::max(kMinWindow, toSeconds(now - window_start));
    double backlog = toSeconds(waiting_work) / toSeconds(knobs_.backlog_drain_time);
    const double mean_time = arrived > 0 ? work / arrived : kInitialTime;
    double usable = limits.slots;
    double target = knobs_.target_utilization * usable;
    if (limits.rate_limit) {
        usable = std::min(usable, *limits.rate_limit * mean_time);
        // A few requests have to wait, or the rate would not be used in full. The queue bounds how many.
        target = std::min(target, usable);
        backlog = 0;
        const bool is_counted = reporting.at >= started_ && spanNumber(reporting.at) >= first;
        work = is_counted ? std::max(0.0, work - reporting.work) : work;
    }
    ServiceLoad load;
    load.demand = work / length;
    load.busy = busy / length;
    load.capacity = std::max(knobs_.min_share * usable, target - backlog);
    return load;
}

}  // namespace dewcrank::decision
