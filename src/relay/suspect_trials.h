/// @file
/// Serializes the runs of suspects: requests that may have crashed an instance.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "src/ports/clock.h"
#include "src/quarantine/trial_gate.h"
#include "src/relay/instance_queue.h"

namespace dewcrank::relay {

/// Runs at most one suspect at a time, and only while the trial gate allows that an instance is put at risk. Other
/// requests do not pass through this class. Suspects are identified by the ids of their calls.
class SuspectTrials {
public:
    using CallId = std::uint64_t;
    /// Called once, possibly from within `enter`, with whether the suspect may run now.
    using Callback = std::function<void(bool may_run)>;

    SuspectTrials(Clock& clock, QueueKnobs queue, quarantine::TrialGateKnobs gate);

    /// Queues a suspect. @param expires_at latest start of the run; the suspect is rejected as soon as it is known that
    /// it cannot start by then.
    void enter(CallId id, TimePoint expires_at, Callback callback);
    /// The suspect has completed, was rejected or was cancelled: the next one may run. Ignores ids of other requests.
    /// @param time duration of the suspect's run; zero to leave the average run time as it is.
    void end(CallId id, Duration time);
    [[nodiscard]] quarantine::TrialGate& gate() { return gate_; }

private:
    struct Trial {
        TimePoint expires_at{};
        Callback callback;
        std::uint64_t ticket = 0;  ///< Ticket in the queue; 0 if the suspect does not wait there.
        bool has_slot = false;     ///< The suspect holds the only slot; the gate may still delay the run.
        TimerHandle timer;         ///< Runs until the gate is checked again.
    };
    void onQueueDecision(CallId id, InstanceQueue::Decision decision);
    void checkGate(CallId id);
    void decide(CallId id, bool may_run);

    Clock& clock_;
    InstanceQueue queue_;
    quarantine::TrialGate gate_;
    std::map<CallId, Trial> trials_;
};

}  // namespace dewcrank::relay
