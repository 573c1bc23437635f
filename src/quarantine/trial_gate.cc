#include "src/quarantine/trial_gate.h"

#include <algorithm>

namespace dewcrank::quarantine {

std::optional<Duration> TrialGate::wait() const {
    const auto conditions = source_();
    const auto& replicas = conditions.replicas;
    const auto relays = replicas.up > knobs_.min_up ? replicas.up - knobs_.min_up : 1;
    if (replicas.position >= relays) {
        return std::nullopt;
    }
    const bool has_crashed = last_crash_ != TimePoint::min();
    const auto since = has_crashed ? clock_.now() - last_crash_ : Duration::max();
    return std::max(Duration::zero(), pauseAfterCrash(conditions) - since);
}

/// Required time between the last crash and the next trial. Assumes that all instances have the utilization of this
/// relay's instance, since entries balance by load.
Duration TrialGate::pauseAfterCrash(const TrialConditions& now) const {
    const auto up = now.replicas.up;
    const bool is_only_one = up + now.replicas.unavailable <= 1;
    if (is_only_one || up > knobs_.min_up + 1) {
        return {};
    }
    const auto left = static_cast<double>(up - 1);
    const bool can_spare_one = left > 0 && now.utilization * static_cast<double>(up) <= left;
    return can_spare_one ? knobs_.settle_time : knobs_.max_restart_time;
}

}  // namespace dewcrank::quarantine
