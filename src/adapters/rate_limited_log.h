/// @file
/// Rate limit for an event log, with separate limits for routine events and for all other events.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "src/ports/clock.h"
#include "src/ports/event_log.h"

namespace dewcrank::adapters {

/// Limits in lines per second.
struct LogRateLimits {
    std::uint32_t routine_lines = 100;  ///< For events that report normal operation.
    std::uint32_t other_lines = 400;    ///< For all other events: failures, rejections, state changes.
};

/// Forwards events to another log up to a limit per second, and drops the rest.
///
/// Routine events and all other events have separate limits, so a flood of routine events cannot suppress a failure.
/// The number of dropped events is logged as `events_left_out`, with the first event of a later second.
class RateLimitedLog : public EventLog {
public:
    /// @param log the log that receives the events within the limits.
    /// @param routine_events names of the events that the limit `routine_lines` applies to.
    /// @param unlimited_events names of the events that are never dropped.
    RateLimitedLog(Clock& clock, EventLog& log, std::set<std::string, std::less<>> routine_events, LogRateLimits limits,
                   std::set<std::string, std::less<>> unlimited_events = {});
    void write(const Event& event) override;
    /// @return false if the limit of this event name is reached; the event then counts as dropped.
    [[nodiscard]] bool accepts(std::string_view name) override;
    /// Drops no event from now on. For the stop of a node, which is short and whose record must be complete.
    void liftLimits() { has_limits_ = false; }

private:
    /// Lines written in the current second, and their limit.
    struct Quota {
        std::uint32_t lines = 0;
        std::uint32_t limit = 0;
    };
    Quota& quotaOf(std::string_view name);
    [[nodiscard]] bool isLimited(std::string_view name) const;
    /// Resets the quotas, and logs the number of events dropped since the last reset.
    void startNewSecond();

    Clock& clock_;
    EventLog& log_;
    std::set<std::string, std::less<>> routine_events_;
    std::set<std::string, std::less<>> unlimited_events_;
    bool has_limits_ = true;
    TimePoint second_start_{};
    Quota routine_;              ///< For the events in `routine_events_`.
    Quota other_;                ///< For all other events.
    std::uint32_t dropped_ = 0;  ///< Events dropped since `second_start_`.
};

}  // namespace dewcrank::adapters
