/// @file
/// Lets suspects run one at a time, beside all other requests of a relay, and only while its gate lets them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "src/ports/clock.h"
#include "src/quarantine/trial_gate.h"
#include "src/relay/instance_queue.h"

namespace dewcrank::relay {

/// Knows suspects by the numbers of their requests.
class SuspectTrials {
public:
    using CallId = std::uint64_t;
    /// Told once, perhaps at once, whether the suspect may run now.
    using Callback = std::function<void(bool may_run)>;

    SuspectTrials(Clock& clock, QueueKnobs queue, quarantine::TrialGateKnobs gate);

    /// @param give_up_at it is refused then, or as soon as it is known that it cannot run before.
    void enter(CallId number, TimePoint give_up_at, Callback callback);
    /// It has ended, is refused or has been cancelled; others may run. Does nothing for a request that is no suspect.
    /// @param time that its run took; zero if it tells nothing.
    void end(CallId number, Duration time);
    [[nodiscard]] quarantine::TrialGate& gate() { return gate_; }

private:
    struct Trial {
        TimePoint give_up_at{};
        Callback callback;
        std::uint64_t ticket = 0;  ///< While it waits for its turn.
        bool has_turn = false;
        TimerHandle timer;  ///< While it has its turn and waits for the gate.
    };
    void onTurn(CallId number, InstanceQueue::Decision decision);
    void askGate(CallId number);
    void decide(CallId number, bool may_run);

    Clock& clock_;
    InstanceQueue turns_;
    quarantine::TrialGate gate_;
    std::map<CallId, Trial> trials_;
};

}  // namespace dewcrank::relay
