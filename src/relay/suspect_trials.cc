#include "src/relay/suspect_trials.h"

#include <utility>

namespace dewcrank::relay {

SuspectTrials::SuspectTrials(Clock& clock, QueueKnobs queue, quarantine::TrialGateKnobs gate)
    : clock_(clock), queue_(clock, queue), gate_(clock, gate) {
    queue_.setLimit(1);
}

void SuspectTrials::enter(CallId id, TimePoint expires_at, Callback callback) {
    auto& trial = trials_[id];
    trial.expires_at = expires_at;
    trial.callback = std::move(callback);
    const auto now = clock_.now();
    const auto wait = gate_.wait();
    if (!wait || now + *wait > expires_at) {
        decide(id, false);
        return;
    }
    const auto ticket = queue_.enter({now, expires_at},
                                     [this, id](InstanceQueue::Decision decision) { onQueueDecision(id, decision); });
    if (const auto found = trials_.find(id); found != trials_.end()) {
        found->second.ticket = ticket;
    }
}

void SuspectTrials::onQueueDecision(CallId id, InstanceQueue::Decision decision) {
    auto& trial = trials_.at(id);
    trial.ticket = 0;
    trial.has_slot = decision == InstanceQueue::Decision::kAdmitted;
    trial.has_slot ? checkGate(id) : decide(id, false);
}

/// Instances may have crashed while the suspect waited in the queue, so the gate is checked again.
void SuspectTrials::checkGate(CallId id) {
    auto& trial = trials_.at(id);
    const auto wait = gate_.wait();
    if (wait == Duration::zero()) {
        decide(id, true);
    } else if (!wait || clock_.now() + *wait > trial.expires_at) {
        decide(id, false);
    } else {
        trial.timer = clock_.startTimer(*wait, [this, id] { checkGate(id); });
    }
}

void SuspectTrials::decide(CallId id, bool may_run) {
    const auto callback = std::exchange(trials_.at(id).callback, nullptr);
    callback(may_run);
}

void SuspectTrials::end(CallId id, Duration time) {
    const auto finished = trials_.extract(id);
    if (finished.empty()) {
        return;
    }
    if (finished.mapped().ticket != 0) {
        queue_.cancel(finished.mapped().ticket);
    }
    if (finished.mapped().has_slot) {
        queue_.leave(time);
    }
}

}  // namespace dewcrank::relay
