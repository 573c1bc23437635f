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
      began_(services.clock.now()) {}

EntryCall::~EntryCall() {
    stopAttempt();
}

void EntryCall::refuse(const char* reason) {
    is_overload_ = true;
    giveUp(reason, false);
}

void EntryCall::start() {
    deadline_timer_ = services_.clock.startTimer(remaining(), [this] { onDeadline(); });
    sendToNext();
}

void EntryCall::sendToNext() {
    if (remaining() < services_.knobs.least_remaining) {
        giveUp("deadline", may_have_run_);
        return;
    }
    const auto target = services_.selector.choose(plan_.service, tried_);
    const bool has_asked_in_vain = tried_.empty() || has_met_stopping_only_;
    if (target.node.empty() && has_asked_in_vain && !has_awaited_) {
        awaitInstance();
        return;
    }
    if (target.node.empty()) {
        giveUp(tried_.empty() ? "no-instance" : "no-other-instance", false);
        return;
    }
    sendTo(target);
}

void EntryCall::awaitInstance() {
    has_awaited_ = true;
    tried_.clear();  // Those that were stopping may be the ones that come back.
    const auto objective = std::chrono::milliseconds(plan_.route->objective_ms());
    const auto wait = std::chrono::duration_cast<Duration>(objective * services_.knobs.absent_wait_share);
    absent_timer_ = services_.clock.startTimer(wait, [this] { sendToNext(); });
    on_node_changed_ = services_.directory.signalChanged().connect([this](const std::string&) {
        if (services_.selector.relayCount(plan_.service) > 0) {
            on_node_changed_.disconnect();
            // Not from within the change: what follows may look at the directory.
            absent_timer_ = services_.clock.startTimer(Duration::zero(), [this] { sendToNext(); });
        }
    });
}

/// Nothing is repeated while what runs below is overloaded, so that no relay has to pay for it.
relay::RetryPolicy EntryCall::failurePlan() const {
    const bool is_last = offered_ + 1 >= plan_.route->max_attempts();
    if (is_last || services_.is_overloaded(plan_) || !services_.selector.hasReachable(plan_.service, tried_)) {
        return relay::RetryPolicy::kNever;
    }
    return plan_.route->is_repeatable() ? relay::RetryPolicy::kAlways : relay::RetryPolicy::kIfNotRun;
}

relay::RelayRequest EntryCall::relayRequest(const RelayTarget& target) const {
    const auto objective = std::chrono::milliseconds(plan_.route->objective_ms());
    const auto share = std::chrono::duration_cast<Duration>(objective * services_.knobs.longest_wait_share);
    relay::RelayRequest request;
    request.request = plan_.request;
    request.instance = target.instance;
    request.is_retry = offered_ > 0;
    request.is_retry_paid = is_repeat_paid_;
    request.retry_policy = failurePlan();
    request.is_counted = is_counted_;
    request.is_suspect = is_suspect_;
    request.is_only_candidate = target.is_stopping;
    request.is_last_candidate =
        refusals_ + 1 >= services_.knobs.most_refusals || tried_.size() >= services_.selector.relayCount(plan_.service);
    request.route = plan_.route->name();
    request.priority = plan_.priority;
    request.deadline = plan_.deadline - services_.knobs.relay_margin;
    request.max_wait = share;
    request.call_context = plan_.call_context;
    return request;
}

void EntryCall::sendTo(const RelayTarget& target) {
    on_node_changed_.disconnect();
    tried_.insert(target.node);
    relay_ = target.node;
    services_.selector.onSent(relay_);
    auto request = relayRequest(target);
    if (target.node == services_.directory.self().name()) {
        own_ = services_.own_relay.start(std::move(request),
                                         [this](relay::RelayResult result) { onResult(std::move(result)); });
        return;
    }
    services_.failure_detector.onCallSent(relay_);
    sent_ = services_.clock.now();
    const relay::RelayPeer self{services_.directory.self().name(), services_.table.version()};
    attempt_ =
        services_.nodes.send(target.address, relay::toHttp(std::move(request), self, services_.clock.now()),
                             remaining() + 1s, [this](AttemptResult result) { onRelayAnswer(std::move(result)); });
}

void EntryCall::onRelayAnswer(AttemptResult result) {
    if (result.outcome == AttemptOutcome::kResponded) {
        auto received = relay::fromHttp(std::move(result.response));
        const bool is_its_own = received.sender.name.empty() || received.sender.name == relay_;
        if (!is_its_own && !services_.disabled.peer_name_check) {
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

/// Another node has the relay's address now. It has refused the call, which names another instance than its own; what
/// it reports of its load, and of the route, is not the relay's.
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

void EntryCall::onNodeSilent(const std::string& node) {
    const bool runs_there = relay_ == node && attempt_ != nullptr;
    const bool may_repeat = plan_.route->is_repeatable() && offered_ + 1 < plan_.route->max_attempts();
    if (runs_there && may_repeat && services_.selector.hasReachable(plan_.service, tried_)) {
        onRelayLost("silent", true);
    }
}

void EntryCall::onRelayLost(const std::string& reason, bool was_sent) {
    services_.log.write(Event("relay_failed")
                            .with("request", plan_.request.headers.get(services_.names.request_id))
                            .with("peer", relay_)
                            .with("reason", reason)
                            .with("sent", was_sent ? "yes" : "no"));
    relay::RelayResult lost;
    lost.outcome = was_sent ? relay::RelayOutcome::kUnknown : relay::RelayOutcome::kNotRun;
    lost.reason = was_sent ? relay::RelayReason::kRelayLost : relay::RelayReason::kNotConnected;
    lost.was_sent = was_sent;
    onResult(std::move(lost));
}

void EntryCall::onResult(relay::RelayResult result) {
    own_ = 0;
    const auto ended = std::exchange(attempt_, nullptr);
    const auto relay = relayEnded();
    if (result.has_load) {
        services_.selector.onLoad(relay, result.load);
        services_.observe(plan_, relay, result);
    }
    offered_ += result.was_sent ? 1 : 0;
    is_repeat_paid_ = result.is_retry_paid || (is_repeat_paid_ && !result.was_sent);
    is_counted_ = is_counted_ || relay::countsTowardRetryBudget(result.reason);
    is_suspect_ = is_suspect_ || result.reason == relay::RelayReason::kInstanceCrashed;
    is_quarantined_ = result.reason == relay::RelayReason::kQuarantined;
    const bool has_failed = isOwnFailure(result);
    if (result.was_sent && result.outcome != relay::RelayOutcome::kNotRun) {
        services_.selector.onOutcome(relay, has_failed);
    }
    switch (result.outcome) {
        case relay::RelayOutcome::kResponded:
            logAnswered(result, relay);
            if (has_failed && mayRepeatFailure(result)) {
                failure_ = std::move(result.response);
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

/// An instance's 504 says that the time was up, which tells nothing of the instance.
bool EntryCall::isOwnFailure(const relay::RelayResult& result) {
    return result.outcome == relay::RelayOutcome::kUnknown || result.response.status == kHttpInternalServerError;
}

/// Another instance may do better, unless a call below has failed: that was tried elsewhere where it
/// is worth it, and a repeat here would be a repeat of all calls below. Nor while what runs below is
/// overloaded: there a repeated tree would take the room of a new one.
bool EntryCall::mayRepeatFailure(const relay::RelayResult& result) const {
    if (result.failed_downstream) {
        return false;
    }
    const bool has_time = remaining() > services_.clock.now() - began_;
    return plan_.route->is_repeatable() && offered_ < plan_.route->max_attempts() && has_time &&
           !services_.is_overloaded(plan_) && services_.selector.hasReachable(plan_.service, tried_);
}

void EntryCall::onNotRun(const relay::RelayResult& result) {
    is_overload_ = result.reason == relay::RelayReason::kQueueTooLong ||
                   result.reason == relay::RelayReason::kQueueTimeout || result.reason == relay::RelayReason::kSuspect;
    const bool is_first = refusals_ == 0 && offered_ == 0;
    has_met_stopping_only_ = (is_first || has_met_stopping_only_) && result.reason == relay::RelayReason::kStopping;
    const bool is_final =
        is_quarantined_ || result.reason == relay::RelayReason::kRetryBudget ||
        result.reason == relay::RelayReason::kDeadline ||
        (result.reason != relay::RelayReason::kSuperseded && ++refusals_ >= services_.knobs.most_refusals) ||
        offered_ >= plan_.route->max_attempts();
    if (is_final) {
        giveUp(relay::reasonText(result.reason), false);
        return;
    }
    sendToNext();
}

void EntryCall::onUnknown() {
    may_have_run_ = true;
    const bool may_repeat = plan_.route->is_repeatable() || services_.disabled.idempotency_check;
    if (is_quarantined_ || !may_repeat || offered_ >= plan_.route->max_attempts()) {
        giveUp(is_quarantined_ ? "quarantined" : "no-whole-answer", false);
        return;
    }
    sendToNext();
}

void EntryCall::onDeadline() {
    may_have_run_ = may_have_run_ || !relay_.empty();
    if (!relay_.empty()) {
        services_.selector.onOutcome(relay_, true);
    }
    giveUp("timeout", true);
}

void EntryCall::stopAttempt() {
    on_node_changed_.disconnect();
    absent_timer_.reset();
    if (own_ != 0) {
        services_.own_relay.cancel(std::exchange(own_, 0));
    }
    attempt_.reset();
    if (!relay_.empty()) {
        relayEnded();
    }
}

/// @return the relay that had the attempt.
std::string EntryCall::relayEnded() {
    services_.selector.onEnded(relay_);
    services_.failure_detector.onCallEnded(relay_);
    return std::exchange(relay_, "");
}

Duration EntryCall::retryAfter() const {
    const auto& knobs = services_.knobs;
    if (is_quarantined_) {
        return knobs.quarantine_retry_after;
    }
    const auto least = is_overload_ ? knobs.least_overload_retry_after : knobs.least_retry_after;
    const auto most = is_overload_ ? knobs.most_overload_retry_after : knobs.most_retry_after;
    const auto spread = services_.random.below(static_cast<std::uint64_t>((most - least).count()));
    return least + Duration(static_cast<std::int64_t>(spread));
}

void EntryCall::giveUp(const char* reason, bool is_timeout) {
    stopAttempt();
    if (failure_) {
        finish(std::move(*failure_), EntryEnd::kResponded, "none");
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
    logGivenUp(reason, response.status);
    finish(std::move(response), may_have_run_ ? EntryEnd::kUnknown : EntryEnd::kRefused, reason);
}

void EntryCall::logGivenUp(const char* reason, int status) const {
    if (!services_.log.accepts("request_given_up")) {
        return;
    }
    services_.log.write(Event("request_given_up")
                            .with("request", plan_.request.headers.get(services_.names.request_id))
                            .with("route", plan_.route->name())
                            .with("service", plan_.service)
                            .with("reason", reason)
                            .with("status", status)
                            .with("offered", offered_)
                            .with("refusals", refusals_)
                            .with("remaining_ms", toMilliseconds(remaining()))
                            .with("table", services_.table.version()));
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
                            .with("offered", offered_)
                            .with("elapsed_ms", toMilliseconds(services_.clock.now() - began_))
                            .with("table", services_.table.version()));
}

/// The end callback may not destroy this call before it returns.
void EntryCall::finish(HttpResponse response, EntryEnd end, const char* reason) {
    deadline_timer_.reset();
    const int status = response.status;
    reply_(std::move(response));
    end_({end, plan_.route->name(), plan_.service, reason, services_.clock.now() - began_, status});
}

}  // namespace dewcrank::entry
