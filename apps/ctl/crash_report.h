/// @file
/// `dewcrank crashes`: which requests ran when instances ended, from the logs of all nodes.
#pragma once

#include <istream>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dewcrank::ctl {

/// A request that was running at several instances when these ended, over all of its tries.
struct RepeatedCrash {
    std::string fingerprint;
    std::string route;
    std::set<std::string> instances;
    double first = 0;  ///< Second of the day.
    double last = 0;
};

/// Collects the lines on instances that failed while they had a request.
class CrashReport {
public:
    void read(std::istream& log);
    /// Runs that each instance ended with, by its id.
    [[nodiscard]] const std::map<std::string, std::size_t>& runs() const { return runs_; }
    /// Requests that two instances or more ended with; those of most instances first.
    [[nodiscard]] std::vector<RepeatedCrash> repeated() const;

private:
    std::map<std::string, std::size_t> runs_;
    std::map<std::string, RepeatedCrash> by_fingerprint_;
};

/// Prints the report. @return kExitOk, or kExitBadInput if a file cannot be read or none has a line on an
/// instance that failed.
int reportCrashes(const std::vector<std::string>& files);

}  // namespace dewcrank::ctl
