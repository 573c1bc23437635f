#include "src/decision/response_times.h"

#include <cmath>

namespace dewcrank::decision {

namespace {

/// Weights of a new time in the mean and in the deviation, and deviations above the mean (RFC 6298, section 2).
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviations = 4;

}  // namespace

void ResponseTimes::onEnded(const std::string& route, Duration time) {
    const double seconds = toSeconds(time);
    const auto [found, is_first] = estimates_.try_emplace(route, Estimate{seconds, seconds / 2});
    if (is_first) {
        return;
    }
    auto& estimate = found->second;
    estimate.deviation += kDeviationWeight * (std::abs(estimate.mean - seconds) - estimate.deviation);
    estimate.mean += kMeanWeight * (seconds - estimate.mean);
}

std::optional<Duration> ResponseTimes::upperBound(const std::string& route) const {
    const auto found = estimates_.find(route);
    if (found == estimates_.end()) {
        return std::nullopt;
    }
    const double seconds = found->second.mean + kDeviations * found->second.deviation;
    return fromSeconds(seconds);
}

}  // namespace dewcrank::decision
