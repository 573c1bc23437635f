#include "src/quarantine/run_ledger.h"

#include <algorithm>

namespace dewcrank::quarantine {

namespace {

/// How long an instance may go on with a run whose connection was closed: as long as runs that ended instances took
/// (70 to 80 ms), and as much again for its end to be told.
constexpr Duration kCancelledMemory = 150ms;

/// How long a run whose connection was lost counts: until the next instance has started and sent a heartbeat.
constexpr Duration kLostMemory = 5s;
/// Bound of memory: some instances' worth of runs.
constexpr std::size_t kMostFormer = 1024;

}  // namespace

void RunLedger::onCancelled(Number number) {
    keep(number, kCancelledMemory);
}

void RunLedger::onLost(Number number) {
    keep(number, kLostMemory);
}

void RunLedger::keep(Number number, Duration memory) {
    forgetOld();
    auto ended = runs_.extract(number);
    if (!ended.empty()) {
        former_.push_back({std::move(ended.mapped()), clock_.now() + memory});
    }
}

void RunLedger::forgetOld() {
    std::erase_if(former_, [now = clock_.now()](const Former& it) { return it.until < now; });
    while (former_.size() >= kMostFormer) {
        former_.pop_front();
    }
}

std::size_t RunLedger::runningAt(const std::string& instance) const {
    return static_cast<std::size_t>(std::count_if(
        runs_.begin(), runs_.end(), [&](const auto& entry) { return entry.second.instance == instance; }));
}

bool RunLedger::holdsAny(const std::string& instance) {
    forgetOld();
    return !runsOf(instance).empty();
}

/// Former ones first, so that of several trials the last is the one that was there at the end.
std::vector<const Run*> RunLedger::runsOf(const std::string& instance) const {
    std::vector<const Run*> found;
    for (const auto& it : former_) {
        if (it.run.instance == instance) {
            found.push_back(&it.run);
        }
    }
    for (const auto& [number, run] : runs_) {
        if (run.instance == instance) {
            found.push_back(&run);
        }
    }
    return found;
}

CrashNotice RunLedger::blame(const std::string& instance) {
    forgetOld();
    const auto runs = runsOf(instance);
    CrashNotice notice;
    notice.instance = instance;
    notice.runs = runs.size();
    const auto trial = std::find_if(runs.rbegin(), runs.rend(), [](const Run* run) { return run->is_trial; });
    if (trial != runs.rend()) {
        convict(**trial, &notice);
    }
    for (const auto* run : runs) {
        const bool is_convicted = trial != runs.rend() && run->fingerprint == (*trial)->fingerprint;
        if (!is_convicted && quarantine_.suspect(run->fingerprint)) {
            notice.suspects.push_back(run->fingerprint);
        }
    }
    std::erase_if(former_, [&](const Former& it) { return it.run.instance == instance; });
    log_.write(Event("instance_crashed")
                   .with("instance", instance)
                   .with("runs", notice.runs)
                   .with("suspects", notice.suspects.size())
                   .with("quarantined", notice.quarantined.size()));
    return notice;
}

void RunLedger::convict(const Run& run, CrashNotice* notice) {
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
