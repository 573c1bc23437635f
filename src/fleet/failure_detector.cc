#include "src/fleet/failure_detector.h"

#include <algorithm>

namespace dewcrank::fleet {

FailureDetector::FailureDetector(Clock& clock, NodeDirectory& directory, Gossip& gossip, FailureDetectorKnobs knobs)
    : clock_(clock), directory_(directory), gossip_(gossip), knobs_(knobs) {
    directory_.signalSuspected().connect([this](const std::string& name) { onSuspected(name); });
}

void FailureDetector::onCallSent(const std::string& name) {
    auto& peer = peers_[name];
    if (++peer.calls == 1) {
        peer.busy_since = clock_.now();
    }
    if (!peer.timer && !peer.is_probing) {
        scheduleCheck(name, knobs_.max_silence);
    }
}

void FailureDetector::onCallEnded(const std::string& name) {
    auto& peer = peers_[name];
    peer.calls = std::max(0, peer.calls - 1);
}

void FailureDetector::scheduleCheck(const std::string& name, Duration wait) {
    peers_[name].timer = clock_.startTimer(wait, [this, name] { check(name); });
}

void FailureDetector::check(const std::string& name) {
    auto& peer = peers_[name];
    peer.timer.reset();
    const auto* node = directory_.find(name);
    if (node == nullptr || peer.is_probing) {
        return;
    }
    if (directory_.isSuspected(*node)) {
        probe(name);
        return;
    }
    peer.reprobe_interval = {};
    if (peer.calls == 0) {
        return;
    }
    const auto silence = clock_.now() - std::max(peer.busy_since, node->last_contact);
    if (silence >= knobs_.max_silence) {
        probe(name);
    } else {
        scheduleCheck(name, knobs_.max_silence - silence);
    }
}

void FailureDetector::probe(const std::string& name) {
    peers_[name].is_probing = true;
    gossip_.probe(name, knobs_.probe_timeout, [this, name](bool has_response) { onProbeResult(name, has_response); });
}

/// Gossip has updated the directory before this is called.
void FailureDetector::onProbeResult(const std::string& name, bool has_response) {
    auto& peer = peers_[name];
    peer.is_probing = false;
    if (has_response) {
        peer.reprobe_interval = {};
        if (peer.calls > 0) {
            scheduleCheck(name, knobs_.max_silence);
        }
        return;
    }
    peer.reprobe_interval =
        std::clamp(peer.reprobe_interval * 2, knobs_.min_reprobe_interval, knobs_.max_reprobe_interval);
    scheduleCheck(name, peer.reprobe_interval);
    if (peer.calls > 0) {
        signal_unresponsive_.emit(name);
    }
}

/// Called for each failed contact, of calls as well as of probes.
void FailureDetector::onSuspected(const std::string& name) {
    auto& peer = peers_[name];
    if (peer.is_probing || peer.reprobe_interval > Duration::zero()) {
        return;
    }
    peer.reprobe_interval = knobs_.min_reprobe_interval;
    scheduleCheck(name, peer.reprobe_interval);
}

}  // namespace dewcrank::fleet
