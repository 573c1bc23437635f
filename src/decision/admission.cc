#include "src/decision/admission.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {
/// The counts of arrivals are multiplied by this once an interval: a memory of two seconds.
constexpr double kArrivalFade = 0.95;
constexpr Duration kFadeInterval = 100ms;
/// Ranks from this on are of repeats: they come after all priorities.
constexpr std::uint32_t kRepeatRank = 1000;
}  // namespace

Admission::Admission(Clock& clock, RandomSource& random, AdmissionKnobs knobs)
    : clock_(clock), random_(random), knobs_(knobs) {}

void Admission::onReport(const std::string& route, const Bottleneck& bottleneck) {
    bottlenecks_[route] = bottleneck.service;
    auto& control = controls_[bottleneck.service];
    const auto now = clock_.now();
    const bool is_old = now - control.reported > knobs_.level_memory;
    const double weight = is_old ? 1 : knobs_.report_weight;
    control.level += (bottleneck.level - control.level) * weight;
    control.reported = now;
}

double Admission::shareOf(const Control& control) const {
    const auto age = static_cast<double>((clock_.now() - control.reported).count());
    const double faded = age / static_cast<double>(knobs_.level_memory.count()) - 1;
    return control.level + (1 - control.level) * std::clamp(faded, 0.0, 1.0);
}

void Admission::fade(Control& control) {
    if (clock_.now() - control.faded < kFadeInterval) {
        return;
    }
    control.faded = clock_.now();
    for (auto& [priority, count] : control.arrivals) {
        count *= kArrivalFade;
    }
}

/// What is to be refused is taken from the least urgent first: from each priority down to its
/// fair share, and only then from each down to nothing.
double Admission::admittedOf(const Control& control, std::uint32_t rank) const {
    double total = 0;
    for (const auto& [other, count] : control.arrivals) {
        total += count;
    }
    double to_refuse = (1 - shareOf(control)) * total;
    std::map<std::uint32_t, double> admitted;
    for (const double fair_share : {knobs_.fair_share, 0.0}) {
        for (auto entry = control.arrivals.rbegin(); entry != control.arrivals.rend(); ++entry) {
            auto& share = admitted.try_emplace(entry->first, 1.0).first->second;
            const double least = entry->first >= kRepeatRank ? 0.0 : fair_share;
            const double refused = std::min(to_refuse, (share - least) * entry->second);
            if (entry->second > 0) {
                share -= refused / entry->second;
            }
            to_refuse -= refused;
        }
    }
    const auto found = admitted.find(rank);
    return found == admitted.end() ? 1.0 : found->second;
}

bool Admission::admits(const std::string& route, std::uint32_t priority, bool is_repeat) {
    const auto bottleneck = bottlenecks_.find(route);
    if (bottleneck == bottlenecks_.end()) {
        return true;
    }
    auto& control = controls_[bottleneck->second];
    fade(control);
    const auto rank = priority + (is_repeat ? kRepeatRank : 0);
    control.arrivals[rank] += 1;
    return shareOf(control) >= 1 || random_.unit() < admittedOf(control, rank);
}

double Admission::levelOf(const std::string& route) const {
    const auto bottleneck = bottlenecks_.find(route);
    if (bottleneck == bottlenecks_.end()) {
        return 1;
    }
    const auto control = controls_.find(bottleneck->second);
    return control == controls_.end() ? 1 : shareOf(control->second);
}

Admission::State Admission::leastShare() const {
    State least;
    for (const auto& [bottleneck, control] : controls_) {
        if (shareOf(control) < least.share) {
            least = {bottleneck, shareOf(control)};
        }
    }
    return least;
}

}  // namespace dewcrank::decision
