/// @file
/// `dewcrank repeats`: how much of each service's retry budget the relays used, summed over the logs of all nodes.
#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace dewcrank::ctl {

/// Counts of one node or of several, over some time.
struct RetryCounts {
    double requests = 0;  ///< First attempts, including those of calls made for a retried request.
    double retries = 0;   ///< Admitted retries, and calls made for a retried request, which count as retries.
    double denied = 0;    ///< Retries that the budget did not admit.
};

/// The window in which a service used the largest part of its retry budget.
struct RetryWindowReport {
    std::string service;
    double begin_s = 0;                          ///< Start of the window, in seconds since midnight.
    RetryCounts total;                           ///< Sum over all nodes.
    double allowed = 0;                          ///< Retries that the requests of this window allow.
    std::map<std::string, RetryCounts> by_node;  ///< By log file.
};

/// Collects the `repeats` events. Each event counts the second before it.
class RetryReport {
public:
    /// Adds the events of one log. @param source name of the node in the report.
    void read(const std::string& source, std::istream& log);
    /// @return the window of highest budget usage of each service that had retries, ordered by service.
    [[nodiscard]] std::vector<RetryWindowReport> worstWindows() const;

private:
    struct Sample {
        std::string node;
        double time_s = 0;  ///< Seconds since midnight.
        RetryCounts counts;
    };
    struct ServiceSamples {
        double ratio = 0;     ///< Allowed retries per request.
        double slack = 0;     ///< Allowed retries per window in addition to the ratio.
        double window_s = 0;  ///< Length of the window.
        std::vector<Sample> samples;
    };
    /// Sums the samples in the window that starts at `begin_s`.
    [[nodiscard]] static RetryWindowReport windowAt(const ServiceSamples& service, double begin_s);

    std::map<std::string, ServiceSamples> services_;
};

/// Prints a line for each service and one for each of its nodes. @return kExitOk, or kExitBadInput if a file
/// cannot be read or no file has a retry.
int reportRetries(const std::vector<std::string>& files);

}  // namespace dewcrank::ctl
