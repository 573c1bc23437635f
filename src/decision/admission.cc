#include "src/decision/admission.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {
/// Arrivals are multiplied by this once per interval: a time constant of two seconds.
constexpr double kArrivalDecay = 0.95;
constexpr Duration kDecayInterval = 100ms;
/// Orders of a rank: reserved returns, then first attempts.
constexpr std::uint32_t kOrdersPerRank = 2;
/// Added to the order of client retries, so that they are rejected before all first attempts.
constexpr std::uint32_t kClientRetryOrder = 1000 * kOrdersPerRank;
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

std::uint32_t Admission::orderOf(const AdmissionRequest& request) {
    return request.rank * kOrdersPerRank + (request.is_reserved_return ? 0 : 1) +
           (request.is_client_retry ? kClientRetryOrder : 0);
}

void Admission::decay(TimePoint now, Arrivals* arrivals) {
    if (now - arrivals->decayed_at < kDecayInterval) {
        return;
    }
    arrivals->decayed_at = now;
    for (auto& [order, slot_time] : arrivals->slot_time) {
        slot_time *= kArrivalDecay;
    }
}

/// A rank keeps its minimum share of all that it requests, and its returns come first in it: only what they leave is
/// kept for its first attempts.
/// @return the most slot time that is rejected from an order.
double Admission::maxRejected(const Arrivals& arrivals, double min_share, std::uint32_t order) {
    const auto slot_time_of = [&](std::uint32_t other) {
        const auto found = arrivals.slot_time.find(other);
        return found == arrivals.slot_time.end() ? 0.0 : found->second;
    };
    if (order >= kClientRetryOrder) {
        return slot_time_of(order);
    }
    const auto first_order = order - order % kOrdersPerRank + 1;
    const double first_attempts = slot_time_of(first_order);
    const double of_rank = (1 - min_share) * (slot_time_of(first_order - 1) + first_attempts);
    return order == first_order ? std::min(first_attempts, of_rank) : std::max(0.0, of_rank - first_attempts);
}

/// @return the share of the requests of an order to admit. Slot time is rejected from the least urgent rank upwards,
/// from each order down to its minimum share.
double Admission::admitProbability(const Arrivals& arrivals, double admit_ratio, std::uint32_t order) const {
    double total = 0;
    double non_retry = 0;
    for (const auto& [other_order, slot_time] : arrivals.slot_time) {
        total += slot_time;
        non_retry += other_order < kClientRetryOrder ? slot_time : 0;
    }
    double to_reject = (1 - admit_ratio) * total;
    // Client retries are rejected first, which leaves a higher ratio to the other requests.
    const double non_retry_ratio = non_retry > 0 ? std::min(1.0, admit_ratio * total / non_retry) : admit_ratio;
    // A low ratio is shared more evenly, or the least urgent ranks would be left with almost nothing.
    const double even_share = std::min(1 - non_retry_ratio, kEvenAdmitRatio + 1 - 2 * non_retry_ratio);
    const double min_share = non_retry_ratio * std::max(knobs_.min_share, even_share);
    for (auto it = arrivals.slot_time.rbegin(); it != arrivals.slot_time.rend(); ++it) {
        const double rejected = std::min(to_reject, maxRejected(arrivals, min_share, it->first));
        if (it->first == order) {
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
    const auto order = orderOf(request);
    const double slot_time = toSeconds(std::max(bottleneck.cost, kMinCost));
    arrivals.slot_time[order] += slot_time;
    FlowRequest flow_request;
    if (flow_shares_) {
        flow_request = {bottleneck.service, request.rank, request.is_client_retry, request.flow, slot_time, 1,
                        request.fleet_rate};
        flow_shares_->onArrival(now, flow_request);
    }
    if (bottleneck.admit_ratio >= 1) {
        return true;
    }
    const double probability = admitProbability(arrivals, bottleneck.admit_ratio, order);
    // A reserved return was rejected once for its flow's share already.
    const bool has_flow_share = flow_shares_ && !request.is_reserved_return;
    return has_flow_share ? admitsFlow(now, flow_request, probability) : random_.unit() < probability;
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
