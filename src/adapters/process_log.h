/// @file
/// Event log of a process, on easylogging++.
#pragma once

#include <cstdint>
#include <string>

#include "src/ports/event_log.h"

namespace dewcrank::adapters {

/// Writes `time=... event=... key=value` lines to standard output, or to a file.
///
/// A write to standard output never blocks: if the pipe is full, the line is dropped. The number of dropped lines is
/// logged as `log_lines_dropped` before the next line that can be written.
class ProcessLog : public EventLog {
public:
    /// @param file path of the log file; empty: standard output.
    explicit ProcessLog(const std::string& file);
    void write(const Event& event) override;

    /// Number of lines dropped since the start of the process because standard output was not ready.
    [[nodiscard]] static std::uint64_t droppedLines();
};

}  // namespace dewcrank::adapters
