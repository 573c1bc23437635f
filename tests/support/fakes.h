/// @file
/// Test doubles of the log and the clock, and a helper for results.
#pragma once

#include <string>
#include <vector>

#include "sim/virtual_clock.h"
#include "src/base/error.h"
#include "src/ports/event_log.h"

namespace dewcrank::tests {

/// Event log that keeps its lines in memory.
class RecordingLog : public EventLog {
public:
    void write(const Event& event) override { lines.push_back(event.line()); }
    std::vector<std::string> lines;
};

/// Event queue and clock in virtual time, for one host.
struct VirtualTime {
    sim::EventQueue queue;
    sim::Host clock{queue, "north"};
    /// Runs all events that are due within `duration`.
    void advance(Duration duration) { queue.runUntil(queue.now() + duration); }
};

/// @param body function that returns a result.
/// @return the text of its error; empty on success.
template <typename Body>
std::string errorOf(Body body) {
    std::string text;
    runOrReport(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(body());
            return {};
        },
        [&text](const StepError& error) { text = error.text(); });
    return text;
}

}  // namespace dewcrank::tests
