#include "src/decision/flow_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dewcrank::decision {

namespace {

/// Weight of one request in the mean slot time of its flow.
constexpr double kSlotTimeWeight = 0.1;
/// Standard errors by which a node's own count of a flow must exceed the fleet-wide rate to replace it.
constexpr double kStandardErrors = 2;
/// Requests per second at this node that the mean mix of a group counts for in the mix of one flow.
constexpr double kPriorRate = 0.2;
/// Slot time that was admitted too much or too little is made up for in the time of this many requests, within limits:
/// in less, chance alone would move the level; in more, the total would be off while a sudden burst is learned.
constexpr double kDebtRequests = 20;
constexpr double kMinDebtSeconds = 0.5;
constexpr double kMaxDebtSeconds = 3;
/// The correction for it changes the admitted share by this at most.
constexpr double kMaxCorrection = 0.5;
/// Halvings of the interval in which the level lies: to a millionth of the largest rate.
constexpr int kLevelSteps = 20;

/// Slot time that arrives of one flow, and what its probability depends on.
struct Arriving {
    double slot_time = 0;
    double rate_by_weight = 0;
};

/// @return the average over a longer time, within one standard error of the average over a shorter one.
/// @param one_request   what one request adds to the latter.
double withinError(double longer, double shorter, double one_request) {
    const double error = std::sqrt(shorter * one_request);
    return std::clamp(longer, shorter - error, shorter + error + one_request);
}

}  // namespace

void FlowShares::evictLeastRecent() {
    const auto& last = recency_.back();
    if (const auto group = groups_.find(last.group); group != groups_.end()) {
        group->second.flows.erase(last.flow);
        if (group->second.flows.empty()) {
            groups_.erase(group);
        }
    }
    if (const auto total = totals_.find(last.flow); total != totals_.end() && --total->second.groups == 0) {
        totals_.erase(total);
    }
    recency_.pop_back();
}

FlowShares::Flow& FlowShares::flowOf(const FlowRequest& request) {
    const GroupId id{request.service, request.rank};
    if (const auto group = groups_.find(id); group != groups_.end()) {
        if (const auto found = group->second.flows.find(request.flow); found != group->second.flows.end()) {
            recency_.splice(recency_.begin(), recency_, found->second.recency);
            return found->second;
        }
    }
    if (recency_.size() >= knobs_.max_flows) {
        evictLeastRecent();
    }
    recency_.push_front({id, request.flow});
    Flow flow(knobs_);
    flow.total = &totals_.try_emplace(request.flow, FlowTotal{DecayingRate(knobs_.long_rate_time)}).first->second;
    ++flow.total->groups;
    flow.recency = recency_.begin();
    return groups_[id].flows.emplace(request.flow, flow).first->second;
}

void FlowShares::onArrival(TimePoint now, const FlowRequest& request) {
    since_ = since_.value_or(now);
    auto& flow = flowOf(request);
    (request.is_client_retry ? flow.client_retries : flow.first_attempts).add(now, request.slot_time);
    flow.long_term.add(now, request.slot_time);
    flow.longest_term.add(now, request.slot_time);
    flow.requests.add(now, 1);
    flow.total->requests.add(now, 1);
    flow.mean_slot_time = flow.mean_slot_time == 0
                              ? request.slot_time
                              : flow.mean_slot_time + kSlotTimeWeight * (request.slot_time - flow.mean_slot_time);
    flow.weight = request.weight;
    if (request.fleet_rate && request.fleet_rate->per_s > 0) {
        flow.fleet_per_s = request.fleet_rate->per_s;
        flow.fleet_rate_at = now - request.fleet_rate->age;
    }
}

bool FlowShares::hasFleetRate(TimePoint now, const Flow& flow) const {
    return flow.fleet_rate_at && now - *flow.fleet_rate_at <= knobs_.max_fleet_rate_age;
}

double FlowShares::recentRate(TimePoint now, const Flow& flow) {
    return flow.first_attempts.perSecond(now) + flow.client_retries.perSecond(now);
}

/// @return slot time per second, averaged over a time constant; never below one request, as the next one will be
/// counted. It is corrected for the time before the first request at this node, which the time constant includes at
/// first.
double FlowShares::averageRate(TimePoint now, const Flow& flow, const DecayingRate& average, Duration time) const {
    const double observed = toSeconds(std::max(now - *since_, knobs_.rate_time));
    const double rate = average.perSecond(now) / (1 - std::exp(-observed / toSeconds(time)));
    return std::max(rate, flow.mean_slot_time / toSeconds(time));
}

/// @return slot time per second that this node has seen. Where the recent requests are few, it is averaged over the
/// longest time whose average the shorter ones make plausible.
double FlowShares::ownRate(TimePoint now, const Flow& flow) const {
    const double long_term = averageRate(now, flow, flow.long_term, knobs_.long_rate_time);
    const double longest_term = averageRate(now, flow, flow.longest_term, knobs_.longest_rate_time);
    const double average = withinError(longest_term, long_term, flow.mean_slot_time / toSeconds(knobs_.long_rate_time));
    return withinError(average, recentRate(now, flow), flow.mean_slot_time / toSeconds(knobs_.rate_time));
}

/// @return the share of the flow's requests that belong to the group. The fleet-wide rate is that of all of them.
double FlowShares::mixOf(TimePoint now, const Group& group, const Flow& flow) {
    return (flow.requests.perSecond(now) + kPriorRate * group.mean_mix) /
           (flow.total->requests.perSecond(now) + kPriorRate);
}

/// @return slot time per second that the flow needs over all nodes.
double FlowShares::fleetSlotTime(TimePoint now, const Group& group, const Flow& flow) {
    return flow.fleet_per_s * flow.mean_slot_time * mixOf(now, group, flow);
}

/// @return slot time per second, as this node's part of it is estimated.
double FlowShares::rateOf(TimePoint now, const Group& group, const Flow& flow) const {
    if (group.node_part <= 0 || !hasFleetRate(now, flow)) {
        return ownRate(now, flow);
    }
    const double recent = recentRate(now, flow);
    const double one_request = flow.mean_slot_time / toSeconds(knobs_.rate_time);
    const double certain = recent - kStandardErrors * std::sqrt(recent * one_request);
    return std::max(certain, group.node_part * fleetSlotTime(now, group, flow));
}

double FlowShares::probabilityOf(const Flow& flow, double rate, double level, double rank_probability) const {
    const double share = rate <= level * flow.weight ? 1 : level * flow.weight / rate;
    return std::max(knobs_.min_share * rank_probability, share);
}

/// The part is that of all flows with a fleet-wide rate, as a single flow may enter at some nodes only.
void FlowShares::updateNodePart(TimePoint now, Group* group) const {
    double in_group = 0;
    double in_all = 0;
    for (const auto& [name, flow] : group->flows) {
        in_group += flow.requests.perSecond(now);
        in_all += flow.total->requests.perSecond(now);
    }
    group->mean_mix = in_all > 0 ? in_group / in_all : 1;
    double seen = 0;
    double fleet = 0;
    for (const auto& [name, flow] : group->flows) {
        if (hasFleetRate(now, flow)) {
            seen += recentRate(now, flow);
            fleet += fleetSlotTime(now, *group, flow);
        }
    }
    group->node_part = fleet > 0 ? seen / fleet : 0;
}

void FlowShares::updateLevel(TimePoint now, Group* group, bool is_client_retry, double rank_probability) const {
    updateNodePart(now, group);
    auto& level = is_client_retry ? group->client_retries : group->first_attempts;
    level.computed_at = now;
    double total = 0;
    double highest = 0;
    double requests = 0;
    std::vector<Arriving> arriving;
    arriving.reserve(group->flows.size());
    for (const auto& [name, flow] : group->flows) {
        const double slot_time = (is_client_retry ? flow.client_retries : flow.first_attempts).perSecond(now);
        const double rate = rateOf(now, *group, flow) / flow.weight;
        arriving.push_back({slot_time, rate});
        total += slot_time;
        requests += flow.requests.perSecond(now);
        highest = std::max(highest, rate);
    }
    const double debt_seconds =
        requests > 0 ? std::clamp(kDebtRequests / requests, kMinDebtSeconds, kMaxDebtSeconds) : kMaxDebtSeconds;
    const double max_debt = kMaxCorrection * total * debt_seconds;
    level.debt = std::clamp(level.debt, -max_debt, max_debt);
    const double admitted = rank_probability * total + level.debt / debt_seconds;
    const double least = knobs_.min_share * rank_probability;
    double low = 0;
    double high = highest;
    for (int step = 0; step < kLevelSteps; ++step) {
        const double middle = (low + high) / 2;
        double sum = 0;
        for (const auto& it : arriving) {
            const double share = it.rate_by_weight <= middle ? 1 : middle / it.rate_by_weight;
            sum += it.slot_time * std::max(least, share);
        }
        (sum < admitted ? low : high) = middle;
    }
    level.value = high;
}

FlowShare FlowShares::shareOf(TimePoint now, const FlowRequest& request, double rank_probability) {
    auto& group = groups_.at({request.service, request.rank});
    const auto& flow = group.flows.at(request.flow);
    auto& level = request.is_client_retry ? group.client_retries : group.first_attempts;
    FlowShare share;
    if (rank_probability <= 0 || rank_probability >= 1) {
        level.debt = 0;
        share.probability = rank_probability;
        return share;
    }
    if (!level.computed_at || now - *level.computed_at >= knobs_.level_interval) {
        updateLevel(now, &group, request.is_client_retry, rank_probability);
    }
    share.rate = rateOf(now, group, flow);
    share.level = level.value;
    share.probability = probabilityOf(flow, share.rate, level.value, rank_probability);
    if (hasFleetRate(now, flow)) {
        share.fleet_rate_age = now - *flow.fleet_rate_at;
    }
    level.debt += request.slot_time * (rank_probability - share.probability);
    return share;
}

}  // namespace dewcrank::decision
