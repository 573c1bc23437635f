#include "src/relay/relay_service.h"

#include <algorithm>
#include <utility>

#include "src/base/http_status.h"
#include "src/relay/response_kind.h"

namespace dewcrank::relay {

namespace {

constexpr double kMinCapacity = 1e-3;  ///< Slots; avoids a division by zero.
/// Calls that may run at an instance whose state is unknown, to find out whether it is up.
constexpr std::size_t kMaxProbes = 2;
/// Share of the demand that is reported as the capacity of an instance whose state is unknown: entries admit enough
/// requests for its return to be noticed.
constexpr double kProbeShare = 0.05;
/// An instance that is out of time says so itself at the deadline that it was handed, and the entry cancels the call at
/// its own deadline, which is a little later. After this time beyond the deadline, neither is awaited any more.
constexpr Duration kEndGrace = 100ms;

}  // namespace

RelayService::RelayService(Clock& clock, EventLog& log, HttpTransport& instances, instance::LocalInstance& instance,
                           quarantine::Quarantine& quarantine, const HeaderNames& names, std::string instance_address,
                           InternalRouteDetector::HostShare host_share, RelayKnobs knobs)
    : clock_(clock),
      log_(log),
      instances_(clock, instances),
      instance_(instance),
      quarantine_(quarantine),
      names_(names),
      instance_address_(std::move(instance_address)),
      knobs_(knobs),
      queue_(clock, knobs.queue),
      trials_(clock, knobs.trials, knobs.trial_gate),
      crash_detector_(clock, instances, instance_address_, knobs.crash_detector),
      connections_(clock, log, instances, instance, queue_, instance_address_, [this] { return runCount(); }),
      runs_(clock, log, quarantine),
      signals_(clock, log, instance, queue_, names, knobs.disabled),
      route_detector_(clock, std::move(host_share)),
      demand_(knobs.demand),
      call_graph_(knobs.call_graph),
      retries_(clock, call_graph_, knobs.retry_limit, knobs.retry_admission) {
    instance_.signalChanged().connect([this] { onInstanceChanged(); });
    crash_detector_.signalProbing().connect([this] { queue_.onSentBeside(); });
    signals_.signalRateLimitChanged().connect([this] { demand_.restart(clock_.now()); });
    crash_detector_.signalDecided().connect([this](bool has_crashed) { onCrashDecided(has_crashed); });
}

RelayService::~RelayService() = default;

void RelayService::setReplicaView(const std::function<fleet::Replicas()>& view) {
    if (knobs_.disabled.suspect_trial_gate) {
        return;
    }
    trials_.gate().setConditionsSource([this, view] {
        const auto load = queue_.load();
        const double busy = std::max<double>(load.running + load.waiting, serviceLoad().busy);
        return quarantine::TrialConditions{view(), busy / std::max(kMinCapacity, load.capacity())};
    });
}

/// Some instances slow down when they are nearly full, which costs more throughput than the slots left free.
std::uint32_t RelayService::limitFor(std::uint32_t slots) const {
    const std::uint32_t least = slots >= knobs_.min_slots_for_free_slot ? 1 : 0;
    return slots - std::max(least, slots / knobs_.slots_per_free_slot);
}

bool RelayService::accepts(const Call& call) const {
    const auto& instance = call.request.instance;
    const bool is_current = instance_.record().id() == instance;
    return instance_.acceptsCallsFor(instance) || (call.is_probe && canProbe(call)) ||
           (knobs_.disabled.drain_check && is_current);
}

/// A route whose times are not known may take all the time that the request has.
bool RelayService::endsBeforeStop(const Call& call) const {
    if (!stop_deadline_ || knobs_.disabled.stop_time_check) {
        return true;
    }
    const auto now = clock_.now();
    const auto remaining = call.entry_deadline - now;
    const auto longest = std::min(remaining, run_times_.upperBound(call.request.route).value_or(remaining));
    return now + longest + knobs_.stop_margin <= *stop_deadline_;
}

RelayReason RelayService::rejectionReason(const Call& call) {
    const auto& request = call.request;
    if (is_closed_ || (stop_deadline_ && !request.is_only_candidate) || !endsBeforeStop(call)) {
        return RelayReason::kStopping;
    }
    if (!accepts(call)) {
        const bool is_current = instance_.record().id() == request.instance;
        return is_current ? RelayReason::kDraining : RelayReason::kOtherInstance;
    }
    if (quarantine_.state(call.fingerprint) == quarantine::QuarantineState::kQuarantined) {
        return RelayReason::kQuarantined;
    }
    const bool may_retry =
        knobs_.disabled.retry_budget_check || retries_.mayRetry(request, isOfTreeInProgress(request));
    return may_retry ? RelayReason::kNone : RelayReason::kRetryBudget;
}

RelayService::CallId RelayService::start(RelayRequest request, Callback callback) {
    const auto id = ++last_id_;
    auto& call = *(calls_[id] = std::make_unique<Call>());
    call.request = std::move(request);
    call.request_id = call.request.request.headers.get(names_.request_id);
    call.fingerprint = quarantine::fingerprintOf(call.request.request);
    call.callback = std::move(callback);
    call.entry_deadline = call.request.deadline;
    call.request.deadline = std::min(call.request.deadline, stop_deadline_.value_or(TimePoint::max()));
    if (call.request.known_rate_limit) {
        const auto incarnation = instance::incarnationName(call.request.instance, call.request.instance_start_ms);
        signals_.onPeerNotice(*call.request.known_rate_limit, incarnation, call.request_id);
    }
    if (call.request.is_suspect && quarantine_.state(call.fingerprint) == quarantine::QuarantineState::kClear) {
        quarantine_.markSuspect(call.fingerprint);
        trials_.gate().onInstanceCrashed();  // The request arrived before the notice of the crash.
    }
    call.is_probe = canProbe(call) && probes_ < kMaxProbes;
    probes_ += call.is_probe ? 1 : 0;
    if (const auto reason = rejectionReason(call); reason != RelayReason::kNone) {
        countRejected(&call);
        rejectLater(id, reason);
        return id;
    }
    retries_.count(call.request);
    const bool is_suspect = quarantine_.state(call.fingerprint) == quarantine::QuarantineState::kSuspect;
    is_suspect ? enterTrials(id) : enterQueue(id);
    return id;
}

/// Suspects run one at a time, concurrently with other requests: if the instance crashes, the suspect that was running
/// is identified as the cause, and the other suspects put no further instances at risk.
void RelayService::enterTrials(CallId id) {
    const auto now = clock_.now();
    const auto time_left = calls_[id]->request.deadline - now;
    const auto wait = std::chrono::duration_cast<Duration>(time_left * knobs_.trial_wait_ratio);
    trials_.enter(id, now + wait, [this, id](bool may_run) { onTrialDecision(id, may_run); });
}

/// While the suspect waited, a request with the same fingerprint may have completed or been quarantined, and the
/// instance may have left.
void RelayService::onTrialDecision(CallId id, bool may_run) {
    auto& call = *calls_[id];
    if (!may_run) {
        logDeferredTrial(call);
        rejectLater(id, RelayReason::kSuspect);
        return;
    }
    call.is_trial = true;
    if (quarantine_.state(call.fingerprint) == quarantine::QuarantineState::kQuarantined) {
        rejectLater(id, RelayReason::kQuarantined);
    } else if (!accepts(call)) {
        rejectLater(id, RelayReason::kDraining);
    } else {
        enterQueue(id);
    }
}

/// Logs that a suspect could not run here in time, with the replicas and the load that the gate decided on.
void RelayService::logDeferredTrial(const Call& call) {
    const auto conditions = trials_.gate().conditions();
    log_.write(Event("trial_put_off")
                   .with("request", call.request_id)
                   .with("fingerprint", quarantine::fingerprintText(call.fingerprint))
                   .with("up", conditions.replicas.up)
                   .with("away", conditions.replicas.unavailable)
                   .with("place", conditions.replicas.position)
                   .with("use", conditions.utilization));
}

/// Requests are admitted in order of the time until which they can wait, delayed by priority. Internal calls of call
/// trees that have used a part of their time are admitted first. Internal calls may wait for longer than requests of
/// callers, as their rejection wastes the work already done for the call tree.
QueueRequest RelayService::queueRequestFor(RelayRequest* request) {
    const auto now = clock_.now();
    const auto time_left = request->deadline - now;
    const bool is_shortened = deadlines_.isShortened(now, request->route, time_left);
    route_detector_.onRequest(request->route, std::string(request->request.headers.get(names_.caller_service)));
    const bool is_internal = route_detector_.isInternal(request->route);
    const bool is_ongoing = is_internal && is_shortened;
    if (is_internal) {
        const auto wait = std::chrono::duration_cast<Duration>(time_left * knobs_.internal_wait_ratio);
        request->max_wait = std::max(request->max_wait, wait);
    }
    QueueRequest queue_request;
    queue_request.expires_at = std::min(request->deadline, now + request->max_wait);
    queue_request.virtual_deadline =
        is_ongoing ? now : queue_request.expires_at + knobs_.priority_step * request->priority;
    // A free slot is used anyway: the usual run time is a mean, and shorter runs may still complete.
    if (knobs_.rejects_too_late && !is_ongoing) {
        queue_request.expires_at =
            std::min(queue_request.expires_at, request->deadline - demand_.timeOf(request->route));
    }
    return queue_request;
}

void RelayService::enterQueue(CallId id) {
    auto& call = *calls_[id];
    auto& request = call.request;
    const auto now = clock_.now();
    call.queue_request = queueRequestFor(&request);
    call.ticket = queue_.enter(call.queue_request,
                               [this, id](InstanceQueue::Decision decision) { onQueueDecision(id, decision); });
    // A rejected request that another relay may still accept does not count as demand for this instance.
    const bool is_accepted = call.ticket != 0 || call.is_admitted;
    if (is_accepted || request.is_last_candidate) {
        call.counted = demand_.onArrival(now, request.route, request.call_context.demand_weight);
    }
}

decision::ServiceLoad RelayService::serviceLoad(const decision::CountedArrival& reporting) {
    if (instance_.isUnknown()) {
        auto load = demand_.load(clock_.now(), {}, {}, reporting);
        load.capacity = kProbeShare * load.demand;
        load.busy = load.capacity;
        return load;
    }
    if (!instance_.isReady()) {
        return {};
    }
    const auto load = queue_.load();
    auto service_load =
        demand_.load(clock_.now(), {load.limit, load.rate_limit}, load.presentServiceTime() * load.waiting, reporting);
    retries_.addTo(&service_load);
    return service_load;
}

SendTotals RelayService::sendTotals() const {
    auto totals = send_totals_;
    totals.probes = crash_detector_.probesSent();
    return totals;
}

void RelayService::rejectLater(CallId id, RelayReason reason) {
    calls_[id]->rejection_timer = clock_.startTimer(Duration::zero(), [this, id, reason] {
        RelayResult result;
        result.reason = reason;
        finish(id, std::move(result));
    });
}

void RelayService::onQueueDecision(CallId id, InstanceQueue::Decision decision) {
    auto& call = *calls_[id];
    call.ticket = 0;
    if (decision != InstanceQueue::Decision::kAdmitted) {
        const bool is_timeout = decision == InstanceQueue::Decision::kTimedOut;
        rejectLater(id, is_timeout ? RelayReason::kQueueTimeout : RelayReason::kQueueTooLong);
        return;
    }
    call.is_admitted = true;
    demand_.onRunning(clock_.now(), queue_.load().running);
    if (!accepts(call)) {
        rejectLater(id, RelayReason::kDraining);
    } else if (call.request.deadline - clock_.now() < knobs_.min_remaining) {
        rejectLater(id, RelayReason::kDeadline);
    } else if (!endsBeforeStop(call)) {
        rejectLater(id, RelayReason::kStopping);
    } else {
        send(id);
    }
}

void RelayService::send(CallId id) {
    auto& call = *calls_[id];
    auto request = std::move(call.request.request);
    call.sent_at = clock_.now();
    call.incarnation = instance::incarnationName(instance_.record());
    call.notice.start_ms = instance_.record().born_ms();
    const auto deadline = beginRun(&call);
    const auto time_left = deadline - call.sent_at;
    if (call.connection_failures == 0) {
        ++(call.request.is_retry ? send_totals_.retries : send_totals_.first_attempts);
    }
    runs_.onSent(id, {call.request_id, call.request.route, call.incarnation, call.fingerprint, call.is_trial});
    const bool may_run_twice = call.request.retry_policy == RetryPolicy::kAlways;
    request.headers.set(names_.expected_instance, call.request.instance);
    request.headers.set(names_.deadline_ms, std::to_string(toMilliseconds(time_left)));
    const auto end = std::max(deadline, std::min(deadline + kEndGrace, stop_deadline_.value_or(TimePoint::max())));
    call.attempt = instances_.sendCall(instance_address_, std::move(request), end - call.sent_at, may_run_twice,
                                       [this, id](AttemptResult result) { onAttemptEnded(id, std::move(result)); });
}

/// Registers the run at the call graph. @return the deadline to send to the instance: that of the request, unless the
/// run is a sample, which a request that must not run twice never is.
TimePoint RelayService::beginRun(Call* call) {
    auto call_context = call->request.call_context;
    call_context.retry_probability = call->request.is_retry ? 1 : call_context.retry_probability;
    auto deadline = call->request.deadline;
    const auto& route = call->request.route;
    const bool may_sample =
        knobs_.samples_calls && call->request.retry_policy == RetryPolicy::kAlways && !stop_deadline_;
    call->run = may_sample ? call_graph_.onRepeatableRunBegan(call->sent_at, route, call_context, &deadline)
                           : call_graph_.onRunBegan(call->sent_at, route, call_context, deadline);
    return deadline;
}

/// A lost connection may mean that the instance crashed: the result is held back until the crash detector has decided.
void RelayService::onAttemptEnded(CallId id, AttemptResult result) {
    const auto& incarnation = calls_[id]->incarnation;
    if (isConnectionLost(result) && incarnation != crashed_incarnation_ &&
        incarnation == instance::incarnationName(instance_.record())) {
        suspected_incarnation_ = incarnation;
        lost_attempts_.push_back({id, std::move(result)});
        crash_detector_.onConnectionLost(runs_.runningAt(incarnation));
        return;
    }
    if (result.outcome == AttemptOutcome::kNotSent) {
        onConnectionFailed(id, std::move(result));
        return;
    }
    if (result.outcome == AttemptOutcome::kUnknown && !isConnectionLost(result)) {
        reportRunCut(*calls_[id], result.reason);
    }
    if (result.outcome == AttemptOutcome::kResponded) {
        readSignals(calls_[id].get(), result.response);
    }
    finish(id, resultOf(*calls_[id], std::move(result)));
}

/// A misdirected request was answered by another instance, whose signals are not those of the current one.
void RelayService::readSignals(Call* call, const HttpResponse& response) {
    if (response.status != kHttpMisdirected) {
        const auto signals = signals_.onResponse(response, call->incarnation, call->sent_at, call->request_id);
        call->notice.is_leaving = signals.is_leaving;
    }
}

/// Ignores a crash of an incarnation that has been replaced meanwhile, as onInstanceChanged has handled it.
void RelayService::onCrashDecided(bool has_crashed) {
    auto lost_attempts = std::exchange(lost_attempts_, {});
    if (has_crashed && suspected_incarnation_ == instance::incarnationName(instance_.record())) {
        onCrash(suspected_incarnation_);
    }
    for (auto& it : lost_attempts) {
        if (const auto found = calls_.find(it.id); found != calls_.end()) {
            runs_.onConnectionLost(it.id);
            found->second->attempt.reset();
            finish(it.id, resultOf(*found->second, std::move(it.result)));
        }
    }
}

/// Applies a changed state. When it becomes unknown, the demand measured so far is dropped, as other instances receive
/// these requests from then on.
void RelayService::onInstanceChanged() {
    const auto& record = instance_.record();
    const auto incarnation = instance::incarnationName(record);
    if (incarnation != incarnation_) {
        onIncarnationChanged(incarnation);
    }
    is_leaving_ = record.state() == wire::INSTANCE_DRAINING || record.state() == wire::INSTANCE_GONE;
    if (instance_.isReady()) {
        crashed_incarnation_.clear();  // Also if it was this incarnation: it has been heard from, so that it is alive.
        connections_.onReady(limitFor(record.slots()));
    }
    if (instance_.isUnknown()) {
        demand_.restart(clock_.now());
        rejectUnconnected();
        connections_.onUnknown();
    }
}

/// A new incarnation in place of one that did not announce its shutdown means that the previous one crashed, even if no
/// connection was lost (e.g. by a power failure). If it started later, the previous one can send no more responses.
void RelayService::onIncarnationChanged(const std::string& incarnation) {
    const auto start_ms = instance_.record().born_ms();
    const auto previous = std::exchange(incarnation_, incarnation);
    const auto previous_start_ms = std::exchange(start_ms_, start_ms);
    signals_.onNewIncarnation();
    connections_.onNewIncarnation();
    if (!is_leaving_ && runs_.hasRuns(previous)) {
        onCrash(previous);
    }
    if (previous_start_ms > 0 && start_ms > previous_start_ms) {
        failRunsOf(previous);
    }
}

void RelayService::onCrash(const std::string& incarnation) {
    if (incarnation == crashed_incarnation_ || is_leaving_) {
        return;
    }
    crashed_incarnation_ = incarnation;
    trials_.gate().onInstanceCrashed();
    signal_crashed_.emit(runs_.attributeCrash(incarnation));
    if (instance::incarnationName(instance_.record()) == incarnation) {
        instance_.onUnreachable();
    }
}

/// Ends the runs of a replaced incarnation with an unknown outcome, since no response can arrive.
void RelayService::failRunsOf(const std::string& incarnation) {
    std::vector<CallId> replaced;
    for (const auto& [id, call] : calls_) {
        if (call->attempt != nullptr && call->incarnation == incarnation) {
            replaced.push_back(id);
        }
    }
    for (const auto id : replaced) {
        if (const auto found = calls_.find(id); found != calls_.end()) {
            found->second->attempt.reset();
            AttemptResult lost;
            lost.outcome = AttemptOutcome::kUnknown;
            lost.reason = "next-life";
            reportRunCut(*found->second, lost.reason);
            finish(id, resultOf(*found->second, std::move(lost)));
        }
    }
}

/// A timer that ends the run within `min_remaining` of the deadline counts as the deadline itself.
void RelayService::reportRunCut(const Call& call, std::string_view cause) {
    const auto now = clock_.now();
    const auto remaining = call.entry_deadline - now;
    if (remaining < knobs_.min_remaining) {
        return;
    }
    const bool is_stop_limit = cause == kTimedOut && call.request.deadline < call.entry_deadline &&
                               now + knobs_.min_remaining >= call.request.deadline;
    const auto reason = is_stop_limit ? std::string_view("stop-limit") : cause;
    ++run_cuts_[std::string(reason)];
    if (!log_.accepts("run_cut")) {
        return;
    }
    log_.write(Event("run_cut")
                   .with("request", call.request_id)
                   .with("instance", call.incarnation)
                   .with("route", call.request.route)
                   .with("reason", reason)
                   .with("elapsed_ms", toMilliseconds(now - call.sent_at))
                   .with("remaining_ms", toMilliseconds(remaining))
                   .with("stopping", stop_deadline_ ? "yes" : "no"));
}

std::vector<Event> RelayService::describeUnfinished(std::string_view name, std::size_t limit) const {
    std::vector<Event> events;
    for (const auto& [id, call] : calls_) {
        if (events.size() == limit) {
            break;
        }
        const bool is_sent = call->attempt != nullptr;
        events.push_back(Event(name)
                             .with("request", call->request_id)
                             .with("hop", "relay")
                             .with("route", call->request.route)
                             .with("instance", call->request.instance)
                             .with("state", is_sent ? "at-work" : "waiting")
                             .with("remaining_ms", toMilliseconds(call->entry_deadline - clock_.now())));
    }
    return events;
}

/// Converts the result of an attempt. Logs `instance_failed` if the instance sent no response.
RelayResult RelayService::resultOf(const Call& call, AttemptResult result) {
    if (result.outcome == AttemptOutcome::kResponded) {
        return resultOfResponse(call, std::move(result.response));
    }
    RelayResult relayed;
    relayed.was_sent = result.outcome == AttemptOutcome::kUnknown;
    relayed.outcome = relayed.was_sent ? RelayOutcome::kUnknown : RelayOutcome::kNotRun;
    relayed.reason = relayed.was_sent ? RelayReason::kNoCompleteResponse : RelayReason::kNotConnected;
    if (relayed.was_sent && call.incarnation == crashed_incarnation_) {
        // Reports the quarantine to the entry, which could retry at a relay that has not received the notice yet.
        const bool is_quarantined = quarantine_.state(call.fingerprint) == quarantine::QuarantineState::kQuarantined;
        relayed.reason = is_quarantined ? RelayReason::kQuarantined : RelayReason::kInstanceCrashed;
    }
    log_.write(Event("instance_failed")
                   .with("request", call.request_id)
                   .with("peer", instance_address_)
                   .with("instance", call.incarnation)
                   .with("reason", result.reason)
                   .with("sent", relayed.was_sent ? "yes" : "no")
                   .with("route", call.request.route)
                   .with("fingerprint", quarantine::fingerprintText(call.fingerprint)));
    return relayed;
}

/// Validates a response. Logs `answer_spoiled` if it is not a valid response to this request.
RelayResult RelayService::resultOfResponse(const Call& call, HttpResponse response) {
    RelayResult relayed;
    relayed.was_sent = true;
    const auto kind = classifyResponse(response, call.request_id, names_, knobs_.disabled.response_signature_check);
    onInstanceResponded(call, kind);
    switch (kind) {
        case ResponseKind::kMisdirected:
            instance_.onMisdirected(call.request.instance);
            [[fallthrough]];
        case ResponseKind::kNotRun:
            relayed.reason = RelayReason::kInstanceRefused;
            return relayed;
        case ResponseKind::kInvalid:
            log_.write(Event("answer_spoiled")
                           .with("request", call.request_id)
                           .with("peer", instance_address_)
                           .with("status", response.status));
            relayed.outcome = RelayOutcome::kUnknown;
            relayed.reason = RelayReason::kNoCompleteResponse;
            return relayed;
        case ResponseKind::kComplete:
            break;
    }
    removeHopByHopHeaders(response.headers);
    relayed.outcome = RelayOutcome::kResponded;
    relayed.failed_downstream =
        response.status == kHttpInternalServerError && call_graph_.attributeFailure(clock_.now(), call.sent_at);
    relayed.response = std::move(response);
    return relayed;
}

void RelayService::onRunEnded(const Call& call, bool is_complete) {
    if (call.run != 0) {
        call_graph_.onRunEnded(clock_.now(), call.run, is_complete);
    }
}

void RelayService::finish(CallId id, RelayResult result) {
    auto finished = calls_.extract(id);
    auto& call = *finished.mapped();
    runs_.onEnded(id);
    const bool has_response = result.outcome == RelayOutcome::kResponded;
    onRunEnded(call, has_response && isSuccess(result.response.status));
    const auto time = has_response ? clock_.now() - call.sent_at : Duration::zero();
    if (has_response) {
        quarantine_.onCompleted(call.fingerprint);
        demand_.onResponse(call.request.route, time);
        run_times_.onEnded(call.request.route, time);
    }
    leaveQueues(id, call, time);
    if (result.was_sent) {
        retries_.onSentEnded(result);
    }
    result.is_retry_paid = retries_.payForRetry(call.request, result, isOfTreeInProgress(call.request));
    result.load = queue_.load();
    result.has_load = true;
    result.notice = noticeFor(call);
    result.report.load = serviceLoad(call.counted);
    result.report.time = demand_.timeOf(call.request.route);
    result.report.is_internal = route_detector_.classify(call.request.route);
    call.callback(std::move(result));
}

InstanceNotice RelayService::noticeFor(const Call& call) const {
    auto notice = call.notice;
    const auto& record = instance_.record();
    const bool was_sent = call.sent_at != TimePoint{};
    const bool is_current = record.id() == call.request.instance && (!was_sent || notice.start_ms == record.born_ms());
    if (is_current) {
        notice.start_ms = record.born_ms();
        notice.is_rate_limit_known = signals_.rateLimit().isKnown();
        notice.rate_limit = signals_.rateLimit().limit();
    }
    return notice;
}

void RelayService::cancel(CallId id) {
    const auto cancelled = calls_.extract(id);
    if (cancelled.empty()) {
        return;
    }
    auto& call = *cancelled.mapped();
    const auto is_lost = [id](const LostAttempt& it) { return it.id == id; };
    if (call.attempt != nullptr && std::none_of(lost_attempts_.begin(), lost_attempts_.end(), is_lost)) {
        reportRunCut(call, "cancelled");
    }
    runs_.onCancelled(id);
    onRunEnded(call, false);
    call.attempt.reset();
    leaveQueues(id, call, Duration::zero());
}

/// @param time of the run at the instance; zero to leave the averages as they are.
void RelayService::leaveQueues(CallId id, const Call& call, Duration time) {
    if (call.ticket != 0) {
        queue_.cancel(call.ticket);
    }
    if (call.is_admitted) {
        if (call.sent_at == TimePoint{}) {
            queue_.onNotSent();
        }
        queue_.leave(time);
        demand_.onRunning(clock_.now(), queue_.load().running);
    }
    probes_ -= call.is_probe ? 1 : 0;
    trials_.end(id, time);
}

}  // namespace dewcrank::relay
