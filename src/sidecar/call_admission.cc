#include "src/sidecar/call_admission.h"

#include <algorithm>
#include <utility>

namespace dewcrank::sidecar {

namespace {

/// Bounds the demand weight of a request, which is the inverse of the admission ratio.
constexpr double kMinAdmitRatio = 0.02;

/// @return the name of the flow that a call belongs to; tenants and routes may have equal names.
std::string flowOf(const entry::EntryPlan& plan) {
    return plan.tenant.empty() ? "route/" + plan.route->name() : "tenant/" + plan.tenant;
}

}  // namespace

CallAdmission::CallAdmission(CallAdmissionServices services, CallAdmissionKnobs knobs, const OverloadFeatures& features)
    : services_(std::move(services)),
      features_(features),
      admission_(services_.random, knobs.slots, features),
      retry_admission_(services_.random, knobs.retries),
      returns_(services_.random, knobs.returns),
      flow_share_log_(services_.clock, services_.log) {
    admission_.signalFlowRejected().connect(
        [this](const decision::FlowRejection& rejection) { flow_share_log_.onRejected(rejection); });
}

bool CallAdmission::admit(entry::EntryPlan* plan) {
    const auto now = services_.clock.now();
    const auto& route = plan->route->name();
    const bool is_client_retry = deadlines_.isShortened(now, route, plan->caller_timeout);
    if (services_.bottlenecks.isInternal(route)) {
        plan->call_context = services_.call_graph.onCall(now, route, plan->caller_timeout);
        chooseRetries(plan);
        return true;
    }
    auto bottleneck = services_.bottlenecks.bottleneckOf(now, route);
    if (features_.retry_admission && !admitByRetries(&bottleneck, is_client_retry, plan)) {
        return false;
    }
    const double by_retries = 1 / plan->call_context.demand_weight;
    plan->call_context.demand_weight = 1 / std::max(kMinAdmitRatio, by_retries * bottleneck.admit_ratio);
    return admitBySlots(bottleneck, is_client_retry, plan);
}

/// @param bottleneck   out: its admission ratio applies to the calls that the admission by retries leaves.
bool CallAdmission::admitByRetries(decision::Bottleneck* bottleneck, bool is_client_retry, entry::EntryPlan* plan) {
    const auto now = services_.clock.now();
    const auto decision = retry_admission_.decide(now, *bottleneck, {plan->rank, is_client_retry});
    if (!decision.is_admitted) {
        return false;
    }
    plan->call_context.demand_weight = 1 / decision.probability;
    plan->call_context.no_retry_share = decision.no_retry_share;
    bottleneck->admit_ratio = std::min(1.0, bottleneck->admit_ratio / std::max(kMinAdmitRatio, decision.kept_share));
    chooseRetries(plan);
    return true;
}

bool CallAdmission::admitBySlots(const decision::Bottleneck& bottleneck, bool is_client_retry, entry::EntryPlan* plan) {
    const auto now = services_.clock.now();
    decision::AdmissionRequest request{plan->rank, is_client_retry};
    if (features_.fair_shares) {
        request.flow = flowOf(*plan);
        request.fleet_rate = services_.fleet_rate(plan->tenant);
    }
    if (!features_.return_priority || bottleneck.service.empty()) {
        return admission_.admits(now, bottleneck, request);
    }
    plan->since_first =
        is_client_retry ? deadlines_.usual(plan->route->name()) - plan->caller_timeout : Duration::zero();
    const auto decision = decision::admitReturn(now, bottleneck, request, plan->since_first, &admission_, &returns_);
    plan->may_reserve_return = decision.may_reserve;
    return decision.is_admitted;
}

/// Decides whether the call may be retried, by the share of retries that admission has granted to its request.
void CallAdmission::chooseRetries(entry::EntryPlan* plan) {
    const double share = plan->call_context.no_retry_share;
    plan->may_retry = share <= 0 || services_.random.unit() >= share;
}

/// Where retries are scarce, admission has kept some of them for the requests that it admitted.
bool CallAdmission::isOverloaded(const entry::EntryPlan& plan) const {
    const auto bottleneck = services_.bottlenecks.bottleneckOf(services_.clock.now(), plan.route->name());
    return bottleneck.scarce == decision::Resource::kRetries ? !plan.may_retry
                                                             : bottleneck.admit_ratio < decision::kMinNormalAdmitRatio;
}

/// The bottleneck is the current one: at the end of a long wait in a queue it may be another than at admission.
std::optional<Duration> CallAdmission::reserveReturn(const entry::EntryPlan& plan, Duration elapsed) {
    const auto now = services_.clock.now();
    const auto bottleneck = services_.bottlenecks.bottleneckOf(now, plan.route->name());
    if (bottleneck.service.empty()) {
        return std::nullopt;
    }
    return returns_.reserve(now, bottleneck.service, {plan.rank, plan.since_first + elapsed, plan.deadline - now});
}

}  // namespace dewcrank::sidecar
