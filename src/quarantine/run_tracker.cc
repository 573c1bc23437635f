#include "src/quarantine/run_tracker.h"

#include <algorithm>

namespace dewcrank::quarantine {

namespace {

/// An instance may run a cancelled request for this time: runs that crash instances take 70 to 80 ms, and the crash as
/// long again to be noticed.
constexpr Duration kCancelledRetention = 150ms;
constexpr Duration kLostRetention = 5s;      ///< Until the next incarnation has started and sent a heartbeat.
constexpr std::size_t kMaxEndedRuns = 1024;  ///< Bounds memory.

}  // namespace

void RunTracker::onCancelled(RunId id) {
    retain(id, kCancelledRetention);
}

void RunTracker::onConnectionLost(RunId id) {
    retain(id, kLostRetention);
}

void RunTracker::retain(RunId id, Duration retention) {
    evictStale();
    auto ended = runs_.extract(id);
    if (!ended.empty()) {
        ended_runs_.push_back({std::move(ended.mapped()), clock_.now() + retention});
    }
}

void RunTracker::evictStale() {
    std::erase_if(ended_runs_, [now = clock_.now()](const EndedRun& it) { return it.until < now; });
    while (ended_runs_.size() >= kMaxEndedRuns) {
        ended_runs_.pop_front();
    }
}

std::size_t RunTracker::runningAt(const std::string& instance) const {
    return static_cast<std::size_t>(std::count_if(
        runs_.begin(), runs_.end(), [&](const auto& entry) { return entry.second.instance == instance; }));
}

bool RunTracker::hasRuns(const std::string& instance) {
    evictStale();
    return !runsOf(instance).empty();
}

/// Ended runs come first, so that the last trial in the result is the one that ran when the instance crashed.
std::vector<const Run*> RunTracker::runsOf(const std::string& instance) const {
    std::vector<const Run*> found;
    for (const auto& it : ended_runs_) {
        if (it.run.instance == instance) {
            found.push_back(&it.run);
        }
    }
    for (const auto& [id, run] : runs_) {
        if (run.instance == instance) {
            found.push_back(&run);
        }
    }
    return found;
}

CrashNotice RunTracker::attributeCrash(const std::string& instance) {
    evictStale();
    const auto runs = runsOf(instance);
    CrashNotice notice;
    notice.instance = instance;
    notice.runs = runs.size();
    const auto trial = std::find_if(runs.rbegin(), runs.rend(), [](const Run* run) { return run->is_trial; });
    if (trial != runs.rend()) {
        quarantine(**trial, &notice);
    }
    for (const auto* run : runs) {
        const bool is_trial = trial != runs.rend() && run->fingerprint == (*trial)->fingerprint;
        if (!is_trial && quarantine_.markSuspect(run->fingerprint)) {
            notice.suspects.push_back(run->fingerprint);
        }
    }
    std::erase_if(ended_runs_, [&](const EndedRun& it) { return it.run.instance == instance; });
    log_.write(Event("instance_crashed")
                   .with("instance", instance)
                   .with("runs", notice.runs)
                   .with("suspects", notice.suspects.size())
                   .with("quarantined", notice.quarantined.size()));
    return notice;
}

void RunTracker::quarantine(const Run& run, CrashNotice* notice) {
    quarantine_.markQuarantined(run.fingerprint);
    notice->quarantined.push_back(run.fingerprint);
    log_.write(Event("request_quarantined")
                   .with("request", run.request)
                   .with("fingerprint", fingerprintText(run.fingerprint))
                   .with("route", run.route)
                   .with("instance", run.instance)
                   .with("left_ms", toMilliseconds(quarantine_.remainingTerm(run.fingerprint))));
}

}  // namespace dewcrank::quarantine
