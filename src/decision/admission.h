/// @file
/// Overload admission at the entry: rejects requests before their first hop, by the admission ratio (share of
/// requests to admit) of the bottleneck service of their route. Like DAGOR (Zhou et al., SoCC 2018), it applies
/// upstream what an overloaded service reports about its load.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/base/overload_features.h"
#include "src/base/time.h"
#include "src/decision/bottleneck_view.h"
#include "src/decision/flow_shares.h"
#include "src/ports/random_source.h"

namespace dewcrank::decision {

/// Constants of the admission.
struct AdmissionKnobs {
    double min_share = 0.3;  ///< Share of the admission ratio that each rank of first attempts keeps at least.
};

/// A request that asks for admission.
struct AdmissionRequest {
    std::uint32_t rank = 0;           ///< The request's `policy::rankOf`; 0 is rejected last.
    bool is_client_retry = false;     ///< Rejected before all first attempts, so that retrying gains a client nothing.
    bool is_reserved_return = false;  ///< The client has waited as told: rejected after first attempts of its rank.
    std::string flow = {};            ///< The tenant, or the route for callers without one; see `FlowShares`.
    std::optional<FleetRate> fleet_rate = std::nullopt;  ///< Of the flow, if known.
};

/// A request that was rejected for its flow's share; the probability of its rank would have admitted it.
struct FlowRejection {
    std::string service;  ///< The bottleneck.
    std::string flow;
    FlowShare share;
};

/// Admits or rejects each request by its rank and by the admission ratio of its bottleneck service.
class Admission {
public:
    Admission(RandomSource& random, AdmissionKnobs knobs, const OverloadFeatures& features = {});

    /// Counts a request and decides whether it is admitted.
    /// @param bottleneck   bottleneck of the request's route; without a known one the request is admitted.
    /// @return true if the request is admitted.
    bool admits(TimePoint now, const Bottleneck& bottleneck, const AdmissionRequest& request);
    /// Emitted for each request that is rejected for its flow's share.
    sigc::signal<void(const FlowRejection&)>& signalFlowRejected() { return signal_flow_rejected_; }

private:
    /// Slot time in seconds that arriving requests need at one bottleneck; decays exponentially.
    struct Arrivals {
        TimePoint decayed_at{};
        std::map<std::uint32_t, double> slot_time;  ///< By `orderOf`.
    };
    /// @return the order of rejection: requests with the highest one are rejected first.
    static std::uint32_t orderOf(const AdmissionRequest& request);
    static void decay(TimePoint now, Arrivals* arrivals);
    [[nodiscard]] static double maxRejected(const Arrivals& arrivals, double min_share, std::uint32_t order);
    [[nodiscard]] double admitProbability(const Arrivals& arrivals, double admit_ratio, std::uint32_t order) const;
    bool admitsFlow(TimePoint now, const FlowRequest& request, double rank_probability);

    RandomSource& random_;
    AdmissionKnobs knobs_;
    std::map<std::string, Arrivals> arrivals_;  ///< By bottleneck service.
    std::optional<FlowShares> flow_shares_;     ///< Nothing if the feature is off.
    sigc::signal<void(const FlowRejection&)> signal_flow_rejected_;
};

}  // namespace dewcrank::decision
