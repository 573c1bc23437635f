/// @file
/// `dewcrank explain`: a request's way through the logs of all nodes.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace dewcrank::ctl {

/// One line of a log that matters for a request.
struct ExplainedLine {
    std::string time;     ///< As logged; sorts as text.
    std::string source;   ///< The file that it stands in.
    std::string text;     ///< From "event=" on.
    bool is_own = false;  ///< Names the request; else a change of belief around it.
};

/// Collects, from logs, the lines of one request and the changes of belief near them.
class Explanation {
public:
    explicit Explanation(std::string request) : request_(std::move(request)) {}
    void read(const std::string& source, std::istream& log);
    /// In order of time. Changes of belief are kept up to two seconds around the request.
    [[nodiscard]] std::vector<ExplainedLine> lines() const;

private:
    std::string request_;
    std::vector<ExplainedLine> own_;
    std::vector<ExplainedLine> beliefs_;
};

/// Prints the explanation. @return kExitOk, or kExitBadInput if a file cannot be read or no line
/// names the request.
int explain(const std::string& request, const std::vector<std::string>& files);

}  // namespace dewcrank::ctl
