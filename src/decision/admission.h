/// @file
/// Overload admission at the entry: rejects requests before their first hop, by the admission ratio of the
/// bottleneck service of their route. Like DAGOR (Zhou et al., SoCC 2018), it applies upstream what an overloaded
/// service reports about its load.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/base/time.h"
#include "src/decision/bottleneck_view.h"
#include "src/ports/random_source.h"

namespace dewcrank::decision {

/// Constants of the admission.
struct AdmissionKnobs {
    double min_share = 0.3;  ///< Of the admission ratio that each priority keeps, so that none starves.
};

/// Admits or rejects each request by its rank and by the admission ratio of its bottleneck service.
class Admission {
public:
    Admission(RandomSource& random, AdmissionKnobs knobs) : random_(random), knobs_(knobs) {}

    /// Counts a request and decides whether it is admitted.
    /// @param bottleneck        of the request's route; a request without a known bottleneck is admitted.
    /// @param priority          0 is rejected last.
    /// @param is_client_retry   rejected before all first attempts, so that retrying gains a client nothing.
    /// @return true if the request is admitted.
    bool admits(TimePoint now, const Bottleneck& bottleneck, std::uint32_t priority, bool is_client_retry);

private:
    /// Slot time in seconds that arriving requests need at one bottleneck, by rank; decays exponentially.
    struct Arrivals {
        TimePoint decayed_at{};
        std::map<std::uint32_t, double> slot_time;
    };
    static void decay(TimePoint now, Arrivals* arrivals);
    [[nodiscard]] double admitProbability(const Arrivals& arrivals, double admit_ratio, std::uint32_t rank) const;

    RandomSource& random_;
    AdmissionKnobs knobs_;
    std::map<std::string, Arrivals> arrivals_;  ///< By bottleneck service.
};

}  // namespace dewcrank::decision
