/// @file
/// Bounds the volume of a log without losing what matters.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "src/ports/clock.h"
#include "src/ports/event_log.h"

namespace dewcrank::adapters {

/// Lines a second that are let through.
struct LogRateLimits {
    std::uint32_t routine_lines = 100;  ///< Of events that say that all went well.
    std::uint32_t other_lines = 400;    ///< Of all others: failures, refusals, changes of belief.
};

/// Lets events through to another log, up to a number a second for routine events and another
/// for all others, so that the one never takes the other's room. What was left out is counted in
/// a line of its own in the next second.
class RateLimitedLog : public EventLog {
public:
    RateLimitedLog(Clock& clock, EventLog& log, std::set<std::string, std::less<>> routine_events,
                   LogRateLimits limits);
    void write(const Event& event) override;
    [[nodiscard]] bool takes(std::string_view name) override;

private:
    /// What has been let through of one kind of events in the present second.
    struct Quota {
        std::uint32_t lines = 0;
        std::uint32_t limit = 0;
    };
    Quota& quotaOf(std::string_view name);
    void startNewSecond();

    Clock& clock_;
    EventLog& log_;
    std::set<std::string, std::less<>> routine_events_;
    TimePoint second_start_{};
    Quota routine_;
    Quota other_;
    std::uint32_t dropped_ = 0;
};

}  // namespace dewcrank::adapters
