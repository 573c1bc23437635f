#include "src/relay/relay_retries.h"

#include <algorithm>

#include "src/base/http_status.h"

namespace dewcrank::relay {

namespace {

/// Number of services that may call the same service and use their slack at once without exceeding its slack. A relay
/// has no record of the actual number.
constexpr double kMaxCallingServices = 2;

bool retriesAfter(RetryPolicy policy, RelayOutcome outcome) {
    return policy == RetryPolicy::kAlways || (policy == RetryPolicy::kIfNotRun && outcome == RelayOutcome::kNotRun);
}

}  // namespace

RelayRetries::RelayRetries(Clock& clock, const decision::CallGraph& graph, decision::RetryLimit limit,
                           bool measures_demand)
    : clock_(clock),
      graph_(graph),
      budget_(limit, clock.now()),
      measures_demand_(measures_demand),
      relay_count_(limit.window, 1) {}

void RelayRetries::count(const RelayRequest& request) {
    if (request.is_counted) {
        counted_elsewhere_ += request.is_retry ? 0 : 1;
    } else if (!request.is_retry) {
        budget_.onFirstAttempt(clock_.now(), request.call_context.retry_probability);
        demand_.onFirstAttempt(clock_.now(), request.call_context.demand_weight);
    }
}

bool RelayRetries::mayRetry(const RelayRequest& request, bool has_begun) {
    return !request.is_retry || request.is_retry_paid || takeFromBudget(request.route, has_begun);
}

bool RelayRetries::payForRetry(const RelayRequest& request, const RelayResult& result, bool has_begun) {
    const bool has_failed = result.outcome != RelayOutcome::kResponded ||
                            (result.response.status == kHttpInternalServerError && !result.failed_downstream);
    const bool is_retried = has_failed && result.was_sent && result.reason != RelayReason::kQuarantined &&
                            retriesAfter(request.retry_policy, result.outcome);
    return is_retried && takeFromBudget(request.route, has_begun);
}

void RelayRetries::onSentEnded(const RelayResult& result) {
    using Arrival = decision::RetryDemand::Arrival;
    const bool has_response = result.outcome == RelayOutcome::kResponded;
    const bool is_own_failure =
        has_response && result.response.status == kHttpInternalServerError && !result.failed_downstream;
    const auto arrival = result.outcome == RelayOutcome::kNotRun ? Arrival::kRejected
                         : has_response && !is_own_failure       ? Arrival::kAccepted
                                                                 : Arrival::kFailed;
    demand_.onArrivalEnded(clock_.now(), arrival);
}

/// Both values are for the requests before admission, as the slots are in `decision::InstanceDemand`: entries that
/// admit less reduce the first attempts, and with them the capacity, which would reduce the ratio further.
void RelayRetries::addTo(decision::ServiceLoad* load) {
    if (!measures_demand_) {
        return;
    }
    const auto now = clock_.now();
    load->first_attempts = demand_.firstAttemptsPerSecond(now);
    load->retry_demand = load->first_attempts * demand_.retriesPerCall(now);
    load->retry_capacity = budget_.capacityPerSecond(load->first_attempts, relayCount());
}

/// While the instance rejects arrivals, entries admit less, so that earlier first attempts must not allow retries now:
/// a window that begins with the rejections would exceed the limit.
bool RelayRetries::takeFromBudget(const std::string& route, bool has_begun) {
    const auto now = clock_.now();
    decision::RetryShare share{relayCount(), slackShare(route)};
    if (measures_demand_) {
        demand_.onRetryRequested(now, has_begun);
        share.includes_carry_over = !demand_.isRejecting(now);
        share.budget_share = has_begun ? 1 : 1 - demand_.reservedShare(now);
    }
    return budget_.tryRetry(now, share);
}

/// Each call of a retried run is a retry at the called service, which cannot deny it. The ratio covers these retries
/// there as well; the slack of the caller is divided so that it fits into the slack of the called service.
double RelayRetries::slackShare(const std::string& route) const {
    const double calls = graph_.maxCallsPerRun(route);
    return calls > 0 ? 1 / (kMaxCallingServices * std::max(1.0, calls)) : 1;
}

}  // namespace dewcrank::relay
