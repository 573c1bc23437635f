#include "src/relay/demand_level.h"

#include <algorithm>

namespace dewcrank::relay {

namespace {

constexpr double kFirstTime = 0.05;  ///< Seconds, of a route that has not been answered yet.
constexpr double kLeastWork = 1e-3;

double seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

}  // namespace

double DemandLevel::timeOf(const std::string& route) const {
    const auto found = times_.find(route);
    return found == times_.end() ? kFirstTime : found->second;
}

void DemandLevel::onArrival(TimePoint now, const std::string& route, const Occupancy& occupancy) {
    if (now >= next_) {
        correct(now);
    }
    if (!isMeasuring(now)) {
        return;
    }
    ++window_.arrivals;
    window_.waited += occupancy.running >= occupancy.slots ? 1 : 0;
    window_.arrived_work += timeOf(route);
    window_.running_sum += occupancy.running;
    window_.last = occupancy;
}

void DemandLevel::onAnswered(TimePoint now, const std::string& route, Duration time) {
    auto& average = times_.try_emplace(route, seconds(time)).first->second;
    average += (seconds(time) - average) * knobs_.time_weight;
    if (isMeasuring(now)) {
        window_.done_work += average;
    }
}

double DemandLevel::measured() const {
    const double slots = std::max<std::uint32_t>(1, window_.last.slots);
    const bool is_saturated = window_.waited > knobs_.saturated_share * window_.arrivals;
    if (!is_saturated) {
        return window_.running_sum / window_.arrivals / slots;
    }
    const double ratio = window_.arrived_work / std::max(kLeastWork, window_.done_work);
    const double mean_work = window_.arrived_work / window_.arrivals;
    // What waits has to be worked off as well, within the next interval.
    const double backlog = window_.last.waiting * mean_work / (slots * seconds(knobs_.interval));
    return ratio + backlog;
}

void DemandLevel::correct(TimePoint now) {
    const bool is_first = next_ == TimePoint{};
    next_ = now + knobs_.interval;
    if (!is_first && window_.arrivals < knobs_.least_arrivals) {
        level_ = std::min(1.0, level_ * knobs_.largest_rise);
    } else if (!is_first) {
        demand_ = measured();
        const double factor = knobs_.target / std::max(demand_, kLeastWork);
        level_ *= std::clamp(factor, knobs_.largest_fall, knobs_.largest_rise);
        level_ = std::clamp(level_, knobs_.least_level, 1.0);
    }
    window_ = {};
}

}  // namespace dewcrank::relay
