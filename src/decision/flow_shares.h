/// @file
/// Shares of the callers (flows) in what a bottleneck has room for: weighted max-min fairness within a rank.
#pragma once

#include <cstdint>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <string>

#include "src/base/decaying_rate.h"
#include "src/base/fleet_rate.h"
#include "src/base/time.h"

namespace dewcrank::decision {

struct FlowSharesKnobs {
    std::size_t max_flows = 256;    ///< Flows kept, over all bottlenecks and ranks; the least recently used is evicted.
    Duration rate_time = 2s;        ///< Time constant of the rates; that of the arrivals in `Admission`.
    Duration long_rate_time = 10s;  ///< The same where fewer requests arrive.
    /// The same where a flow sends this node less than about one request a second. In 10 s, chance makes some of the
    /// flows below their share look as large as the fair level.
    Duration longest_rate_time = 40s;
    Duration level_interval = 100ms;   ///< Between two computations of a level: a decision costs the same at any number
                                       ///< of flows.
    Duration max_fleet_rate_age = 5s;  ///< An older fleet-wide rate is ignored.
    double min_share = 0.25;           ///< Of the rank's probability; each flow has it, whatever its rate.
};

/// A request that arrives at its bottleneck's admission.
struct FlowRequest {
    std::string service;                  ///< The bottleneck.
    std::uint32_t rank = 0;               ///< Of first attempts, for client retries too.
    bool is_client_retry = false;         ///< Counts towards the flow's rate like a first attempt.
    std::string flow;                     ///< The tenant, or the route for callers without one.
    double slot_time = 0;                 ///< Seconds that the request needs at the bottleneck.
    double weight = 1;                    ///< Of the flow.
    std::optional<FleetRate> fleet_rate;  ///< Of the flow, if known.
};

/// Decision on one request, and what it is based on.
struct FlowShare {
    double probability = 1;
    double rate = 0;   ///< The flow's slot time per second, as this node's part of it is estimated.
    double level = 0;  ///< Slot time per second that a flow of weight 1 is admitted with at most.
    std::optional<Duration> fleet_rate_age;  ///< Nothing if the rate is only what this node has seen.
};

/// Admission probability of each flow, such that all requests of a rank together are admitted as often as the rank.
///
/// A flow is admitted with min(1, level * weight / rate), where the level follows from the mean of this over the slot
/// time that arrives here. The rate is the greater of the fleet-wide one, in proportion to this node's part of the
/// traffic, and of what this node has seen beyond doubt: a node that receives few requests of each flow cannot tell a
/// large flow from a small one itself. The level compensates for errors of the rates, which it learns from the
/// probabilities that were applied.
class FlowShares {
public:
    explicit FlowShares(FlowSharesKnobs knobs) : knobs_(knobs) {}

    /// Counts a request. Requests that are not limited count too, so that rates are known when an overload begins.
    void onArrival(TimePoint now, const FlowRequest& request);
    /// @param rank_probability share of all requests of the rank to admit, of the same kind (first attempts or client
    ///                         retries).
    /// @return the share of the flow. Call it after `onArrival` with the same request.
    FlowShare shareOf(TimePoint now, const FlowRequest& request, double rank_probability);
    [[nodiscard]] std::size_t flowCount() const { return recency_.size(); }

private:
    struct GroupId {
        std::string service;
        std::uint32_t rank = 0;
        auto operator<=>(const GroupId&) const = default;
    };
    struct FlowId {
        GroupId group;
        std::string flow;
    };
    /// A flow's requests at this node, at all bottlenecks and ranks.
    struct FlowTotal {
        DecayingRate requests;
        std::size_t groups = 0;  ///< In which the flow is kept.
    };
    /// A flow in one group.
    struct Flow {
        explicit Flow(const FlowSharesKnobs& knobs)
            : first_attempts(knobs.rate_time),
              client_retries(knobs.rate_time),
              long_term(knobs.long_rate_time),
              longest_term(knobs.longest_rate_time),
              requests(knobs.long_rate_time) {}
        DecayingRate first_attempts;  ///< Slot time per second.
        DecayingRate client_retries;
        DecayingRate long_term;     ///< Both.
        DecayingRate longest_term;  ///< Both.
        DecayingRate requests;      ///< Their number.
        FlowTotal* total = nullptr;
        double mean_slot_time = 0;  ///< Of one request.
        double weight = 1;
        double fleet_per_s = 0;
        std::optional<TimePoint> fleet_rate_at;
        std::list<FlowId>::iterator recency;
    };
    /// Level of first attempts or of client retries.
    struct Level {
        double value = std::numeric_limits<double>::infinity();
        double debt = 0;  ///< Slot time that was admitted too little (positive) or too much.
        std::optional<TimePoint> computed_at;
    };
    /// Flows of one rank at one bottleneck.
    struct Group {
        std::map<std::string, Flow> flows;
        double mean_mix = 1;   ///< Share of its flows' requests at this node that belong to the group.
        double node_part = 0;  ///< This node's part of the fleet-wide rates; 0: unknown.
        Level first_attempts;
        Level client_retries;
    };
    Flow& flowOf(const FlowRequest& request);
    void evictLeastRecent();
    [[nodiscard]] bool hasFleetRate(TimePoint now, const Flow& flow) const;
    [[nodiscard]] static double recentRate(TimePoint now, const Flow& flow);
    [[nodiscard]] double averageRate(TimePoint now, const Flow& flow, const DecayingRate& average, Duration time) const;
    [[nodiscard]] double ownRate(TimePoint now, const Flow& flow) const;
    [[nodiscard]] static double mixOf(TimePoint now, const Group& group, const Flow& flow);
    [[nodiscard]] static double fleetSlotTime(TimePoint now, const Group& group, const Flow& flow);
    [[nodiscard]] double rateOf(TimePoint now, const Group& group, const Flow& flow) const;
    [[nodiscard]] double probabilityOf(const Flow& flow, double rate, double level, double rank_probability) const;
    void updateNodePart(TimePoint now, Group* group) const;
    void updateLevel(TimePoint now, Group* group, bool is_client_retry, double rank_probability) const;

    FlowSharesKnobs knobs_;
    std::map<GroupId, Group> groups_;
    std::map<std::string, FlowTotal> totals_;  ///< By flow.
    std::optional<TimePoint> since_;           ///< First request that was counted.
    std::list<FlowId> recency_;                ///< All flows, the most recently used first.
};

}  // namespace dewcrank::decision
