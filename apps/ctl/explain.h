/// @file
/// `dewcrank explain`: the path of one request, from the logs of all nodes.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace dewcrank::ctl {

/// A log line that concerns a request.
struct TraceLine {
    std::string time;    ///< As logged; the text sorts in order of time.
    std::string source;  ///< Log file of the line.
    std::string text;    ///< The line from "event=" on.
    bool names_request =
        false;  ///< The event is one of the request; otherwise a state change of a node near it in time.
};

/// Collects the events of one request, and the state changes of nodes near them in time.
class RequestTrace {
public:
    /// @param request id of the request.
    explicit RequestTrace(std::string request) : request_(std::move(request)) {}
    /// Adds the events of one log. @param source name of the log in the trace lines.
    void read(const std::string& source, std::istream& log);
    /// @return events of the request, and state changes within two seconds of one of them, ordered by time.
    [[nodiscard]] std::vector<TraceLine> lines() const;
    /// @return events of the request that name a hop at which its response was lost, ordered by time.
    [[nodiscard]] std::vector<TraceLine> losses() const;

private:
    std::string request_;
    std::vector<TraceLine> request_lines_;
    std::vector<TraceLine> state_changes_;
};

/// Prints the trace of a request. @return kExitOk, or kExitBadInput if a file cannot be read or no line
/// names the request.
int explain(const std::string& request, const std::vector<std::string>& files);

}  // namespace dewcrank::ctl
