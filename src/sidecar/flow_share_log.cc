#include "src/sidecar/flow_share_log.h"

#include <utility>

namespace dewcrank::sidecar {

namespace {

constexpr std::size_t kMaxEventsPerSecond = 5;

}  // namespace

void FlowShareLog::onRejected(const decision::FlowRejection& rejection) {
    ++rejected_;
    const auto now = clock_.now();
    if (now - second_start_ >= 1s) {
        second_start_ = now;
        logged_.clear();
    }
    const bool is_allowed = logged_.size() < kMaxEventsPerSecond && logged_.insert(rejection.flow).second;
    if (!is_allowed || !log_.accepts("flow_over_share")) {
        return;
    }
    const auto& share = rejection.share;
    log_.write(Event("flow_over_share")
                   .with("flow", rejection.flow)
                   .with("bottleneck", rejection.service)
                   .with("rate", share.rate)
                   .with("level", share.level)
                   .with("probability", share.probability)
                   .with("fleet_rate_age_ms", share.fleet_rate_age ? toMilliseconds(*share.fleet_rate_age) : -1)
                   .with("rejected", rejected_ - std::exchange(logged_rejected_, rejected_)));
}

}  // namespace dewcrank::sidecar
