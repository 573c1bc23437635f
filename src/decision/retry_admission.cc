#include "src/decision/retry_admission.h"

#include <algorithm>
#include <cmath>

namespace dewcrank::decision {

namespace {

/// Arrivals are multiplied by this once per interval: a time constant of two seconds.
constexpr double kArrivalDecay = 0.95;
constexpr Duration kDecayInterval = 100ms;
/// Kinds with fewer requests in the last seconds are removed.
constexpr double kMinRequests = 0.01;
/// Decisions are computed anew this often, which bounds their cost per request.
constexpr Duration kPlanInterval = 20ms;
/// Rounds of the division: each removes the calls of kinds that were cut, which allow retries to the other kinds.
constexpr int kRounds = 3;
/// Retries that the first kind may request for each one that is expected to be granted. Relays deny what their budgets
/// do not allow, and exactly the expected number would leave retries unused whenever arrivals vary. The requests of the
/// other kinds would take retries from more urgent ones.
constexpr double kRequestedPerGranted = 1.5;
/// Added to the rank of client retries, so that they rank after all first attempts, as in `Admission`.
constexpr std::uint32_t kClientRetryRank = 1000;

double acceptedShare(const Bottleneck& bottleneck) {
    return 1 / (1 + bottleneck.retries_per_call);
}

}  // namespace

double RetryAdmission::callCompletion(double accepted_share, double retries_per_call) const {
    const double greatest = 1 - std::pow(1 - accepted_share, knobs_.attempts_per_call);
    return std::min(greatest, accepted_share * (1 + retries_per_call));
}

/// @return retries of one call on average if all are granted, up to the last instance that it may be sent to.
double RetryAdmission::usefulRetries(double accepted_share) const {
    double retries = 0;
    for (int attempt = 1; attempt < knobs_.attempts_per_call; ++attempt) {
        retries += std::pow(1 - accepted_share, attempt);
    }
    return retries;
}

void RetryAdmission::decay(TimePoint now, Arrivals* arrivals) {
    if (now - arrivals->decayed_at < kDecayInterval) {
        return;
    }
    arrivals->decayed_at = now;
    for (auto& [kind, state] : arrivals->kinds) {
        state.requests *= kArrivalDecay;
    }
    std::erase_if(arrivals->kinds, [](const auto& entry) { return entry.second.requests < kMinRequests; });
}

/// Updates what the requests of each kind can expect. One that fails at a call makes no further ones.
void RetryAdmission::updateExpectations(const Bottleneck& bottleneck, Arrivals* arrivals) const {
    const double accepted = acceptedShare(bottleneck);
    const double useful = usefulRetries(accepted);
    for (auto& [kind, state] : arrivals->kinds) {
        const double calls = kind.second;
        const double completion = callCompletion(accepted, state.granted_share * useful);
        state.completion = std::pow(completion, calls);
        state.calls_made = completion < 1 ? (1 - state.completion) / (1 - completion) : calls;
    }
}

/// Grants the retries that the admitted calls allow, in the order of the kinds.
void RetryAdmission::divideRetries(const Bottleneck& bottleneck, Arrivals* arrivals) const {
    double admitted = 0;
    for (const auto& [kind, state] : arrivals->kinds) {
        admitted += state.admittedCalls();
    }
    double left = bottleneck.retry_ratio * bottleneck.retries_per_call * admitted;
    const double useful = usefulRetries(acceptedShare(bottleneck));
    for (auto& [kind, state] : arrivals->kinds) {
        const double needed = useful * state.admittedCalls();
        state.granted_share = needed > 0 ? std::min(1.0, left / needed) : 1;
        left -= state.granted_share * needed;
    }
    updateExpectations(bottleneck, arrivals);
}

void RetryAdmission::plan(const Bottleneck& bottleneck, Arrivals* arrivals) const {
    for (auto& [kind, state] : arrivals->kinds) {
        state.probability = 1;
        state.granted_share = 1;
    }
    updateExpectations(bottleneck, arrivals);
    for (int round = 0; round < kRounds; ++round) {
        divideRetries(bottleneck, arrivals);
        for (auto& [kind, state] : arrivals->kinds) {
            const double share =
                (state.completion - knobs_.min_completion) / (knobs_.full_completion - knobs_.min_completion);
            state.probability = std::clamp(share, knobs_.probe_share, state.probability);
        }
    }
    divideRetries(bottleneck, arrivals);
    double calls = 0;
    double kept = 0;
    for (const auto& [kind, state] : arrivals->kinds) {
        calls += state.requests * kind.second;
        kept += state.probability * state.requests * kind.second;
    }
    arrivals->kept_share = calls > 0 ? kept / calls : 1;
}

RetryDecision RetryAdmission::decide(TimePoint now, const Bottleneck& bottleneck, const AdmissionRequest& request) {
    if (bottleneck.service.empty()) {
        return {};
    }
    auto& arrivals = arrivals_[bottleneck.service];
    decay(now, &arrivals);
    const auto calls = static_cast<std::uint32_t>(std::max(1L, std::lround(bottleneck.calls)));
    const Kind kind(request.rank + (request.is_client_retry ? kClientRetryRank : 0), calls);
    const auto [found, is_new] = arrivals.kinds.try_emplace(kind);
    auto& state = found->second;
    state.requests += 1;
    if (bottleneck.scarce != Resource::kRetries) {
        arrivals.planned_at = {};
        return {};
    }
    if (is_new || now - arrivals.planned_at >= kPlanInterval) {
        arrivals.planned_at = now;
        plan(bottleneck, &arrivals);
    }
    const double requested_per_granted = found == arrivals.kinds.begin() ? kRequestedPerGranted : 1;
    const double requested = std::min(1.0, requested_per_granted * state.granted_share);
    const bool is_admitted = state.probability >= 1 || random_.unit() < state.probability;
    return {is_admitted, state.probability, 1 - requested, arrivals.kept_share};
}

}  // namespace dewcrank::decision
