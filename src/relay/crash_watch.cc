#include "src/relay/crash_watch.h"

#include <utility>

namespace dewcrank::relay {

namespace {

/// A probe may go out on a kept connection that has just been closed as well; the next one opens a new one. An
/// instance that closes each of them is not there either: its address is held by something in between.
constexpr int kProbes = 3;

}  // namespace

CrashWatch::CrashWatch(Clock& clock, HttpTransport& instances, std::string address, CrashWatchKnobs knobs)
    : clock_(clock), instances_(instances), address_(std::move(address)), knobs_(knobs) {}

void CrashWatch::onBroken(std::size_t running) {
    if (!isJudging()) {
        running_at_first_ = running;
        timer_ = clock_.startTimer(knobs_.settle, [this] { onSettled(); });
    }
    ++broken_;
}

void CrashWatch::onSettled() {
    if (2 * broken_ >= running_at_first_) {
        probe(kProbes);
    } else {
        judge(false);
    }
}

void CrashWatch::probe(int probes_left) {
    HttpRequest request;
    request.method = "GET";
    request.path = probe_path_;
    request.headers.set("Host", address_);
    probe_ = instances_.send(address_, std::move(request), knobs_.probe_timeout,
                             [this, probes_left](const AttemptResult& result) {
                                 if (isConnectionLost(result) && probes_left > 1) {
                                     probe(probes_left - 1);
                                 } else {
                                     judge(isConnectionLost(result) || isConnectionRefused(result));
                                 }
                             });
}

void CrashWatch::onRefused() {
    if (isJudging() && 2 * broken_ >= running_at_first_) {
        judge(true);
    }
}

/// Runs from within the probe's callback or the timer's: both may be destroyed there.
void CrashWatch::judge(bool has_ended) {
    broken_ = 0;
    timer_.reset();
    probe_.reset();
    signal_judged_.emit(has_ended);
}

}  // namespace dewcrank::relay
