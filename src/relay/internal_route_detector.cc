#include "src/relay/internal_route_detector.h"

#include <cmath>

namespace dewcrank::relay {

namespace {

/// Interval at which the counts are halved, so that changes of the callers are detected.
constexpr Duration kHalfLife = 10s;
/// A route counts as internal if external callers would cause its counts with a lower probability.
constexpr double kMaxProbability = 1e-4;
/// Lower counts are removed.
constexpr double kMinCount = 0.5;
/// Requests after which a route counts as external. With this many, a route that only half of all hosts call is already
/// classified as internal.
constexpr double kMinRequests = 14;

}  // namespace

void InternalRouteDetector::onRequest(const std::string& route, const std::string& caller_service) {
    decay();
    counts_[route][caller_service] += 1;
}

void InternalRouteDetector::decay() {
    if (clock_.now() - last_decay_ < kHalfLife) {
        return;
    }
    last_decay_ = clock_.now();
    for (auto& [route, services] : counts_) {
        for (auto& [service, count] : services) {
            count /= 2;
        }
        std::erase_if(services, [](const auto& entry) { return entry.second < kMinCount; });
    }
    std::erase_if(counts_, [](const auto& entry) { return entry.second.empty(); });
}

bool InternalRouteDetector::isInternal(const std::string& route) const {
    const auto found = counts_.find(route);
    if (found == counts_.end()) {
        return false;
    }
    double total = 0;
    double share = 0;
    for (const auto& [service, count] : found->second) {
        total += count;
        share += host_share_(service);
    }
    return share < 1 && std::pow(share, total) < kMaxProbability;
}

std::optional<bool> InternalRouteDetector::classify(const std::string& route) const {
    if (isInternal(route)) {
        return true;
    }
    double total = 0;
    if (const auto found = counts_.find(route); found != counts_.end()) {
        for (const auto& [service, count] : found->second) {
            total += count;
        }
    }
    return total >= kMinRequests ? std::optional(false) : std::nullopt;
}

}  // namespace dewcrank::relay
