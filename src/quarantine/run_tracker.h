/// @file
/// Tracks the runs (requests in execution) of a relay's instance and decides which requests become suspects when the
/// instance crashes.
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

/// The requests that a crash was attributed to.
struct CrashNotice {
    std::string instance;                  ///< Name of the incarnation that crashed.
    std::size_t runs = 0;                  ///< Runs that the crash may be due to.
    std::vector<Fingerprint> suspects;     ///< Requests that became suspects.
    std::vector<Fingerprint> quarantined;  ///< The request that ran as a trial, if there was one; at most one entry.
};

/// A request that was sent to an instance.
struct Run {
    std::string request;  ///< Request id.
    std::string route;
    std::string instance;  ///< Name of the incarnation that the request was sent to.
    Fingerprint fingerprint = 0;
    bool is_trial = false;  ///< The request is a suspect, and the only one that runs there.
};

/// Holds running requests and, for a short time, ended ones that may still cause a crash: an instance may go on with a
/// cancelled request, and a crash that broke a connection may be detected only when the next incarnation reports.
class RunTracker {
public:
    using RunId = std::uint64_t;

    RunTracker(Clock& clock, EventLog& log, Quarantine& quarantine)
        : clock_(clock), log_(log), quarantine_(quarantine) {}

    /// Adds a run. @param id unique among the runs tracked.
    void onSent(RunId id, Run run) { runs_[id] = std::move(run); }
    /// The run is over, or was not sent. Does nothing after `onCancelled` or `onConnectionLost`.
    void onEnded(RunId id) { runs_.erase(id); }
    /// The caller has cancelled the request.
    void onCancelled(RunId id);
    /// The connection broke before the response was complete.
    void onConnectionLost(RunId id);
    /// @return the number of requests that run at the instance now.
    [[nodiscard]] std::size_t runningAt(const std::string& instance) const;
    /// @return true if a crash of this incarnation would be attributed to any run, be it in progress or recently ended.
    [[nodiscard]] bool hasRuns(const std::string& instance);
    /// Quarantines the trial that ran at the crashed instance and marks all other requests that ran there as suspects.
    /// Logs `instance_crashed`, and `request_quarantined` if there was a trial. @return the requests concerned.
    CrashNotice attributeCrash(const std::string& instance);

private:
    /// A run that is over but still counts for a crash of its instance.
    struct EndedRun {
        Run run;
        TimePoint until{};
    };
    void retain(RunId id, Duration retention);
    void evictStale();
    [[nodiscard]] std::vector<const Run*> runsOf(const std::string& instance) const;
    void quarantine(const Run& run, CrashNotice* notice);

    Clock& clock_;
    EventLog& log_;
    Quarantine& quarantine_;
    std::map<RunId, Run> runs_;
    std::deque<EndedRun> ended_runs_;  ///< Oldest first; at most kMaxEndedRuns.
};

}  // namespace dewcrank::quarantine
