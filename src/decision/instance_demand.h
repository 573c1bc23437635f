/// @file
/// Measures, at a callee, how many slots all requests for its instance would need, those that were
/// refused upstream included.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "src/base/time.h"

namespace dewcrank::decision {

/// What one instance, or all of a service's, is asked for and can give, in slots.
struct ServiceLoad {
    double demand = 0;    ///< That all requests would need, had none been refused upstream.
    double capacity = 0;  ///< That new requests may use.
    double busy = 0;      ///< In use, in the mean.

    ServiceLoad& operator+=(const ServiceLoad& other);
    ServiceLoad& operator-=(const ServiceLoad& other);
    /// The share of the requests upstream to admit, from 0 to 1. While slots stand free, other
    /// bottlenecks hold requests back before they arrive, so nothing is to be refused for this one.
    [[nodiscard]] double level() const;
};

/// Constants of the measurement.
struct DemandKnobs {
    Duration window = 1s;  ///< Of the measurement: some turns of the deepest calls on the sites seen.
    /// Part of the slots to keep in use: a few waits keep the others from running dry.
    double target = 0.97;
    /// What waits is worked off within this time, beside what newly arrives.
    Duration catch_up = 1s;
    double least_share = 0.3;  ///< Of its slots that new requests may use, however much waits.
    double time_weight = 0.1;  ///< Of one answer in the moving average of a route's time in the instance.
};

/// Each request that arrives stands for as many at entries as were asked for each that was admitted.
/// Their work, summed, is therefore the demand before admission, whatever levels entries apply at
/// present: the level follows from it at once, without waiting for the effect of the last one.
class InstanceDemand {
public:
    explicit InstanceDemand(DemandKnobs knobs) : knobs_(knobs) {}
    /// A request was let in or queued, or was refused by the last relay that it had.
    /// @param represents requests at entries that it stands for.
    void onArrival(TimePoint now, const std::string& route, double represents);
    /// A request has been answered. @param time that it held a slot for.
    void onAnswered(const std::string& route, Duration time);
    /// The number of slots in use has changed to this.
    void onRunning(TimePoint now, std::uint32_t running);
    /// @param limit slots that may be used. @param waiting_work slot time that the queue stands for.
    [[nodiscard]] ServiceLoad load(TimePoint now, std::uint32_t limit, Duration waiting_work);
    /// The mean time that a route's requests hold a slot for.
    [[nodiscard]] Duration timeOf(const std::string& route) const;

private:
    static constexpr std::size_t kSpans = 10;  ///< A window consists of so many.
    /// What was seen in one span; both in seconds of a slot.
    struct Span {
        std::int64_t number = -1;
        double arrived_work = 0;
        double busy = 0;
    };
    [[nodiscard]] Duration spanLength() const { return knobs_.window / kSpans; }
    [[nodiscard]] std::int64_t numberOf(TimePoint now) const { return now.time_since_epoch() / spanLength(); }
    Span& spanAt(TimePoint now);
    void addBusy(TimePoint now);

    DemandKnobs knobs_;
    std::array<Span, kSpans + 1> spans_;   ///< By number, in turn; those of the window and the present one.
    std::map<std::string, double> times_;  ///< Seconds in the instance, by route.
    TimePoint began_{};                    ///< Of the measurement; the epoch before the first arrival.
    TimePoint busy_since_{};               ///< Up to here, `busy` has been counted.
    std::uint32_t running_ = 0;
};

}  // namespace dewcrank::decision
