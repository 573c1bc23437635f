/// @file
/// The event log of a process, on easylogging++.
#pragma once

#include <cstdint>
#include <string>

#include "src/ports/event_log.h"

namespace dewcrank::adapters {

/// Writes `time=... event=... key=value` lines to standard output, or to a file.
///
/// A reader of standard output that does not read holds nothing up: lines that find no room are
/// dropped, and counted in a line of their own as soon as there is room.
class ProcessLog : public EventLog {
public:
    /// @param file where the lines go; empty: standard output.
    explicit ProcessLog(const std::string& file);
    void write(const Event& event) override;

    /// Lines that were dropped in this process because their reader did not read.
    [[nodiscard]] static std::uint64_t droppedLines();
};

}  // namespace dewcrank::adapters
