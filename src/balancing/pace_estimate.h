/// @file
/// Estimate of how long requests take at an instance at present, from what it reports and from measured times.
#pragma once

#include <optional>

#include "src/balancing/load_report.h"
#include "src/balancing/timed_mean.h"
#include "src/base/time.h"

namespace dewcrank::balancing {

/// Constants of the estimate.
struct PaceKnobs {
    Duration recent = 200ms;          ///< Time constant of the mean of recent service times.
    Duration usual = 30s;             ///< Time constant of the usual service time, for instances that name no pace.
    Duration report_memory = 2s;      ///< A named pace counts for this long.
    double least_decay = 0.85;        ///< Of the recent mean, per response: rare and uneven times are averaged.
    double usual_least_decay = 0.99;  ///< Of the usual service time, per response.
};

/// Pace of an instance at some time.
struct Pace {
    double pace = 1;        ///< Present service time divided by the usual one; above 1 it is slower than usual.
    Duration usual_time{};  ///< Usual service time.
    Duration age{};         ///< Time since the last response that it is based on.
};

/// The expected service time is the mean of recent ones times the change of the named pace since then: the named pace
/// shows a change before any slow response has ended, and the measured times correct an instance that exaggerates.
class PaceEstimate {
public:
    explicit PaceEstimate(PaceKnobs knobs);

    /// Forgets everything. Call when the instance is another incarnation.
    void reset();
    void onReport(TimePoint now, const LoadReport& report);
    /// Call when a response has arrived, after `onReport` for the same response.
    void onServiceTime(TimePoint now, Duration time);
    /// @return nothing before the first service time.
    [[nodiscard]] std::optional<Pace> at(TimePoint now) const;

private:
    [[nodiscard]] bool hasNamedPace(TimePoint now) const;

    PaceKnobs knobs_;
    TimedMean recent_time_;   ///< Seconds.
    TimedMean usual_time_;    ///< Seconds.
    TimedMean recent_named_;  ///< Named pace of the responses in `recent_time_`.
    double named_pace_ = 0;   ///< Last one; 0: none.
    TimePoint named_at_{};
};

}  // namespace dewcrank::balancing
