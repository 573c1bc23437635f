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
struct LogBounds {
    std::uint32_t routine_lines = 100;  ///< Of events that say that all went well.
    std::uint32_t other_lines = 400;    ///< Of all others: failures, refusals, changes of belief.
};

/// Lets events through to another log, up to a number a second for routine events and another
/// for all others, so that the one never takes the other's room. What was left out is counted in
/// a line of its own in the next second.
class BoundedLog : public EventLog {
public:
    BoundedLog(Clock& clock, EventLog& log, std::set<std::string, std::less<>> routine_events, LogBounds bounds);
    void write(const Event& event) override;
    [[nodiscard]] bool accepts(std::string_view name) override;

private:
    /// What has been let through of one kind of events in the present second.
    struct Use {
        std::uint32_t lines = 0;
        std::uint32_t bound = 0;
    };
    Use& useOf(std::string_view name);
    void beginSecond();

    Clock& clock_;
    EventLog& log_;
    std::set<std::string, std::less<>> routine_events_;
    TimePoint second_{};
    Use routine_;
    Use other_;
    std::uint32_t left_out_ = 0;
};

}  // namespace dewcrank::adapters
