#include "src/fleet/failure_detector.h"

#include <algorithm>

namespace dewcrank::fleet {

FailureDetector::FailureDetector(Clock& clock, NodeDirectory& directory, Gossip& gossip, FailureDetectorKnobs knobs)
    : clock_(clock), directory_(directory), gossip_(gossip), knobs_(knobs) {
    directory_.signalSuspected().connect([this](const std::string& name) { onSuspected(name); });
}

void FailureDetector::onCallSent(const std::string& name) {
    auto& it = watched_[name];
    if (++it.calls == 1) {
        it.waiting_since = clock_.now();
    }
    if (!it.timer && !it.is_probing) {
        lookAfter(name, knobs_.longest_quiet);
    }
}

void FailureDetector::onCallEnded(const std::string& name) {
    auto& it = watched_[name];
    it.calls = std::max(0, it.calls - 1);
}

void FailureDetector::lookAfter(const std::string& name, Duration wait) {
    watched_[name].timer = clock_.startTimer(wait, [this, name] { look(name); });
}

void FailureDetector::look(const std::string& name) {
    auto& it = watched_[name];
    it.timer.reset();
    const auto* node = directory_.find(name);
    if (node == nullptr || it.is_probing) {
        return;
    }
    if (directory_.isSuspected(*node)) {
        probe(name);
        return;
    }
    it.next_reprobe = {};
    if (it.calls == 0) {
        return;
    }
    const auto quiet = clock_.now() - std::max(it.waiting_since, node->last_heard);
    if (quiet >= knobs_.longest_quiet) {
        probe(name);
    } else {
        lookAfter(name, knobs_.longest_quiet - quiet);
    }
}

void FailureDetector::probe(const std::string& name) {
    watched_[name].is_probing = true;
    gossip_.probe(name, knobs_.probe_timeout, [this, name](bool is_answered) { onProbed(name, is_answered); });
}

/// The directory has been told of the result by then.
void FailureDetector::onProbed(const std::string& name, bool is_answered) {
    auto& it = watched_[name];
    it.is_probing = false;
    if (is_answered) {
        it.next_reprobe = {};
        if (it.calls > 0) {
            lookAfter(name, knobs_.longest_quiet);
        }
        return;
    }
    it.next_reprobe = std::clamp(it.next_reprobe * 2, knobs_.first_reprobe, knobs_.longest_reprobe);
    lookAfter(name, it.next_reprobe);
    if (it.calls > 0) {
        signal_silent_.emit(name);
    }
}

/// Any failed contact leads here, a call's as well as a probe's.
void FailureDetector::onSuspected(const std::string& name) {
    auto& it = watched_[name];
    if (it.is_probing || it.next_reprobe > Duration::zero()) {
        return;
    }
    it.next_reprobe = knobs_.first_reprobe;
    lookAfter(name, it.next_reprobe);
}

}  // namespace dewcrank::fleet
