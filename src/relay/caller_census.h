/// @file
/// Tells routes that instances call as part of their own runs from routes that callers use.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/base/time.h"
#include "src/ports/clock.h"

namespace dewcrank::relay {

/// Counts, by route, beside which services requests began. Callers spread over all machines, so
/// a route whose requests all begin beside a few services is called by their instances.
class CallerCensus {
public:
    /// Part of the fleet's machines that run a service, from 0 to 1.
    using ShareOf = std::function<double(const std::string& service)>;

    CallerCensus(Clock& clock, ShareOf share_of) : clock_(clock), share_of_(std::move(share_of)) {}
    void onRequest(const std::string& route, const std::string& caller_service);
    /// True if callers spread over all machines would hardly ever give what was counted.
    [[nodiscard]] bool isInternal(const std::string& route) const;
    /// The same; nothing while too few requests were counted to tell.
    [[nodiscard]] std::optional<bool> verdict(const std::string& route) const;

private:
    void fade();

    Clock& clock_;
    ShareOf share_of_;
    TimePoint faded_{};
    std::map<std::string, std::map<std::string, double>> counts_;  ///< By route, then service.
};

}  // namespace dewcrank::relay
