#include "src/decision/admission.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {
/// Arrivals are multiplied by this once per interval: a time constant of two seconds.
constexpr double kArrivalDecay = 0.95;
constexpr Duration kDecayInterval = 100ms;
/// Added to the rank of client retries, so that they rank after all first attempts.
constexpr std::uint32_t kClientRetryRank = 1000;
/// Lower bound of the cost of a request, which is 0 while it is unknown.
constexpr Duration kMinCost = 1ms;
/// Up to this ratio all ranks are admitted nearly evenly; above it, urgent ranks are preferred increasingly.
constexpr double kEvenAdmitRatio = 0.3;
}  // namespace

Admission::Admission(RandomSource& random, AdmissionKnobs knobs, const OverloadFeatures& features)
    : random_(random), knobs_(knobs) {
    if (features.fair_shares) {
        flow_shares_.emplace(FlowSharesKnobs());
    }
}

void Admission::decay(TimePoint now, Arrivals* arrivals) {
    if (now - arrivals->decayed_at < kDecayInterval) {
        return;
    }
    arrivals->decayed_at = now;
    for (auto& [rank, slot_time] : arrivals->slot_time) {
        slot_time *= kArrivalDecay;
    }
}

/// @return the share of a rank's requests to admit. Slot time is rejected from the least urgent rank upwards, from each
/// rank down to its minimum share.
double Admission::admitProbability(const Arrivals& arrivals, double admit_ratio, std::uint32_t rank) const {
    double total = 0;
    double non_retry = 0;
    for (const auto& [other_rank, slot_time] : arrivals.slot_time) {
        total += slot_time;
        non_retry += other_rank < kClientRetryRank ? slot_time : 0;
    }
    double to_reject = (1 - admit_ratio) * total;
    // Client retries are rejected first, which leaves a higher ratio to the other requests.
    const double non_retry_ratio = non_retry > 0 ? std::min(1.0, admit_ratio * total / non_retry) : admit_ratio;
    // A low ratio is shared more evenly, or the least urgent ranks would be left with almost nothing.
    const double even_share = std::min(1 - non_retry_ratio, kEvenAdmitRatio + 1 - 2 * non_retry_ratio);
    const double min_share = non_retry_ratio * std::max(knobs_.min_share, even_share);
    for (auto it = arrivals.slot_time.rbegin(); it != arrivals.slot_time.rend(); ++it) {
        const double min_kept = it->first >= kClientRetryRank ? 0.0 : min_share;
        const double rejected = std::min(to_reject, (1 - min_kept) * it->second);
        if (it->first == rank) {
            return it->second > 0 ? 1 - rejected / it->second : 1;
        }
        to_reject -= rejected;
    }
    return 1;
}

bool Admission::admits(TimePoint now, const Bottleneck& bottleneck, const AdmissionRequest& request) {
    if (bottleneck.service.empty()) {
        return true;
    }
    auto& arrivals = arrivals_[bottleneck.service];
    decay(now, &arrivals);
    const auto effective_rank = request.rank + (request.is_client_retry ? kClientRetryRank : 0);
    const double slot_time = toSeconds(std::max(bottleneck.cost, kMinCost));
    arrivals.slot_time[effective_rank] += slot_time;
    FlowRequest flow_request;
    if (flow_shares_) {
        flow_request = {bottleneck.service, request.rank, request.is_client_retry, request.flow, slot_time, 1,
                        request.fleet_rate};
        flow_shares_->onArrival(now, flow_request);
    }
    if (bottleneck.admit_ratio >= 1) {
        return true;
    }
    const double rank_probability = admitProbability(arrivals, bottleneck.admit_ratio, effective_rank);
    return flow_shares_ ? admitsFlow(now, flow_request, rank_probability) : random_.unit() < rank_probability;
}

bool Admission::admitsFlow(TimePoint now, const FlowRequest& request, double rank_probability) {
    const auto share = flow_shares_->shareOf(now, request, rank_probability);
    const double drawn = random_.unit();
    if (drawn >= share.probability && drawn < rank_probability) {
        signal_flow_rejected_.emit({request.service, request.flow, share});
    }
    return drawn < share.probability;
}

}  // namespace dewcrank::decision
