/// @file
/// Works out, at a callee, which share of the requests upstream should be admitted.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/base/time.h"

namespace dewcrank::relay {

/// Constants of the control.
struct LevelKnobs {
    /// Between two corrections: longer than a correction takes to come back as less demand.
    Duration interval = 1200ms;
    /// Demand is measured over this last part of each interval.
    Duration window = 600ms;
    /// Demand that is aimed at, as a share of what the instance can do.
    double target = 0.97;
    double largest_fall = 0.6;  ///< Factor of one correction at least.
    double largest_rise = 1.6;  ///< Factor of one correction at most.
    double least_level = 0.05;
    /// Less than this many arrivals in a window say nothing.
    std::uint32_t least_arrivals = 10;
    /// From this share of arrivals that had to wait on, the instance counts as saturated.
    double saturated_share = 0.3;
    /// Weight of one answer in the moving average of a route's time in the instance.
    double time_weight = 0.1;
};

/// How full an instance is when a request arrives.
struct Occupancy {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// Once an interval the level is multiplied by target / demand. While the instance is saturated,
/// demand is the work that arrives over the work that is done, so it needs no idea of what the
/// instance can do; else it is the part of the slots in use. Demand counts what was refused as
/// well, so one correction is about right whatever the overload; as each waits for the effect of
/// the one before, they don't add up.
class DemandLevel {
public:
    explicit DemandLevel(LevelKnobs knobs) : knobs_(knobs) {}
    /// A request was let in or queued, or was refused by the last relay that it had.
    void onArrival(TimePoint now, const std::string& route, const Occupancy& occupancy);
    /// A request has been answered. @param time that it held a slot for.
    void onAnswered(TimePoint now, const std::string& route, Duration time);
    /// Share of the requests to admit, from least_level to 1.
    [[nodiscard]] double level() const { return level_; }
    /// Demand at the last correction: 1 is all that the instance can do.
    [[nodiscard]] double demand() const { return demand_; }

private:
    void correct(TimePoint now);
    [[nodiscard]] double measured() const;
    [[nodiscard]] double timeOf(const std::string& route) const;
    [[nodiscard]] bool isMeasuring(TimePoint now) const { return now >= next_ - knobs_.window; }

    /// What was seen in the present window; work is in seconds of a slot.
    struct Window {
        std::uint32_t arrivals = 0;
        std::uint32_t waited = 0;
        double arrived_work = 0;
        double done_work = 0;
        double running_sum = 0;
        Occupancy last;
    };
    LevelKnobs knobs_;
    TimePoint next_{};
    Window window_;
    std::map<std::string, double> times_;  ///< Seconds in the instance, by route.
    double level_ = 1;
    double demand_ = 0;
};

}  // namespace dewcrank::relay
