/// @file
/// When a suspect may run at a relay's instance.
///
/// A suspect may end the instance that runs it, and a request that nobody has seen before may end another one at the
/// same moment. So suspects run only where enough instances are left if they end those that run them: tried at
/// once at the next instance, two requests that come together take all three of a small service, and everyone else
/// is refused until the first of them is back.
///
///   four up or more     at all relays but two of them, at once
///   two or three up     at one relay, once the last end has settled
///   the same, full      once what has ended is back, or has been away for so long that it counts as lost: one less
///                       could not do what is asked for
///   one up of several   the same
///   the only one        at once: nobody else could run it, and until it has ended another life nobody is to blame
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
    /// Instances that are to be up while suspects run elsewhere.
    std::size_t min_up = 2;
    /// From an end of an instance until the directory has it, and another end that came right behind it: a run of 70 to
    /// 80 ms, its end found by a probe of 150 ms at most.
    Duration settle_time = 250ms;
    /// An instance that has ended is back within this, as a rule: its start, and its first heartbeat.
    Duration max_restart_time = 5s;
};

/// What a trial depends on.
struct TrialConditions {
    fleet::Replicas replicas;
    double utilization = 0;  ///< What runs and waits at this relay's instance, by its slots.
};

/// Of one relay. Without messages of its own: it goes by the directory, in which all relays find the same ones up.
class TrialGate {
public:
    using ConditionsSource = std::function<TrialConditions()>;

    TrialGate(Clock& clock, TrialGateKnobs knobs) : clock_(clock), knobs_(knobs) {}

    /// @param view asked for each decision. Without one the instance is the only one of its service.
    void setConditionsSource(ConditionsSource source) { source_ = std::move(source); }
    /// An instance of the service has ended by itself, here or elsewhere.
    void onInstanceCrashed() { last_crash_ = clock_.now(); }
    [[nodiscard]] TrialConditions conditions() const { return source_(); }
    /// @return how long a suspect has to wait before it may run here; nothing if it is another relay's to run.
    [[nodiscard]] std::optional<Duration> wait() const;

private:
    [[nodiscard]] Duration pauseAfterCrash(const TrialConditions& now) const;

    Clock& clock_;
    TrialGateKnobs knobs_;
    ConditionsSource source_ = [] { return TrialConditions{}; };
    TimePoint last_crash_ = TimePoint::min();
};

}  // namespace dewcrank::quarantine
