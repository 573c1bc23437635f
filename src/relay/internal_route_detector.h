/// @file
/// Distinguishes internal routes, which only instances call, from routes that external callers use.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/base/time.h"
#include "src/ports/clock.h"

namespace dewcrank::relay {

/// Counts the requests of each route by the service on whose hosts they entered. External callers use the entries
/// of all hosts, so a route whose requests enter only at the hosts of a few services is called by their instances.
class InternalRouteDetector {
public:
    /// Returns the share of all hosts that run an instance of the service, from 0 to 1.
    using HostShare = std::function<double(const std::string& service)>;

    InternalRouteDetector(Clock& clock, HostShare host_share) : clock_(clock), host_share_(std::move(host_share)) {}
    /// Counts a request. @param caller_service service of the instance co-located with the entry node.
    void onRequest(const std::string& route, const std::string& caller_service);
    /// @return true if callers spread over all hosts are very unlikely to cause the counts of this route.
    [[nodiscard]] bool isInternal(const std::string& route) const;
    /// @return whether the route is internal; nothing while there are too few requests to decide.
    [[nodiscard]] std::optional<bool> classify(const std::string& route) const;

private:
    void decay();

    Clock& clock_;
    HostShare host_share_;
    TimePoint last_decay_{};
    std::map<std::string, std::map<std::string, double>> counts_;  ///< Decaying counts by route, then by service.
};

}  // namespace dewcrank::relay
