#include "src/quarantine/trial_gate.h"

#include <algorithm>

namespace dewcrank::quarantine {

std::optional<Duration> TrialGate::wait() const {
    const auto conditions = view_();
    const auto& replicas = conditions.replicas;
    const auto relays = replicas.up > knobs_.least_left ? replicas.up - knobs_.least_left : 1;
    if (replicas.position >= relays) {
        return std::nullopt;
    }
    const bool has_ended_any = last_end_ != TimePoint::min();
    const auto since = has_ended_any ? clock_.now() - last_end_ : Duration::max();
    return std::max(Duration::zero(), pauseAfterEnd(conditions) - since);
}

/// The others are taken to be as full as this relay's instance: requests go where there is most room.
Duration TrialGate::pauseAfterEnd(const TrialConditions& now) const {
    const auto up = now.replicas.up;
    const bool is_only_one = up + now.replicas.unavailable <= 1;
    if (is_only_one || up > knobs_.least_left + 1) {
        return {};
    }
    const auto left = static_cast<double>(up - 1);
    const bool can_spare_one = left > 0 && now.use * static_cast<double>(up) <= left;
    return can_spare_one ? knobs_.settle : knobs_.longest_return;
}

}  // namespace dewcrank::quarantine
