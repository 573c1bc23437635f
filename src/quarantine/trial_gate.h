/// @file
/// Limits where and when suspects may run, so that enough instances stay up if suspects crash theirs. A trial is a run
/// of a suspect.
///
///   instances up        where a trial may run     when
///   4 or more           all relays but two        at once
///   2 or 3              one relay                 `settle_time` after the last crash
///   2 or 3, no spare    one relay                 `max_restart_time` after the last crash
///   1 of several        that relay                `max_restart_time` after the last crash
///   1 of 1              that relay                at once: no other instance could run it
///
/// "No spare": the remaining instances could not serve the load if one more crashed.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "src/base/time.h"
#include "src/fleet/replicas.h"
#include "src/ports/clock.h"

namespace dewcrank::quarantine {

/// Constants of the gate.
struct TrialGateKnobs {
    std::size_t min_up = 2;  ///< Number of instances that run no trial, so that they stay up.
    /// Time for the directory to show a crash, and one that follows right after it: a run of 70 to 80 ms that crashes
    /// its instance, and a probe of 150 ms at most that finds this.
    Duration settle_time = 250ms;
    Duration max_restart_time = 5s;  ///< A crashed instance that has not restarted within this time counts as lost.
};

/// Input of the decision.
struct TrialConditions {
    fleet::Replicas replicas;
    double utilization = 0;  ///< Running and waiting requests of this relay's instance, divided by its slots.
};

/// Decides for one relay when a suspect may run as a trial. Exchanges no messages: relays agree because their
/// directories list the same instances as up.
class TrialGate {
public:
    using ConditionsSource = std::function<TrialConditions()>;

    TrialGate(Clock& clock, TrialGateKnobs knobs) : clock_(clock), knobs_(knobs) {}

    /// @param source called for each decision. Without a source this relay's instance counts as the only one of its
    /// service.
    void setConditionsSource(ConditionsSource source) { source_ = std::move(source); }
    /// Call when an instance of the service has crashed, at this relay or another.
    void onInstanceCrashed() { last_crash_ = clock_.now(); }
    /// @return the current input of the decision, for log events.
    [[nodiscard]] TrialConditions conditions() const { return source_(); }
    /// @return the time until a suspect may run here, zero if it may at once; nothing if this relay may run no trials.
    [[nodiscard]] std::optional<Duration> wait() const;

private:
    [[nodiscard]] Duration pauseAfterCrash(const TrialConditions& now) const;

    Clock& clock_;
    TrialGateKnobs knobs_;
    ConditionsSource source_ = [] { return TrialConditions{}; };
    TimePoint last_crash_ = TimePoint::min();
};

}  // namespace dewcrank::quarantine
