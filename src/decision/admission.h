/// @file
/// Refuses whole trees of calls at their entry, before any hop has worked, by the level of the
/// service that is the bottleneck below. The idea of levels that follow the load of a service
/// and are applied upstream is DAGOR's (Zhou et al., SoCC 2018).
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
    /// Each priority keeps this part of the level at least, whatever is more urgent: none starves.
    double kept_share = 0.3;
};

/// The share of requests that this entry admits, for each bottleneck.
class Admission {
public:
    Admission(RandomSource& random, AdmissionKnobs knobs) : random_(random), knobs_(knobs) {}

    /// Decides on a caller's request. @param bottleneck of its route. @param priority 0 is refused last.
    /// @param is_repeat the caller has asked before: repeats are refused before all others, so
    /// that impatience gains nothing and what is refused is refused once.
    bool admits(TimePoint now, const Bottleneck& bottleneck, std::uint32_t priority, bool is_repeat);

private:
    /// Slot time at the bottleneck that was asked for by each rank, in seconds, fading.
    struct Arrivals {
        TimePoint faded{};
        std::map<std::uint32_t, double> work;
    };
    static void fade(TimePoint now, Arrivals* arrivals);
    [[nodiscard]] double admittedOf(const Arrivals& arrivals, double level, std::uint32_t rank) const;

    RandomSource& random_;
    AdmissionKnobs knobs_;
    std::map<std::string, Arrivals> arrivals_;  ///< By bottleneck.
};

}  // namespace dewcrank::decision
