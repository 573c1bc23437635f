#include "src/relay/relay_service.h"

#include <algorithm>
#include <utility>

#include "src/base/http_status.h"
#include "src/relay/answer_kind.h"

namespace dewcrank::relay {

RelayService::RelayService(Clock& clock, EventLog& log, BackEndPort& instances, instance::LocalInstance& instance,
                           quarantine::Quarantine& quarantine, const HeaderNames& names, std::string instance_address,
                           CallerCensus::ShareOf share_of, RelayKnobs knobs)
    : clock_(clock),
      log_(log),
      instances_(instances),
      instance_(instance),
      quarantine_(quarantine),
      names_(names),
      instance_address_(std::move(instance_address)),
      knobs_(knobs),
      queue_(clock, knobs.queue),
      trials_(clock, knobs.trials, knobs.trial_gate),
      crash_watch_(clock, instances, instance_address_, knobs.crash_watch),
      runs_(clock, log, quarantine),
      census_(clock, std::move(share_of)),
      demand_(knobs.demand),
      call_graph_(knobs.call_graph),
      repeats_(clock, call_graph_, knobs.repeats) {
    instance_.signalChanged().connect([this] { onInstanceChanged(); });
    crash_watch_.signalJudged().connect([this](bool has_ended) { onCrashJudged(has_ended); });
}

RelayService::~RelayService() = default;

void RelayService::setReplicaView(const std::function<fleet::Replicas()>& view) {
    if (knobs_.weakening.tries_suspects_at_once) {
        return;
    }
    trials_.gate().setConditionsSource([this, view] {
        const auto load = queue_.load();
        const double slots = std::max<std::uint32_t>(1, load.limit);
        const double busy = std::max<double>(load.running + load.waiting, serviceLoad().busy);
        return quarantine::TrialConditions{view(), busy / slots};
    });
}

/// Some instances get slower when they are nearly full, which costs more than what is left free.
std::uint32_t RelayService::limitFor(std::uint32_t slots) const {
    const std::uint32_t least = slots >= knobs_.least_slots_to_leave_free ? 1 : 0;
    return slots - std::max(least, slots / knobs_.free_slot_in);
}

bool RelayService::takes(const std::string& instance) const {
    const bool is_there = instance_.record().id() == instance;
    return instance_.takesCallsFor(instance) || (knobs_.weakening.serves_draining && is_there);
}

RelayReason RelayService::refusalOf(const Running& running) {
    const auto& request = running.request;
    if (is_closed_ || (stops_at_ && !request.is_only_choice)) {
        return RelayReason::kStopping;
    }
    if (!takes(request.instance)) {
        const bool is_same = instance_.record().id() == request.instance;
        return is_same ? RelayReason::kDraining : RelayReason::kOtherInstance;
    }
    if (quarantine_.state(running.fingerprint) == quarantine::QuarantineState::kQuarantined) {
        return RelayReason::kQuarantined;
    }
    const bool may_repeat = knobs_.weakening.repeats_without_budget || repeats_.mayRepeat(request);
    return may_repeat ? RelayReason::kNone : RelayReason::kRepeatBudget;
}

RelayService::Number RelayService::start(RelayRequest request, Callback callback) {
    const auto number = ++last_number_;
    auto& running = *(running_[number] = std::make_unique<Running>());
    running.request = std::move(request);
    running.id = running.request.request.headers.get(names_.request_id);
    running.fingerprint = quarantine::fingerprintOf(running.request.request);
    running.callback = std::move(callback);
    running.request.deadline = std::min(running.request.deadline, stops_at_.value_or(TimePoint::max()));
    if (running.request.is_suspect && quarantine_.state(running.fingerprint) == quarantine::QuarantineState::kClear) {
        quarantine_.markSuspect(running.fingerprint);
        trials_.gate().onInstanceCrashed();  // The news of it is still on its way.
    }
    if (const auto refusal = refusalOf(running); refusal != RelayReason::kNone) {
        refuseLater(number, refusal);
        return number;
    }
    repeats_.count(running.request);
    const bool is_suspect = quarantine_.state(running.fingerprint) == quarantine::QuarantineState::kSuspect;
    is_suspect ? enterTrials(number) : enterQueue(number);
    return number;
}

/// Suspects run one at a time, beside all others: if the instance ends as well, it is known which of them was at
/// both ends, and a crash costs one more instance, not all that are left.
void RelayService::enterTrials(Number number) {
    const auto now = clock_.now();
    const auto remaining = running_[number]->request.deadline - now;
    const auto wait = std::chrono::duration_cast<Duration>(remaining * knobs_.trial_wait_share);
    trials_.enter(number, now + wait, [this, number](bool may_run) { onTrialDecision(number, may_run); });
}

/// While it has waited it may have been cleared, by the same request's good end, or quarantined, and the instance
/// may have gone.
void RelayService::onTrialDecision(Number number, bool may_run) {
    auto& running = *running_[number];
    if (!may_run) {
        logPutOff(running);
        refuseLater(number, RelayReason::kSuspect);
        return;
    }
    running.is_trial = true;
    if (quarantine_.state(running.fingerprint) == quarantine::QuarantineState::kQuarantined) {
        refuseLater(number, RelayReason::kQuarantined);
    } else if (!takes(running.request.instance)) {
        refuseLater(number, RelayReason::kDraining);
    } else {
        enterQueue(number);
    }
}

void RelayService::logPutOff(const Running& running) {
    const auto conditions = trials_.gate().conditions();
    log_.write(Event("trial_put_off")
                   .with("request", running.id)
                   .with("fingerprint", quarantine::fingerprintText(running.fingerprint))
                   .with("up", conditions.replicas.up)
                   .with("away", conditions.replicas.away)
                   .with("place", conditions.replicas.place)
                   .with("use", conditions.utilization));
}

/// Requests are let in by the time until which they can wait, and by priority. Calls of trees that
/// have used up a part of their time go before all others. Every inner call may wait for longer than a
/// caller's request: refused, it would waste what was done for its tree.
QueueRequest RelayService::placeInQueue(RelayRequest* request) {
    const auto now = clock_.now();
    const auto remaining = request->deadline - now;
    const bool is_shortened = deadlines_.isShortened(now, request->route, remaining);
    census_.onRequest(request->route, std::string(request->request.headers.get(names_.caller_service)));
    const bool is_inner = census_.isInner(request->route);
    const bool is_continuing = is_inner && is_shortened;
    if (is_inner) {
        const auto wait = std::chrono::duration_cast<Duration>(remaining * knobs_.inner_wait_share);
        request->longest_wait = std::max(request->longest_wait, wait);
    }
    QueueRequest place;
    place.give_up_at = std::min(request->deadline, now + request->longest_wait);
    place.order = is_continuing ? now : place.give_up_at + knobs_.priority_step * request->priority;
    return place;
}

void RelayService::enterQueue(Number number) {
    auto& running = *running_[number];
    auto& request = running.request;
    const auto now = clock_.now();
    const auto entering = placeInQueue(&request);
    running.ticket =
        queue_.enter(entering, [this, number](InstanceQueue::Decision decision) { onDecision(number, decision); });
    // What another relay may still take is not this instance's demand.
    const bool is_taken = running.ticket != 0 || running.is_let_in;
    if (is_taken || request.is_last_choice) {
        demand_.onArrival(now, request.route, request.lineage.represents);
    }
}

decision::ServiceLoad RelayService::serviceLoad() {
    if (!instance_.isReady()) {
        return {};
    }
    const auto load = queue_.load();
    return demand_.load(clock_.now(), load.limit, load.mean_time * load.waiting);
}

void RelayService::refuseLater(Number number, RelayReason reason) {
    running_[number]->refusal = clock_.startTimer(Duration::zero(), [this, number, reason] {
        RelayResult result;
        result.reason = reason;
        finish(number, std::move(result));
    });
}

void RelayService::onDecision(Number number, InstanceQueue::Decision decision) {
    auto& running = *running_[number];
    running.ticket = 0;
    if (decision != InstanceQueue::Decision::kGo) {
        const bool is_timeout = decision == InstanceQueue::Decision::kTimedOut;
        refuseLater(number, is_timeout ? RelayReason::kQueueTimeout : RelayReason::kQueueTooLong);
        return;
    }
    running.is_let_in = true;
    demand_.onRunning(clock_.now(), queue_.load().running);
    if (!takes(running.request.instance)) {
        refuseLater(number, RelayReason::kDraining);
    } else if (running.request.deadline - clock_.now() < knobs_.least_remaining) {
        refuseLater(number, RelayReason::kDeadline);
    } else {
        send(number);
    }
}

void RelayService::send(Number number) {
    auto& running = *running_[number];
    auto request = std::move(running.request.request);
    running.sent = clock_.now();
    running.life = instance::lifeName(instance_.record());
    auto lineage = running.request.lineage;
    lineage.repeat_share = running.request.is_repeat ? 1 : lineage.repeat_share;
    auto deadline = running.request.deadline;
    running.run = call_graph_.onRunBegan(running.sent, running.request.route, lineage, &deadline);
    const auto remaining = deadline - running.sent;
    runs_.onSent(number, {running.id, running.request.route, running.life, running.fingerprint, running.is_trial});
    request.headers.set(names_.expected_instance, running.request.instance);
    request.headers.set(names_.deadline_ms, std::to_string(toMilliseconds(remaining)));
    running.attempt =
        instances_.send(instance_address_, std::move(request), remaining,
                        [this, number](AttemptResult result) { onAttemptEnded(number, std::move(result)); });
}

/// Where a connection has broken, the instance may have ended: that is found out before the entry is told.
void RelayService::onAttemptEnded(Number number, AttemptResult result) {
    const auto& life = running_[number]->life;
    if (isConnectionLost(result) && life != ended_life_ && life == instance::lifeName(instance_.record())) {
        judged_life_ = life;
        broken_.push_back({number, std::move(result)});
        crash_watch_.onBroken(runs_.runningAt(life));
        return;
    }
    if (isRefused(result)) {
        crash_watch_.onRefused();
    }
    finish(number, judge(*running_[number], std::move(result)));
}

/// The next life may be there already: the end is that of the one whose connections broke.
void RelayService::onCrashJudged(bool has_ended) {
    auto broken = std::exchange(broken_, {});
    if (has_ended && judged_life_ == instance::lifeName(instance_.record())) {
        onInstanceCrashed(judged_life_);
    }
    for (auto& it : broken) {
        if (const auto found = running_.find(it.number); found != running_.end()) {
            runs_.onConnectionLost(it.number);
            finish(it.number, judge(*found->second, std::move(it.result)));
        }
    }
}

/// Another life in place of one that has not taken its leave: that has ended by itself, even if it broke no connection
/// (its machine may have lost its power). Where it is known to have started later, no answer of the former can come.
void RelayService::onInstanceChanged() {
    const auto& record = instance_.record();
    const auto life = instance::lifeName(record);
    if (life != seen_life_) {
        const auto former = std::exchange(seen_life_, life);
        const auto former_born = std::exchange(seen_born_, record.born_ms());
        if (!is_leaving_ && runs_.hasRuns(former)) {
            onInstanceCrashed(former);
        }
        if (former_born > 0 && record.born_ms() > former_born) {
            endRunsOf(former);
        }
    }
    is_leaving_ = record.state() == wire::INSTANCE_DRAINING || record.state() == wire::INSTANCE_GONE;
    if (instance_.isReady()) {
        ended_life_.clear();  // Also if it was this one: its heartbeat says that it lives.
        queue_.setLimit(limitFor(record.slots()));
    }
}

void RelayService::onInstanceCrashed(const std::string& life) {
    if (life == ended_life_ || is_leaving_) {
        return;
    }
    ended_life_ = life;
    trials_.gate().onInstanceCrashed();
    signal_crashed_.emit(runs_.attributeCrash(life));
    if (instance::lifeName(instance_.record()) == life) {
        instance_.onUnreachable();
    }
}

/// What became of them nobody will tell: they may have run.
void RelayService::endRunsOf(const std::string& life) {
    std::vector<Number> ended;
    for (const auto& [number, running] : running_) {
        if (running->attempt != nullptr && running->life == life) {
            ended.push_back(number);
        }
    }
    for (const auto number : ended) {
        if (const auto found = running_.find(number); found != running_.end()) {
            found->second->attempt.reset();
            AttemptResult lost;
            lost.outcome = AttemptOutcome::kUnknown;
            lost.reason = "next-life";
            finish(number, judge(*found->second, std::move(lost)));
        }
    }
}

RelayResult RelayService::judge(const Running& running, AttemptResult result) {
    if (result.outcome == AttemptOutcome::kAnswered) {
        instance_.onAnswered();
        return judgeAnswer(running, std::move(result.answer));
    }
    RelayResult judged;
    judged.was_offered = result.outcome == AttemptOutcome::kUnknown;
    judged.outcome = judged.was_offered ? RelayOutcome::kUnknown : RelayOutcome::kNotRun;
    judged.reason = judged.was_offered ? RelayReason::kNoWholeAnswer : RelayReason::kNotConnected;
    if (judged.was_offered && running.life == ended_life_) {
        // Its entry knows of the verdict before the other relays do: sent on, it would end one more.
        const bool is_convicted = quarantine_.state(running.fingerprint) == quarantine::QuarantineState::kQuarantined;
        judged.reason = is_convicted ? RelayReason::kQuarantined : RelayReason::kInstanceEnded;
    }
    if (!judged.was_offered) {
        instance_.onUnreachable();
    }
    log_.write(Event("instance_failed")
                   .with("request", running.id)
                   .with("peer", instance_address_)
                   .with("instance", running.life)
                   .with("reason", result.reason)
                   .with("sent", judged.was_offered ? "yes" : "no")
                   .with("route", running.request.route)
                   .with("fingerprint", quarantine::fingerprintText(running.fingerprint)));
    return judged;
}

RelayResult RelayService::judgeAnswer(const Running& running, HttpAnswer answer) {
    RelayResult judged;
    judged.was_offered = true;
    switch (kindOf(answer, running.id, names_, knobs_.weakening.takes_unsigned_answers)) {
        case AnswerKind::kMisdirected:
            instance_.onMisdirected(running.request.instance);
            [[fallthrough]];
        case AnswerKind::kNotRun:
            judged.reason = RelayReason::kInstanceRefused;
            return judged;
        case AnswerKind::kSpoiled:
            log_.write(Event("answer_spoiled")
                           .with("request", running.id)
                           .with("peer", instance_address_)
                           .with("status", answer.status));
            judged.outcome = RelayOutcome::kUnknown;
            judged.reason = RelayReason::kNoWholeAnswer;
            return judged;
        case AnswerKind::kWhole:
            break;
    }
    removeHopByHopHeaders(answer.headers);
    judged.outcome = RelayOutcome::kAnswered;
    judged.failed_below =
        answer.status == kHttpInternalServerError && call_graph_.explainFailure(clock_.now(), running.sent);
    judged.answer = std::move(answer);
    return judged;
}

void RelayService::onRunEnded(const Running& running, bool is_whole) {
    if (running.run != 0) {
        call_graph_.onRunEnded(clock_.now(), running.run, is_whole);
    }
}

void RelayService::finish(Number number, RelayResult result) {
    auto ended = running_.extract(number);
    auto& running = *ended.mapped();
    runs_.onEnded(number);
    const bool is_answered = result.outcome == RelayOutcome::kAnswered;
    onRunEnded(running, is_answered && isSuccess(result.answer.status));
    const auto time = is_answered ? clock_.now() - running.sent : Duration::zero();
    if (is_answered) {
        quarantine_.onCompleted(running.fingerprint);
        demand_.onAnswered(running.request.route, time);
    }
    leaveQueues(number, running, time);
    result.is_repeat_paid = repeats_.paysRepeat(running.request, result);
    result.load = queue_.load();
    result.has_load = true;
    result.report.load = serviceLoad();
    result.report.time = demand_.timeOf(running.request.route);
    result.report.is_inner = census_.verdict(running.request.route);
    running.callback(std::move(result));
}

void RelayService::cancel(Number number) {
    const auto cancelled = running_.extract(number);
    if (cancelled.empty()) {
        return;
    }
    auto& running = *cancelled.mapped();
    runs_.onCancelled(number);
    onRunEnded(running, false);
    running.attempt.reset();
    leaveQueues(number, running, Duration::zero());
}

/// @param time that the instance took; zero if it tells nothing.
void RelayService::leaveQueues(Number number, const Running& running, Duration time) {
    if (running.ticket != 0) {
        queue_.cancel(running.ticket);
    }
    if (running.is_let_in) {
        queue_.leave(time);
        demand_.onRunning(clock_.now(), queue_.load().running);
    }
    trials_.end(number, time);
}

}  // namespace dewcrank::relay
