/// @file
/// Rates at which tokens are requested from one quota shard, by tenant, as its owner measures them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/base/decaying_rate.h"

namespace dewcrank::quota {

class AskedRates {
public:
    /// Counts requested tokens, granted or not.
    void onAsked(TimePoint now, const std::string& tenant, std::uint32_t tokens);
    /// @return tokens per second; 0 until enough time has been observed.
    [[nodiscard]] double perSecond(TimePoint now, const std::string& tenant) const;

private:
    std::map<std::string, DecayingRate> rates_;
    std::optional<TimePoint> since_;  ///< First token that was counted.
};

}  // namespace dewcrank::quota
