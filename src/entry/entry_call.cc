#include "src/entry/entry_call.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::entry {

std::string secondsText(Duration duration) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", toSeconds(duration));
    return text;
}

EntryCall::EntryCall(EntryServices& services, EntryPlan plan, ReplyCallback reply, EndCallback end)
    : services_(services),
      plan_(std::move(plan)),
      reply_(std::move(reply)),
      end_(std::move(end)),
      started_(services.clock.now()) {}

EntryCall::~EntryCall() {
    cancelAttempt();
}

void EntryCall::reject(const char* reason) {
    is_overload_ = true;
    is_short_of_capacity_ = true;
    fail(reason, false);
}

void EntryCall::start() {
    deadline_timer_ = services_.clock.startTimer(remaining(), [this] { onDeadline(); });
    sendToNext();
}

void EntryCall::sendToNext() {
    if (remaining() < services_.knobs.min_remaining) {
        fail("deadline", may_have_run_);
        return;
    }
    if (!services_.ends_before_stop(plan_)) {
        fail("stopping", false);
        return;
    }
    const auto target = services_.selector.choose(plan_.service, tried_);
    is_probe_ = target.is_probe;
    const bool has_found_none_running = tried_.empty() || has_met_only_stopping_;
    if (target.node.empty() && has_found_none_running && !has_waited_for_instance_) {
        awaitInstance();
        return;
    }
    if (target.node.empty()) {
        fail(tried_.empty() ? "no-instance" : "no-other-instance", false);
        return;
    }
    sendTo(target);
}

void EntryCall::awaitInstance() {
    has_waited_for_instance_ = true;
    tried_.clear();  // A relay that was stopping may be restarted.
    const auto objective = std::chrono::milliseconds(plan_.route->objective_ms());
    const auto wait = std::chrono::duration_cast<Duration>(objective * services_.knobs.instance_wait_ratio);
    instance_wait_timer_ = services_.clock.startTimer(wait, [this] { sendToNext(); });
    on_node_changed_ = services_.directory.signalChanged().connect([this](const std::string&) {
        if (services_.selector.relayCount(plan_.service) > 0) {
            on_node_changed_.disconnect();
            // Deferred, because the change of the directory is still in progress.
            instance_wait_timer_ = services_.clock.startTimer(Duration::zero(), [this] { sendToNext(); });
        }
    });
}

/// @return when a failure of the next attempt is retried: never while the service or one that it calls is overloaded,
/// so that relays take no retry from their budgets.
relay::RetryPolicy EntryCall::retryPolicy() const {
    const bool is_last = attempts_made_ + 1 >= plan_.route->max_attempts();
    if (is_last || services_.is_overloaded(plan_) || !services_.selector.hasReachableRelay(plan_.service, tried_)) {
        return relay::RetryPolicy::kNever;
    }
    return plan_.route->is_repeatable() ? relay::RetryPolicy::kAlways : relay::RetryPolicy::kIfNotRun;
}

relay::RelayRequest EntryCall::relayRequest(const RelayTarget& target) const {
    const auto objective = std::chrono::milliseconds(plan_.route->objective_ms());
    const auto max_wait = std::chrono::duration_cast<Duration>(objective * services_.knobs.max_queue_wait_ratio);
    relay::RelayRequest request;
    request.request = plan_.request;
    request.instance = target.instance;
    request.instance_start_ms = target.instance_start_ms;
    request.known_rate_limit = target.known_rate_limit;
    request.is_retry = attempts_made_ > 0;
    request.is_retry_paid = is_retry_paid_;
    request.retry_policy = retryPolicy();
    request.is_counted = is_counted_;
    request.is_suspect = is_suspect_;
    request.is_only_candidate = target.is_stopping || target.is_probe;
    request.is_last_candidate = rejections_ + 1 >= services_.knobs.max_rejections ||
                                tried_.size() >= services_.selector.relayCount(plan_.service);
    request.route = plan_.route->name();
    request.priority = plan_.priority;
    request.deadline = plan_.deadline - services_.knobs.relay_deadline_margin;
    request.max_wait = max_wait;
    request.call_context = plan_.call_context;
    return request;
}

void EntryCall::sendTo(const RelayTarget& target) {
    on_node_changed_.disconnect();
    tried_.insert(target.node);
    relay_ = target.node;
    instance_ = target.instance;
    services_.selector.onSent(relay_);
    auto request = relayRequest(target);
    if (target.node == services_.directory.self().name()) {
        local_run_ = services_.own_relay.start(std::move(request),
                                               [this](relay::RelayResult result) { onResult(std::move(result)); });
        return;
    }
    services_.failure_detector.onCallSent(relay_);
    sent_ = services_.clock.now();
    const relay::RelayPeer self{services_.directory.self().name(), services_.table.version()};
    auto message = relay::toHttp(std::move(request), self, services_.clock.now());
    const auto timeout = remaining() + 1s;
    const bool may_run_twice = plan_.route->is_repeatable();
    auto callback = [this](AttemptResult result) { onRelayResponse(std::move(result)); };
    attempt_ = target.is_stopping ? services_.nodes.sendCallToStopping(target.address, std::move(message), timeout,
                                                                       may_run_twice, std::move(callback))
                                  : services_.nodes.sendCall(target.address, std::move(message), timeout, may_run_twice,
                                                             std::move(callback));
}

void EntryCall::onRelayResponse(AttemptResult result) {
    if (result.outcome == AttemptOutcome::kResponded) {
        auto received = relay::fromHttp(std::move(result.response));
        const bool is_from_relay = received.sender.name.empty() || received.sender.name == relay_;
        if (!is_from_relay && !services_.disabled.peer_name_check) {
            onSuperseded(received);
            return;
        }
        services_.directory.onReached(relay_);
        services_.gossip.onTableVersionSeen(relay_, received.sender.table_version);
        if (received.sender.table_age) {
            services_.lease.onPeerResponse(sent_, *received.sender.table_age, received.sender.table_version,
                                           services_.table.version());
        }
        onResult(std::move(received.result));
        return;
    }
    services_.directory.onUnreachable(relay_);
    onRelayLost(result.reason, result.outcome == AttemptOutcome::kUnknown);
}

/// Another node has the relay's address now. Its load and route report are dropped, since they are not the relay's.
void EntryCall::onSuperseded(const relay::ReceivedResult& received) {
    services_.log.write(Event("node_displaced").with("peer", relay_).with("by", received.sender.name));
    services_.directory.onSuperseded(relay_);
    relay::RelayResult result;
    result.outcome = received.result.outcome == relay::RelayOutcome::kNotRun ? relay::RelayOutcome::kNotRun
                                                                             : relay::RelayOutcome::kUnknown;
    result.reason = relay::RelayReason::kSuperseded;
    result.was_sent = result.outcome == relay::RelayOutcome::kUnknown;
    onResult(std::move(result));
}

void EntryCall::onNodeUnresponsive(const std::string& node) {
    const bool runs_there = relay_ == node && attempt_ != nullptr;
    const bool may_retry = plan_.route->is_repeatable() && attempts_made_ + 1 < plan_.route->max_attempts();
    if (runs_there && may_retry && services_.selector.hasReachableRelay(plan_.service, tried_)) {
        onRelayLost("silent", true);
    }
}

void EntryCall::onRelayLost(const std::string& reason, bool was_sent) {
    services_.log.write(Event("relay_failed")
                            .with("request", plan_.request.headers.get(services_.names.request_id))
                            .with("peer", relay_)
                            .with("reason", reason)
                            .with("sent", was_sent ? "yes" : "no")
                            .with("route", plan_.route->name())
                            .with("offered", attempts_made_)
                            .with("remaining_ms", toMilliseconds(remaining()))
                            .with("stopping", stoppingText()));
    relay::RelayResult lost;
    lost.outcome = was_sent ? relay::RelayOutcome::kUnknown : relay::RelayOutcome::kNotRun;
    lost.reason = was_sent ? relay::RelayReason::kRelayLost : relay::RelayReason::kNotConnected;
    lost.was_sent = was_sent;
    onResult(std::move(lost));
}

void EntryCall::onResult(relay::RelayResult result) {
    local_run_ = 0;
    const auto ended = std::exchange(attempt_, nullptr);
    const auto& relay = releaseRelay();
    if (result.has_load) {
        services_.selector.onLoad(relay, result.load);
        services_.on_relay_result(plan_, relay, result);
    }
    if (!services_.disabled.leaving_check) {
        services_.selector.onNotice(instance_, result.notice);
    }
    attempts_made_ += result.was_sent ? 1 : 0;
    is_retry_paid_ = result.is_retry_paid || (is_retry_paid_ && !result.was_sent);
    is_counted_ = is_counted_ || relay::countsTowardRetryBudget(result.reason);
    is_suspect_ = is_suspect_ || result.reason == relay::RelayReason::kInstanceCrashed;
    is_quarantined_ = result.reason == relay::RelayReason::kQuarantined;
    const bool has_failed = isInstanceFailure(result);
    if (result.was_sent && result.outcome != relay::RelayOutcome::kNotRun) {
        services_.selector.onOutcome(relay, has_failed);
    }
    switch (result.outcome) {
        case relay::RelayOutcome::kResponded:
            logAnswered(result, relay);
            if (has_failed && mayRetryFailure(result)) {
                failure_response_ = std::move(result.response);
                sendToNext();
                return;
            }
            finish(std::move(result.response), EntryEnd::kResponded, "none");
            return;
        case relay::RelayOutcome::kNotRun:
            onNotRun(result);
            return;
        case relay::RelayOutcome::kUnknown:
            onUnknown();
    }
}

/// An instance's 504 is no failure of the instance: the time ran out.
bool EntryCall::isInstanceFailure(const relay::RelayResult& result) {
    return result.outcome == relay::RelayOutcome::kUnknown || result.response.status == kHttpInternalServerError;
}

/// No retry if a downstream call caused the failure: that call was already retried, and a retry here would multiply all
/// downstream calls. No retry under overload either: retried call trees would take the capacity of new ones.
bool EntryCall::mayRetryFailure(const relay::RelayResult& result) const {
    if (result.failed_downstream) {
        return false;
    }
    const bool has_time = remaining() > services_.clock.now() - started_;
    return plan_.route->is_repeatable() && attempts_made_ < plan_.route->max_attempts() && has_time &&
           !services_.is_overloaded(plan_) && services_.selector.hasReachableRelay(plan_.service, tried_);
}

/// The instance is still down, or takes no further probe.
void EntryCall::onProbeRejected() {
    if (has_waited_for_instance_) {
        fail("no-instance", false);
    } else {
        awaitInstance();
    }
}

void EntryCall::onNotRun(const relay::RelayResult& result) {
    if (is_probe_ && attempts_made_ == 0 &&
        (result.reason == relay::RelayReason::kDraining || result.reason == relay::RelayReason::kNotConnected)) {
        onProbeRejected();
        return;
    }
    is_short_of_capacity_ =
        result.reason == relay::RelayReason::kQueueTooLong || result.reason == relay::RelayReason::kQueueTimeout;
    is_overload_ = is_short_of_capacity_ || result.reason == relay::RelayReason::kSuspect;
    const bool is_first = rejections_ == 0 && attempts_made_ == 0;
    has_met_only_stopping_ = (is_first || has_met_only_stopping_) && result.reason == relay::RelayReason::kStopping;
    const bool is_final =
        is_quarantined_ || (result.reason == relay::RelayReason::kRetryBudget && !mayAskOtherBudget()) ||
        result.reason == relay::RelayReason::kDeadline ||
        (result.reason != relay::RelayReason::kSuperseded && ++rejections_ >= services_.knobs.max_rejections) ||
        (result.reason == relay::RelayReason::kInstanceRefused && !plan_.may_retry) ||
        attempts_made_ >= plan_.route->max_attempts();
    if (is_final) {
        fail(relay::reasonText(result.reason), false);
        return;
    }
    sendToNext();
}

/// Each relay has its own part of the retry budget: that of another relay may have capacity left. The number of relays
/// is limited, so that a failure of many instances does not multiply the requests to relays.
bool EntryCall::mayAskOtherBudget() {
    return ++budget_denials_ < services_.knobs.max_budget_denials &&
           services_.selector.hasReachableRelay(plan_.service, tried_);
}

void EntryCall::onUnknown() {
    may_have_run_ = true;
    const bool may_retry = plan_.route->is_repeatable() || services_.disabled.idempotency_check;
    if (is_quarantined_ || !may_retry || attempts_made_ >= plan_.route->max_attempts()) {
        fail(is_quarantined_ ? "quarantined" : "no-whole-answer", false);
        return;
    }
    sendToNext();
}

void EntryCall::onDeadline() {
    may_have_run_ = may_have_run_ || !relay_.empty();
    if (!relay_.empty()) {
        services_.selector.onOutcome(relay_, true);
    }
    fail("timeout", true);
}

void EntryCall::cancelAttempt() {
    on_node_changed_.disconnect();
    instance_wait_timer_.reset();
    if (local_run_ != 0) {
        services_.own_relay.cancel(std::exchange(local_run_, 0));
    }
    attempt_.reset();
    if (!relay_.empty()) {
        releaseRelay();
    }
}

/// Ends the accounting of the attempt in progress. @return its relay.
const std::string& EntryCall::releaseRelay() {
    services_.selector.onEnded(relay_);
    services_.failure_detector.onCallEnded(relay_);
    last_relay_ = std::exchange(relay_, {});
    return last_relay_;
}

std::optional<Duration> EntryCall::reservedReturn() const {
    if (!is_short_of_capacity_ || !plan_.may_reserve_return) {
        return std::nullopt;
    }
    return services_.reserve_return(plan_, services_.clock.now() - started_);
}

Duration EntryCall::retryAfter() const {
    const auto& knobs = services_.knobs;
    if (is_quarantined_) {
        return knobs.quarantine_retry_after;
    }
    if (const auto reserved = reservedReturn()) {
        return *reserved;
    }
    const auto min = is_overload_ ? knobs.min_overload_retry_after : knobs.min_retry_after;
    const auto max = is_overload_ ? knobs.max_overload_retry_after : knobs.max_retry_after;
    const auto spread = services_.random.below(static_cast<std::uint64_t>((max - min).count()));
    return min + Duration(static_cast<std::int64_t>(spread));
}

void EntryCall::fail(const char* reason, bool is_timeout) {
    cancelAttempt();
    if (failure_response_) {
        finish(std::move(*failure_response_), EntryEnd::kResponded, "none");
        return;
    }
    HttpResponse response;
    response.headers.set("Content-Type", "text/plain");
    response.body = std::string(reason) + "\n";
    if (may_have_run_ && !services_.disabled.not_executed_check) {
        response.status = is_timeout ? kHttpGatewayTimeout : kHttpBadGateway;
    } else {
        response.status = kHttpServiceUnavailable;
        response.headers.set("Retry-After", secondsText(retryAfter()));
    }
    logFailed(reason, response.status);
    finish(std::move(response), may_have_run_ ? EntryEnd::kUnknown : EntryEnd::kRejected, reason);
}

void EntryCall::logFailed(const char* reason, int status) const {
    if (!services_.log.accepts("request_given_up")) {
        return;
    }
    services_.log.write(Event("request_given_up")
                            .with("request", plan_.request.headers.get(services_.names.request_id))
                            .with("route", plan_.route->name())
                            .with("service", plan_.service)
                            .with("reason", reason)
                            .with("status", status)
                            .with("offered", attempts_made_)
                            .with("refusals", rejections_)
                            .with("remaining_ms", toMilliseconds(remaining()))
                            .with("table", services_.table.version())
                            .with("relay", last_relay_.empty() ? "none" : last_relay_)
                            .with("stopping", stoppingText()));
}

void EntryCall::logAnswered(const relay::RelayResult& result, const std::string& relay) const {
    if (!services_.log.accepts("request_answered")) {
        return;
    }
    services_.log.write(Event("request_answered")
                            .with("request", plan_.request.headers.get(services_.names.request_id))
                            .with("route", plan_.route->name())
                            .with("service", plan_.service)
                            .with("relay", relay)
                            .with("status", result.response.status)
                            .with("offered", attempts_made_)
                            .with("elapsed_ms", toMilliseconds(services_.clock.now() - started_))
                            .with("table", services_.table.version()));
}

const char* EntryCall::stoppingText() const {
    return services_.directory.self().is_stopping() ? "yes" : "no";
}

Event EntryCall::describe(std::string_view name) const {
    const bool is_sent = !relay_.empty();
    return Event(name)
        .with("request", plan_.request.headers.get(services_.names.request_id))
        .with("hop", "entry")
        .with("route", plan_.route->name())
        .with("relay", is_sent ? relay_ : std::string("none"))
        .with("state", is_sent ? "at-work" : "waiting")
        .with("remaining_ms", toMilliseconds(remaining()));
}

/// The end callback must not destroy this call before it returns.
void EntryCall::finish(HttpResponse response, EntryEnd end, const char* reason) {
    deadline_timer_.reset();
    const int status = response.status;
    reply_(std::move(response));
    end_({end, plan_.route->name(), plan_.service, reason, services_.clock.now() - started_, status});
}

}  // namespace dewcrank::entry
