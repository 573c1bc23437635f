/// @file
/// Works out, at a callee, which share of the requests upstream should be admitted.
#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace dewcrank::relay {

/// Constants of the control.
struct LevelKnobs {
    /// Between two corrections: longer than a correction takes to come back as less demand.
    Duration interval = 800ms;
    /// Demand is measured over this last part of each interval.
    Duration window = 500ms;
    /// Demand that is aimed at, as a share of what the instance can do.
    double target = 1.0;
    double largest_fall = 0.6;  ///< Factor of one correction at least.
    double largest_rise = 1.6;  ///< Factor of one correction at most.
    double least_level = 0.15;
    /// Less than this many arrivals in a window say nothing.
    std::uint32_t least_arrivals = 10;
};

/// Once an interval the level is multiplied by target / demand. Demand counts what was refused
/// as well, so one correction is about right whatever the overload; as each waits for the
/// effect of the one before, they don't add up. Nothing is refused unless requests also had
/// to wait.
class DemandLevel {
public:
    explicit DemandLevel(LevelKnobs knobs) : knobs_(knobs) {}
    /// A request has arrived that no other relay has refused before.
    /// @param had_to_wait there was no free slot for it.
    void onArrival(TimePoint now, bool had_to_wait);
    /// Corrects the level if it is time. @param mean_time that a request holds a slot for.
    void update(TimePoint now, Duration mean_time, std::uint32_t slots);
    /// Share of the requests to admit, from least_level to 1.
    [[nodiscard]] double level() const { return level_; }
    /// Demand at the last correction: 1 is all that the instance can do.
    [[nodiscard]] double demand() const { return demand_; }

private:
    LevelKnobs knobs_;
    TimePoint next_{};
    std::uint32_t arrivals_ = 0;
    std::uint32_t waited_ = 0;
    double level_ = 1;
    double demand_ = 0;
};

}  // namespace dewcrank::relay
