#include "src/relay/caller_census.h"

#include <cmath>

namespace dewcrank::relay {

namespace {

/// Counts are halved this often, so that a moved route is learned anew.
constexpr Duration kHalfLife = 10s;
/// A route counts as inner if callers would give its counts less often than this.
constexpr double kImprobable = 1e-4;
constexpr double kNegligible = 0.5;
/// Of a route that instances of half of all machines call, so many requests tell that it is inner.
constexpr double kEnough = 14;

}  // namespace

void CallerCensus::onRequest(const std::string& route, const std::string& caller_service) {
    fade();
    counts_[route][caller_service] += 1;
}

void CallerCensus::fade() {
    if (clock_.now() - faded_ < kHalfLife) {
        return;
    }
    faded_ = clock_.now();
    for (auto& [route, services] : counts_) {
        for (auto& [service, count] : services) {
            count /= 2;
        }
        std::erase_if(services, [](const auto& entry) { return entry.second < kNegligible; });
    }
    std::erase_if(counts_, [](const auto& entry) { return entry.second.empty(); });
}

bool CallerCensus::isInternal(const std::string& route) const {
    const auto found = counts_.find(route);
    if (found == counts_.end()) {
        return false;
    }
    double total = 0;
    double share = 0;
    for (const auto& [service, count] : found->second) {
        total += count;
        share += share_of_(service);
    }
    return share < 1 && std::pow(share, total) < kImprobable;
}

std::optional<bool> CallerCensus::verdict(const std::string& route) const {
    if (isInternal(route)) {
        return true;
    }
    double total = 0;
    if (const auto found = counts_.find(route); found != counts_.end()) {
        for (const auto& [service, count] : found->second) {
            total += count;
        }
    }
    return total >= kEnough ? std::optional(false) : std::nullopt;
}

}  // namespace dewcrank::relay
