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

RelayRetries::RelayRetries(Clock& clock, const decision::CallGraph& graph, decision::RetryLimit limit)
    : clock_(clock), graph_(graph), budget_(limit, clock.now()), relay_count_(limit.window, 1) {}

void RelayRetries::count(const RelayRequest& request) {
    if (request.is_counted) {
        counted_elsewhere_ += request.is_retry ? 0 : 1;
    } else if (!request.is_retry) {
        budget_.onFirstAttempt(clock_.now(), request.call_context.retry_probability);
    }
}

bool RelayRetries::mayRetry(const RelayRequest& request) {
    return !request.is_retry || request.is_retry_paid || takeFromBudget(request.route);
}

bool RelayRetries::payForRetry(const RelayRequest& request, const RelayResult& result) {
    const bool has_failed = result.outcome != RelayOutcome::kResponded ||
                            (result.response.status == kHttpInternalServerError && !result.failed_downstream);
    const bool is_retried = has_failed && result.was_sent && result.reason != RelayReason::kQuarantined &&
                            retriesAfter(request.retry_policy, result.outcome);
    return is_retried && takeFromBudget(request.route);
}

bool RelayRetries::takeFromBudget(const std::string& route) {
    return budget_.tryRetry(clock_.now(), relayCount(), slackShare(route));
}

/// Each call of a retried run is a retry at the called service, which cannot deny it. The ratio covers these retries
/// there as well; the slack of the caller is divided so that it fits into the slack of the called service.
double RelayRetries::slackShare(const std::string& route) const {
    const double calls = graph_.maxCallsPerRun(route);
    return calls > 0 ? 1 / (kMaxCallingServices * std::max(1.0, calls)) : 1;
}

}  // namespace dewcrank::relay
