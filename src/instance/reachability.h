/// @file
/// Decides what a failed connection to an instance means: that the instance accepts no further one, or that it is down.
#pragma once

#include <cstddef>
#include <optional>

#include "src/base/time.h"

namespace dewcrank::instance {

/// A connection to the instance that could not be opened.
struct ConnectionFailure {
    TimePoint started{};      ///< When connecting began.
    bool is_timeout = false;  ///< The host did not respond at all, while a refusal shows that it is up.
    std::size_t others = 0;   ///< Other requests that run at the instance or are being sent to it, and one if a
                              ///< connection to it is idle.
    Duration usual_time{};    ///< Mean time of a request at the instance: there may be no response sooner.
};

/// A live instance at its connection limit refuses connections and goes on responding on those that are open. One that
/// is down responds to nothing. After a failed connection the instance counts as unreachable if nothing else runs
/// there that could show that it is alive, or if nothing is received from it for some time.
class Reachability {
public:
    enum class Verdict {
        kReachable,   ///< Something was received since connecting began.
        kUndecided,   ///< To be judged again at `decidedBy`, or when something has been received.
        kUnreachable  ///< The instance counts as down. The failures so far are forgotten.
    };

    /// @param last_contact when something was last received from the instance: a response or a heartbeat.
    Verdict onConnectionFailed(TimePoint now, TimePoint last_contact, const ConnectionFailure& failure);
    /// Judges the failures so far. @param others requests that run at the instance or are being sent to it.
    Verdict judge(TimePoint now, TimePoint last_contact, std::size_t others);
    /// @return when failures without a verdict count as unreachable; nothing if there are none.
    [[nodiscard]] std::optional<TimePoint> decidedBy() const;
    /// Forgets all failures.
    void reset() { first_failure_.reset(); }

private:
    std::optional<TimePoint> first_failure_;  ///< When connecting began that failed first since the last contact.
    Duration max_silence_{};                  ///< From `first_failure_`.
};

}  // namespace dewcrank::instance
