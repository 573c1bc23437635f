/// @file
/// `dewcrank repeats`: what the relays of a service have spent of its repeat budget, summed from the
/// logs of all nodes.
#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace dewcrank::ctl {

/// What was counted in some time, by one node or by several.
struct RepeatCounts {
    double requests = 0;  ///< Calls of repeated runs included.
    double repeats = 0;   ///< Granted ones, and calls of repeated runs.
    double denied = 0;
};

/// The window of a service in which the largest part of what is allowed was spent.
struct RepeatWindowReport {
    std::string service;
    double begin = 0;  ///< Second of the day.
    RepeatCounts fleet;
    double allowed = 0;  ///< By the requests of this window alone.
    std::map<std::string, RepeatCounts> by_node;
};

/// Collects the lines on repeats. Each covers the second before it.
class RepeatReport {
public:
    void read(const std::string& source, std::istream& log);
    /// One for each service that has spent any, by name.
    [[nodiscard]] std::vector<RepeatWindowReport> worstWindows() const;

private:
    struct Line {
        std::string node;
        double at = 0;  ///< Second of the day.
        RepeatCounts counts;
    };
    struct Service {
        double ratio = 0;
        double slack = 0;
        double window = 0;  ///< Seconds.
        std::vector<Line> lines;
    };
    [[nodiscard]] static RepeatWindowReport windowFrom(const Service& service, double begin);

    std::map<std::string, Service> services_;
};

/// Prints the report, a line for the fleet and one for each node. @return kExitOk, or kExitBadInput if a
/// file cannot be read or none has a line on repeats.
int reportRepeats(const std::vector<std::string>& files);

}  // namespace dewcrank::ctl
