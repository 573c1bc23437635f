/// @file
/// The runs that an instance has, and whom its end is blamed on.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/quarantine/quarantine.h"

namespace dewcrank::quarantine {

/// What ran when an instance ended.
struct CrashNotice {
    std::string instance;
    std::size_t runs = 0;
    std::vector<Fingerprint> suspects;
    std::vector<Fingerprint> quarantined;  ///< One at most.
};

/// A request that was sent to an instance.
struct Run {
    std::string request;  ///< Its id.
    std::string route;
    std::string instance;
    Fingerprint fingerprint = 0;
    bool is_trial = false;  ///< The one suspect that may run there.
};

/// Runs of a relay's instance. Those that were cancelled just now count: an instance may go on for a moment with what
/// its caller has left. So do those whose connection was lost lately: the end of the instance may be told later, by
/// a node that reads slowly, or by the next instance in its place.
class RunTracker {
public:
    using RunId = std::uint64_t;

    RunTracker(Clock& clock, EventLog& log, Quarantine& quarantine)
        : clock_(clock), log_(log), quarantine_(quarantine) {}

    void onSent(RunId id, Run run) { runs_[id] = std::move(run); }
    /// Answered, or known not to have been sent.
    void onEnded(RunId id) { runs_.erase(id); }
    void onCancelled(RunId id);
    /// Its connection has broken.
    void onConnectionLost(RunId id);
    /// Those that go on.
    [[nodiscard]] std::size_t runningAt(const std::string& instance) const;
    /// True if an end of this instance would be blamed on any run.
    [[nodiscard]] bool hasRuns(const std::string& instance);
    /// An instance has ended by itself: the one suspect that ran there is to blame, and everything else that ran
    /// there is suspected from now on.
    CrashNotice attributeCrash(const std::string& instance);

private:
    /// A run that is over, and until when it counts.
    struct EndedRun {
        Run run;
        TimePoint until{};
    };
    void retain(RunId id, Duration retention);
    void evictStale();
    [[nodiscard]] std::vector<const Run*> runsOf(const std::string& instance) const;
    void markQuarantined(const Run& run, CrashNotice* notice);

    Clock& clock_;
    EventLog& log_;
    Quarantine& quarantine_;
    std::map<RunId, Run> runs_;
    std::deque<EndedRun> ended_runs_;  ///< kMostFormer at most; the oldest first.
};

}  // namespace dewcrank::quarantine
