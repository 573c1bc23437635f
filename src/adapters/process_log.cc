#include "src/adapters/process_log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <climits>

INITIALIZE_EASYLOGGINGPP

namespace dewcrank::adapters {

namespace {

constexpr const char* kLogger = "dewcrank";
constexpr const char* kSinkName = "unblocked-output";

/// Writes lines to standard output if that does not block. A pipe that is ready accepts at least PIPE_BUF bytes, so
/// lines are truncated to that size and written completely or dropped.
class NonBlockingStdout : public el::LogDispatchCallback {
public:
    /// Number of dropped lines in this process.
    static std::uint64_t& dropped() {
        static std::uint64_t count = 0;
        return count;
    }

protected:
    void handle(const el::LogDispatchData* data) override {
        auto* logger = data->logMessage()->logger();
        if (logger->id() != kLogger || !is_enabled) {
            return;
        }
        auto line = logger->logBuilder()->build(data->logMessage(), true);
        if (unreported_ > 0) {
            line = "event=log_lines_dropped count=" + std::to_string(unreported_) + "\n" + line;
        }
        if (line.size() > PIPE_BUF) {
            line.resize(PIPE_BUF - 1);
            line += '\n';
        }
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool is_ready = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (is_ready && ::write(STDOUT_FILENO, line.data(), line.size()) > 0) {
            unreported_ = 0;
        } else {
            ++unreported_;
            ++dropped();
        }
    }

public:
    bool is_enabled = false;  ///< False while the log goes to a file.

private:
    std::uint64_t unreported_ = 0;  ///< Dropped lines that no log line has reported.
};

}  // namespace

ProcessLog::ProcessLog(const std::string& file) {
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    if (!file.empty()) {
        configuration.setGlobally(el::ConfigurationType::Filename, file);
    }
    el::Loggers::getLogger(kLogger);
    el::Loggers::reconfigureLogger(kLogger, configuration);
    el::Helpers::installLogDispatchCallback<NonBlockingStdout>(kSinkName);
    el::Helpers::logDispatchCallback<NonBlockingStdout>(kSinkName)->is_enabled = file.empty();
}

void ProcessLog::write(const Event& event) {
    CLOG(INFO, kLogger) << event.line();
}

std::uint64_t ProcessLog::droppedLines() {
    return NonBlockingStdout::dropped();
}

}  // namespace dewcrank::adapters
