#include "src/relay/suspect_trials.h"

#include <utility>

namespace dewcrank::relay {

SuspectTrials::SuspectTrials(Clock& clock, QueueKnobs queue, quarantine::TrialGateKnobs gate)
    : clock_(clock), turns_(clock, queue), gate_(clock, gate) {
    turns_.setLimit(1);
}

void SuspectTrials::enter(CallId number, TimePoint give_up_at, Callback callback) {
    auto& trial = trials_[number];
    trial.give_up_at = give_up_at;
    trial.callback = std::move(callback);
    const auto now = clock_.now();
    const auto wait = gate_.wait();
    if (!wait || now + *wait > give_up_at) {
        decide(number, false);
        return;
    }
    const auto ticket =
        turns_.enter({now, give_up_at}, [this, number](InstanceQueue::Decision decision) { onTurn(number, decision); });
    if (const auto found = trials_.find(number); found != trials_.end()) {
        found->second.ticket = ticket;
    }
}

void SuspectTrials::onTurn(CallId number, InstanceQueue::Decision decision) {
    auto& trial = trials_.at(number);
    trial.ticket = 0;
    trial.has_turn = decision == InstanceQueue::Decision::kGo;
    trial.has_turn ? askGate(number) : decide(number, false);
}

/// Instances may have ended while it has waited for its turn.
void SuspectTrials::askGate(CallId number) {
    auto& trial = trials_.at(number);
    const auto wait = gate_.wait();
    if (wait == Duration::zero()) {
        decide(number, true);
    } else if (!wait || clock_.now() + *wait > trial.give_up_at) {
        decide(number, false);
    } else {
        trial.timer = clock_.startTimer(*wait, [this, number] { askGate(number); });
    }
}

void SuspectTrials::decide(CallId number, bool may_run) {
    const auto callback = std::exchange(trials_.at(number).callback, nullptr);
    callback(may_run);
}

void SuspectTrials::end(CallId number, Duration time) {
    const auto ended = trials_.extract(number);
    if (ended.empty()) {
        return;
    }
    if (ended.mapped().ticket != 0) {
        turns_.cancel(ended.mapped().ticket);
    }
    if (ended.mapped().has_turn) {
        turns_.leave(time);
    }
}

}  // namespace dewcrank::relay
