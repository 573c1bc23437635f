#include "src/decision/instance_demand.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {

constexpr double kFirstTime = 0.05;   ///< Seconds, of a route that has not been answered yet.
constexpr double kLeastWindow = 0.3;  ///< Seconds: a shorter time since the start tells no rate.
constexpr double kLeastSlots = 1e-6;
/// Below the first of these parts of its slots in use a service holds nothing back, above the second
/// it is the one that does.
constexpr double kFreeBusy = 0.5;
constexpr double kBoundBusy = 0.8;

}  // namespace

ServiceLoad& ServiceLoad::operator+=(const ServiceLoad& other) {
    demand += other.demand;
    capacity += other.capacity;
    busy += other.busy;
    return *this;
}

ServiceLoad& ServiceLoad::operator-=(const ServiceLoad& other) {
    demand -= other.demand;
    capacity -= other.capacity;
    busy -= other.busy;
    return *this;
}

double ServiceLoad::level() const {
    if (demand <= capacity) {
        return 1;
    }
    const double level = std::max(0.0, capacity) / std::max(demand, kLeastSlots);
    const double used = busy / std::max(capacity, kLeastSlots);
    const double free = std::clamp((kBoundBusy - used) / (kBoundBusy - kFreeBusy), 0.0, 1.0);
    return level + (1 - level) * free;
}

InstanceDemand::Span& InstanceDemand::spanAt(TimePoint now) {
    const auto number = numberOf(now);
    auto& span = spans_[static_cast<std::size_t>(number) % spans_.size()];
    if (span.number != number) {
        span = {number, 0, 0};
    }
    return span;
}

/// Counts the slots in use up to now, span by span.
void InstanceDemand::addBusy(TimePoint now) {
    auto from = std::max(busy_since_, now - knobs_.window);
    busy_since_ = now;
    while (from < now) {
        const TimePoint span_end(spanLength() * (numberOf(from) + 1));
        const auto to = std::min(span_end, now);
        spanAt(from).busy += running_ * toSeconds(to - from);
        from = to;
    }
}

void InstanceDemand::onArrival(TimePoint now, const std::string& route, double represents) {
    if (began_ == TimePoint{}) {
        began_ = now;
    }
    spanAt(now).arrived_work += represents * toSeconds(timeOf(route));
}

void InstanceDemand::onAnswered(const std::string& route, Duration time) {
    auto& average = times_.try_emplace(route, toSeconds(time)).first->second;
    average += (toSeconds(time) - average) * knobs_.time_weight;
}

void InstanceDemand::onRunning(TimePoint now, std::uint32_t running) {
    addBusy(now);
    running_ = running;
}

Duration InstanceDemand::timeOf(const std::string& route) const {
    const auto found = times_.find(route);
    const double time = found == times_.end() ? kFirstTime : found->second;
    return fromSeconds(time);
}

ServiceLoad InstanceDemand::load(TimePoint now, std::uint32_t limit, Duration waiting_work) {
    addBusy(now);
    const auto first = numberOf(now - knobs_.window);
    double work = 0;
    double busy = 0;
    for (const auto& span : spans_) {
        if (span.number >= first) {
            work += span.arrived_work;
            busy += span.busy;
        }
    }
    // The window begins with a whole span and ends within the present one.
    const auto window_began = std::max(began_, TimePoint(spanLength() * first));
    const double length = std::max(kLeastWindow, toSeconds(now - window_began));
    const double backlog = toSeconds(waiting_work) / toSeconds(knobs_.catch_up);
    ServiceLoad load;
    load.demand = work / length;
    load.busy = busy / length;
    load.capacity = std::max(knobs_.least_share * limit, knobs_.target * limit - backlog);
    return load;
}

}  // namespace dewcrank::decision
