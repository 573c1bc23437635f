#include "src/relay/crash_detector.h"

#include <utility>

namespace dewcrank::relay {

namespace {

/// A probe may reuse an idle connection that was closed as well; the next one opens a new connection. If all probes
/// lose their connections, a proxy holds the address and the instance is down.
constexpr int kMaxProbes = 3;

}  // namespace

CrashDetector::CrashDetector(Clock& clock, HttpTransport& instances, std::string address, CrashDetectorKnobs knobs)
    : clock_(clock), instances_(instances), address_(std::move(address)), knobs_(knobs) {}

void CrashDetector::onConnectionLost(std::size_t running) {
    if (!isPending()) {
        running_at_start_ = running;
        timer_ = clock_.startTimer(knobs_.burst_window, [this] { onBurstEnded(); });
    }
    ++lost_;
}

void CrashDetector::onBurstEnded() {
    if (2 * lost_ >= running_at_start_) {
        probe(kMaxProbes);
    } else {
        decide(false);
    }
}

void CrashDetector::probe(int probes_left) {
    HttpRequest request;
    request.method = "GET";
    request.path = probe_path_;
    request.headers.set("Host", address_);
    ++probes_sent_;
    signal_probing_.emit();
    probe_ = instances_.send(address_, std::move(request), knobs_.probe_timeout,
                             [this, probes_left](const AttemptResult& result) {
                                 if (isConnectionLost(result) && probes_left > 1) {
                                     probe(probes_left - 1);
                                 } else {
                                     decide(isConnectionLost(result) || isConnectionRefused(result));
                                 }
                             });
}

void CrashDetector::onConnectionRefused() {
    if (isPending() && 2 * lost_ >= running_at_start_) {
        decide(true);
    }
}

/// Called from the callback of the probe or of the timer; both may be destroyed there.
void CrashDetector::decide(bool has_crashed) {
    lost_ = 0;
    timer_.reset();
    probe_.reset();
    signal_decided_.emit(has_crashed);
}

}  // namespace dewcrank::relay
