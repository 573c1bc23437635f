#include "src/decision/admission.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {
/// What arrived is multiplied by this once an interval: a memory of two seconds.
constexpr double kArrivalFade = 0.95;
constexpr Duration kFadeInterval = 100ms;
/// Ranks from this on are of repeats: they come after all priorities.
constexpr std::uint32_t kRepeatRank = 1000;
/// Of a request whose cost is not known yet, so that it counts at all.
constexpr Duration kLeastCost = 1ms;
/// Up to this level all priorities share nearly evenly; above it the urgent ones go first the more, the higher it is.
constexpr double kEvenLevel = 0.3;
}  // namespace

void Admission::fade(TimePoint now, Arrivals* arrivals) {
    if (now - arrivals->faded < kFadeInterval) {
        return;
    }
    arrivals->faded = now;
    for (auto& [rank, work] : arrivals->work) {
        work *= kArrivalFade;
    }
}

/// What is to be refused is taken from the least urgent first: from each priority down to what it
/// keeps in any case.
double Admission::admittedOf(const Arrivals& arrivals, double level, std::uint32_t rank) const {
    double total = 0;
    double first = 0;
    for (const auto& [other, work] : arrivals.work) {
        total += work;
        first += other < kRepeatRank ? work : 0;
    }
    double to_refuse = (1 - level) * total;
    // Of all but repeats, which are refused first.
    const double first_level = first > 0 ? std::min(1.0, level * total / first) : level;
    // The less can be served, the more evenly: a level near zero would leave the last ones nothing.
    const double even = std::min(1 - first_level, kEvenLevel + 1 - 2 * first_level);
    const double kept_share = first_level * std::max(knobs_.kept_share, even);
    for (auto it = arrivals.work.rbegin(); it != arrivals.work.rend(); ++it) {
        const double least = it->first >= kRepeatRank ? 0.0 : kept_share;
        const double refused = std::min(to_refuse, (1 - least) * it->second);
        if (it->first == rank) {
            return it->second > 0 ? 1 - refused / it->second : 1;
        }
        to_refuse -= refused;
    }
    return 1;
}

bool Admission::admits(TimePoint now, const Bottleneck& bottleneck, std::uint32_t priority, bool is_repeat) {
    if (bottleneck.service.empty()) {
        return true;
    }
    auto& arrivals = arrivals_[bottleneck.service];
    fade(now, &arrivals);
    const auto rank = priority + (is_repeat ? kRepeatRank : 0);
    arrivals.work[rank] += toSeconds(std::max(bottleneck.cost, kLeastCost));
    return bottleneck.level >= 1 || random_.unit() < admittedOf(arrivals, bottleneck.level, rank);
}

}  // namespace dewcrank::decision
