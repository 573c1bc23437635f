/// @file
/// `dewcrank crashes`: requests that were running when instances crashed, from the logs of all nodes.
#pragma once

#include <istream>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dewcrank::ctl {

/// A request, including its retries, that was running at several instances when they crashed.
struct SuspectRequest {
    std::string fingerprint;
    std::string route;
    std::set<std::string> instances;  ///< Ids of the crashed instances.
    double first_s = 0;               ///< Time of the first crash, in seconds since midnight.
    double last_s = 0;                ///< Time of the last crash, in seconds since midnight.
};

/// Collects the `instance_failed` events of requests that were sent to an instance.
class CrashReport {
public:
    /// Adds the events of one log file.
    void read(std::istream& log);
    /// @return the number of requests that each instance lost, by instance id.
    [[nodiscard]] const std::map<std::string, std::size_t>& lostRequests() const { return lost_requests_; }
    /// @return requests that were lost at two instances or more, ordered by descending number of instances.
    [[nodiscard]] std::vector<SuspectRequest> suspects() const;

private:
    std::map<std::string, std::size_t> lost_requests_;
    std::map<std::string, SuspectRequest> by_fingerprint_;
};

/// Prints the report. @return kExitOk, or kExitBadInput if a file cannot be read or no file has such an event.
int reportCrashes(const std::vector<std::string>& files);

}  // namespace dewcrank::ctl
