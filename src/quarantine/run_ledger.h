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
    std::vector<Fingerprint> quarantined;  ///< One at most, unless a trial was cancelled just before.
};

/// A request that was sent to an instance.
struct Run {
    std::string request;  ///< Its id.
    std::string route;
    std::string instance;
    Fingerprint fingerprint = 0;
    bool is_trial = false;  ///< The one suspect that may run there.
};

/// Runs of a relay's instance, those that were cancelled just now included: an instance may go on for a moment
/// with what its caller has left.
class RunLedger {
public:
    using Number = std::uint64_t;

    RunLedger(Clock& clock, EventLog& log, Quarantine& quarantine)
        : clock_(clock), log_(log), quarantine_(quarantine) {}

    void onSent(Number number, Run run) { runs_[number] = std::move(run); }
    void onEnded(Number number) { runs_.erase(number); }
    void onCancelled(Number number);
    /// Those that were not cancelled.
    [[nodiscard]] std::size_t runningAt(const std::string& instance) const;
    /// An instance has ended by itself: the one suspect that ran there is to blame, and everything else that ran
    /// there is suspected from now on.
    CrashNotice blame(const std::string& instance);

private:
    struct Cancelled {
        Run run;
        TimePoint at{};
    };
    void blame(const Run& run, CrashNotice* notice);
    void forgetCancelled();

    Clock& clock_;
    EventLog& log_;
    Quarantine& quarantine_;
    std::map<Number, Run> runs_;
    std::deque<Cancelled> cancelled_;  ///< In order of time.
};

}  // namespace dewcrank::quarantine
