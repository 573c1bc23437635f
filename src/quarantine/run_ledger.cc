#include "src/quarantine/run_ledger.h"

#include <algorithm>

namespace dewcrank::quarantine {

namespace {

/// How long an instance may go on with a run whose connection was closed: as long as runs that ended instances took
/// (70 to 80 ms), and as much again for its end to be told.
constexpr Duration kCancelledMemory = 150ms;

}  // namespace

void RunLedger::forgetCancelled() {
    while (!cancelled_.empty() && cancelled_.front().at + kCancelledMemory < clock_.now()) {
        cancelled_.pop_front();
    }
}

void RunLedger::onCancelled(Number number) {
    forgetCancelled();
    auto ended = runs_.extract(number);
    if (!ended.empty()) {
        cancelled_.push_back({std::move(ended.mapped()), clock_.now()});
    }
}

std::size_t RunLedger::runningAt(const std::string& instance) const {
    return static_cast<std::size_t>(std::count_if(
        runs_.begin(), runs_.end(), [&](const auto& entry) { return entry.second.instance == instance; }));
}

CrashNotice RunLedger::blame(const std::string& instance) {
    forgetCancelled();
    CrashNotice notice;
    notice.instance = instance;
    for (const auto& [number, run] : runs_) {
        blame(run, &notice);
    }
    for (const auto& it : cancelled_) {
        blame(it.run, &notice);
    }
    log_.write(Event("instance_crashed")
                   .with("instance", instance)
                   .with("runs", notice.runs)
                   .with("suspects", notice.suspects.size())
                   .with("quarantined", notice.quarantined.size()));
    return notice;
}

void RunLedger::blame(const Run& run, CrashNotice* notice) {
    if (run.instance != notice->instance) {
        return;
    }
    ++notice->runs;
    if (!run.is_trial) {
        if (quarantine_.suspect(run.fingerprint)) {
            notice->suspects.push_back(run.fingerprint);
        }
        return;
    }
    quarantine_.convict(run.fingerprint);
    notice->quarantined.push_back(run.fingerprint);
    log_.write(Event("request_quarantined")
                   .with("request", run.request)
                   .with("fingerprint", textOf(run.fingerprint))
                   .with("route", run.route)
                   .with("instance", run.instance)
                   .with("left_ms", toMilliseconds(quarantine_.left(run.fingerprint))));
}

}  // namespace dewcrank::quarantine
