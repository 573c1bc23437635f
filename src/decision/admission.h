/// @file
/// Refuses whole trees of calls at their entry, before any hop has worked, by the level of the
/// service that is the bottleneck below. The idea of levels that follow the load of a service
/// and are applied upstream is DAGOR's (Zhou et al., SoCC 2018).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/ports/clock.h"
#include "src/ports/random_source.h"

namespace dewcrank::decision {

/// The service of which least is to be asked, among those
/// that a route's requests need, as a relay reports it.
struct Bottleneck {
    std::string service;
    double level = 1;  ///< Share of the requests to admit.
};

/// From this level on a service counts as not overloaded.
inline constexpr double kUnloadedLevel = 0.95;

/// Constants of the admission.
struct AdmissionKnobs {
    /// Each priority is admitted at this share before the next more urgent one is reduced.
    double fair_share = 0.5;
    /// A level counts for this long after its last report, and then fades to 1 over the same time.
    Duration level_memory = 1s;
    double report_weight = 0.2;  ///< Of one report in the moving average of a level.
};

/// The share of requests that this entry admits, for each bottleneck that relays have reported.
class Admission {
public:
    Admission(Clock& clock, RandomSource& random, AdmissionKnobs knobs);

    /// Decides on a caller's request of a route. @param priority 0 is refused last.
    /// @param is_repeat the caller has asked before: repeats are refused before all others, so
    /// that impatience gains nothing and what is refused is refused once.
    bool admits(const std::string& route, std::uint32_t priority, bool is_repeat);
    /// The share of a route's requests that its bottleneck can take, whatever their priority.
    [[nodiscard]] double levelOf(const std::string& route) const;
    /// A relay has reported the bottleneck of a route's requests.
    void onReport(const std::string& route, const Bottleneck& bottleneck);
    /// The bottleneck for which least is admitted.
    struct State {
        std::string bottleneck;
        double share = 1;
    };
    [[nodiscard]] State leastShare() const;

private:
    struct Control {
        double level = 1;
        TimePoint reported{};
        TimePoint faded{};
        std::map<std::uint32_t, double> arrivals;  ///< By rank, fading.
    };
    [[nodiscard]] double shareOf(const Control& control) const;
    void fade(Control& control);
    [[nodiscard]] double admittedOf(const Control& control, std::uint32_t rank) const;

    Clock& clock_;
    RandomSource& random_;
    AdmissionKnobs knobs_;
    std::map<std::string, std::string> bottlenecks_;  ///< By route.
    std::map<std::string, Control> controls_;         ///< By bottleneck.
};

}  // namespace dewcrank::decision
