#include "src/quota/asked_rates.h"

#include <cmath>

namespace dewcrank::quota {

namespace {

constexpr Duration kRateTime = 2s;
/// An owner reports no rates for this long after its first request: few requests would make them too uncertain.
constexpr Duration kMinObservation = 1s;

}  // namespace

void AskedRates::onAsked(TimePoint now, const std::string& tenant, std::uint32_t tokens) {
    since_ = since_.value_or(now);
    rates_.try_emplace(tenant, kRateTime).first->second.add(now, tokens);
}

/// The rate is corrected for the time before the first request, which the time constant includes at first.
double AskedRates::perSecond(TimePoint now, const std::string& tenant) const {
    const auto found = rates_.find(tenant);
    if (found == rates_.end() || now - *since_ < kMinObservation) {
        return 0;
    }
    return found->second.perSecond(now) / (1 - std::exp(-toSeconds(now - *since_) / toSeconds(kRateTime)));
}

}  // namespace dewcrank::quota
