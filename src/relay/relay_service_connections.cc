/// @file
/// The part of RelayService that handles connections which cannot be opened, and an instance whose state is unknown.
#include <algorithm>
#include <utility>

#include "src/relay/relay_service.h"

namespace dewcrank::relay {

namespace {

/// A call whose connections have failed this often is rejected, so that its entry tries another relay.
constexpr int kMaxConnectionFailures = 4;

}  // namespace

/// Only calls that no other relay can accept are put at the risk of a probe.
bool RelayService::canProbe(const Call& call) const {
    return call.request.is_only_candidate && instance_.isUnknown() && instance_.record().id() == call.request.instance;
}

/// Demand for an instance that is down is reported if no other relay can accept the request.
void RelayService::countRejected(Call* call) {
    const auto& request = call->request;
    const bool is_last = request.is_last_candidate || request.is_only_candidate;
    if (is_last && instance_.isUnknown() && instance_.record().id() == request.instance) {
        call->counted = demand_.onArrival(clock_.now(), request.route, request.call_context.demand_weight);
    }
}

/// The request was not sent. It waits for a connection that becomes free, unless the instance counts as unreachable.
void RelayService::onConnectionFailed(CallId id, AttemptResult result) {
    if (isConnectionRefused(result)) {
        crash_detector_.onConnectionRefused();
    }
    auto& call = *calls_[id];
    call.attempt.reset();
    const bool is_current = call.incarnation == instance::incarnationName(instance_.record());
    if (is_current) {
        connections_.onConnectionFailed({call.sent_at, result.reason == kTimedOut});
    }
    const bool may_wait = is_current && instance_.isReady() && accepts(call) && result.unsent &&
                          ++call.connection_failures < kMaxConnectionFailures;
    if (may_wait) {
        returnToQueue(id, std::move(*result.unsent));
    } else {
        finish(id, resultOf(call, std::move(result)));
    }
}

/// The call keeps its place and its time limits, and counts neither as an attempt nor as a further arrival.
void RelayService::returnToQueue(CallId id, HttpRequest request) {
    auto& call = *calls_[id];
    call.request.request = std::move(request);
    runs_.onEnded(id);
    onRunEnded(call, false);
    call.run = 0;
    call.sent_at = {};
    call.is_admitted = false;
    queue_.onNotSent();
    queue_.leave(Duration::zero());
    demand_.onRunning(clock_.now(), queue_.load().running);
    call.ticket = queue_.enter(call.queue_request,
                               [this, id](InstanceQueue::Decision decision) { onQueueDecision(id, decision); });
}

/// Rejects the calls that wait because their connections failed: the instance has turned out to be down.
void RelayService::rejectUnconnected() {
    for (const auto& [id, call] : calls_) {
        if (call->ticket != 0 && call->connection_failures > 0) {
            queue_.cancel(std::exchange(call->ticket, 0));
            rejectLater(id, RelayReason::kNotConnected);
        }
    }
}

std::size_t RelayService::runCount() const {
    const auto attempts =
        std::count_if(calls_.begin(), calls_.end(), [](const auto& it) { return it.second->attempt != nullptr; });
    const auto lost = std::count_if(lost_attempts_.begin(), lost_attempts_.end(),
                                    [this](const auto& it) { return calls_.contains(it.id); });
    return static_cast<std::size_t>(attempts - lost);
}

/// Only a valid response of the current incarnation shows that it is up.
void RelayService::onInstanceResponded(const Call& call, ResponseKind kind) {
    const bool is_current = call.incarnation == instance::incarnationName(instance_.record());
    if (!is_current || kind == ResponseKind::kMisdirected || kind == ResponseKind::kInvalid) {
        instance_.onResponse();
        return;
    }
    instance_.onReachable();
    connections_.onResponse();
}

}  // namespace dewcrank::relay
