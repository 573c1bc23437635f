#include "src/relay/relay_retries.h"

#include <algorithm>

#include "src/base/http_status.h"

namespace dewcrank::relay {

namespace {

/// So many services that call the same one may all spend their slack at once without exceeding its own. How
/// many there are is not known to a relay; in the deployments that were looked at, up to two.
constexpr double kCallersOfService = 2;

bool isRepeated(RetryPolicy plan, RelayOutcome outcome) {
    return plan == RetryPolicy::kAlways || (plan == RetryPolicy::kIfNotRun && outcome == RelayOutcome::kNotRun);
}

}  // namespace

RelayRetries::RelayRetries(Clock& clock, const decision::CallGraph& graph, decision::RepeatBound bound)
    : clock_(clock), graph_(graph), budget_(bound, clock.now()), relay_count_(bound.window, 1) {}

void RelayRetries::count(const RelayRequest& request) {
    if (request.is_counted) {
        counted_before_ += request.is_retry ? 0 : 1;
    } else if (!request.is_retry) {
        budget_.onFirst(clock_.now(), request.lineage.repeat_share);
    }
}

bool RelayRetries::mayRepeat(const RelayRequest& request) {
    return !request.is_retry || request.is_retry_paid || tryRepeat(request.route);
}

bool RelayRetries::paysRepeat(const RelayRequest& request, const RelayResult& result) {
    const bool has_failed = result.outcome != RelayOutcome::kAnswered ||
                            (result.answer.status == kHttpInternalServerError && !result.failed_downstream);
    const bool is_repeated = has_failed && result.was_sent && result.reason != RelayReason::kQuarantined &&
                             isRepeated(request.retry_policy, result.outcome);
    return is_repeated && tryRepeat(request.route);
}

bool RelayRetries::tryRepeat(const std::string& route) {
    return budget_.tryRepeat(clock_.now(), sharers(), slackShareOf(route));
}

/// Each call of a repeated run is a repeat at the service that it goes to, where it cannot be denied. The ratio
/// covers them there as well; the slack above is divided so that it fits into the slack below.
double RelayRetries::slackShareOf(const std::string& route) const {
    const double calls = graph_.mostCalls(route);
    return calls > 0 ? 1 / (kCallersOfService * std::max(1.0, calls)) : 1;
}

}  // namespace dewcrank::relay
