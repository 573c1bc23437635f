#include "src/relay/relay_repeats.h"

#include <algorithm>

#include "src/base/http_status.h"

namespace dewcrank::relay {

namespace {

/// So many services that call the same one may all spend their slack at once without exceeding its own. How
/// many there are is not known to a relay; in the deployments that were looked at, up to two.
constexpr double kCallersOfService = 2;

bool isRepeated(FailurePlan plan, RelayOutcome outcome) {
    return plan == FailurePlan::kRepeat || (plan == FailurePlan::kRepeatIfNotRun && outcome == RelayOutcome::kNotRun);
}

}  // namespace

RelayRepeats::RelayRepeats(Clock& clock, const decision::CallGraph& graph, decision::RepeatBound bound)
    : clock_(clock), graph_(graph), budget_(bound, clock.now()), relay_count_(bound.window, 1) {}

void RelayRepeats::count(const RelayRequest& request) {
    if (request.is_counted) {
        counted_before_ += request.is_repeat ? 0 : 1;
    } else if (!request.is_repeat) {
        budget_.onFirst(clock_.now(), request.lineage.repeat_share);
    }
}

bool RelayRepeats::mayRepeat(const RelayRequest& request) {
    return !request.is_repeat || request.is_repeat_paid || tryRepeat(request.route);
}

bool RelayRepeats::paysRepeat(const RelayRequest& request, const RelayResult& result) {
    const bool has_failed = result.outcome != RelayOutcome::kResponded ||
                            (result.response.status == kHttpInternalServerError && !result.failed_below);
    const bool is_repeated = has_failed && result.was_offered && result.reason != RelayReason::kQuarantined &&
                             isRepeated(request.failure_plan, result.outcome);
    return is_repeated && tryRepeat(request.route);
}

bool RelayRepeats::tryRepeat(const std::string& route) {
    return budget_.tryRepeat(clock_.now(), sharers(), slackShareOf(route));
}

/// Each call of a repeated run is a repeat at the service that it goes to, where it cannot be denied. The ratio
/// covers them there as well; the slack above is divided so that it fits into the slack below.
double RelayRepeats::slackShareOf(const std::string& route) const {
    const double calls = graph_.mostCalls(route);
    return calls > 0 ? 1 / (kCallersOfService * std::max(1.0, calls)) : 1;
}

}  // namespace dewcrank::relay
