#include "src/balancing/pace_estimate.h"

#include <algorithm>

namespace dewcrank::balancing {

namespace {

constexpr double kMinSeconds = 1e-6;  ///< Avoids a division by zero.

}  // namespace

PaceEstimate::PaceEstimate(PaceKnobs knobs)
    : knobs_(knobs),
      recent_time_(knobs.recent, knobs.least_decay),
      usual_time_(knobs.usual, knobs.usual_least_decay),
      recent_named_(knobs.recent, knobs.least_decay) {}

void PaceEstimate::reset() {
    *this = PaceEstimate(knobs_);
}

bool PaceEstimate::hasNamedPace(TimePoint now) const {
    return named_pace_ > 0 && now - named_at_ <= knobs_.report_memory;
}

void PaceEstimate::onReport(TimePoint now, const LoadReport& report) {
    if (report.pace) {
        named_pace_ = *report.pace;
        named_at_ = now;
    }
}

void PaceEstimate::onServiceTime(TimePoint now, Duration time) {
    recent_time_.add(now, toSeconds(time));
    usual_time_.add(now, toSeconds(time));
    if (hasNamedPace(now)) {
        recent_named_.add(now, named_pace_);
    }
}

std::optional<Pace> PaceEstimate::at(TimePoint now) const {
    if (recent_time_.isEmpty()) {
        return std::nullopt;
    }
    const double recent = std::max(kMinSeconds, recent_time_.mean());
    const auto age = now - recent_time_.lastAdded();
    if (!hasNamedPace(now) || recent_named_.isEmpty()) {
        const double usual = std::max(kMinSeconds, usual_time_.mean());
        return Pace{recent / usual, fromSeconds(usual), age};
    }
    const double present = recent * named_pace_ / recent_named_.mean();
    return Pace{named_pace_, fromSeconds(present / named_pace_), std::min(age, now - named_at_)};
}

}  // namespace dewcrank::balancing
