#include "src/relay/demand_level.h"

#include <algorithm>
#include <utility>

namespace dewcrank::relay {

namespace {
constexpr double kWaitingShare = 0.1;  ///< Of the arrivals: below it there is no overload.
}

void DemandLevel::onArrival(TimePoint now, bool had_to_wait) {
    if (now >= next_ - knobs_.window) {
        ++arrivals_;
        waited_ += had_to_wait ? 1 : 0;
    }
}

void DemandLevel::update(TimePoint now, Duration mean_time, std::uint32_t slots) {
    if (now < next_) {
        return;
    }
    const auto measured = knobs_.window + (now - next_);
    const bool is_first = next_ == TimePoint{};
    next_ = now + knobs_.interval;
    const auto arrivals = std::exchange(arrivals_, 0);
    const auto waited = std::exchange(waited_, 0);
    if (is_first || slots == 0) {
        return;
    }
    demand_ = static_cast<double>(arrivals) * static_cast<double>(mean_time.count()) /
              (static_cast<double>(slots) * static_cast<double>(measured.count()));
    if (arrivals < knobs_.least_arrivals) {
        level_ = std::min(1.0, level_ * knobs_.largest_rise);
        return;
    }
    const double factor = std::clamp(knobs_.target / demand_, knobs_.largest_fall, knobs_.largest_rise);
    const bool is_overloaded = waited > kWaitingShare * arrivals;
    if (factor >= 1 || is_overloaded) {
        level_ = std::clamp(level_ * factor, knobs_.least_level, 1.0);
    }
}

}  // namespace dewcrank::relay
