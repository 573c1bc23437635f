#include "src/instance/heartbeat_check.h"

#include <algorithm>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::instance {

HeartbeatCheck::HeartbeatCheck(Clock& clock, EventLog& log, HttpTransport& instances, const HeaderNames& names,
                               std::string address, Accept accept, HeartbeatCheckKnobs knobs)
    : clock_(clock),
      log_(log),
      instances_(instances),
      names_(names),
      address_(std::move(address)),
      accept_(std::move(accept)),
      knobs_(knobs),
      retry_interval_(knobs.min_retry_interval) {}

void HeartbeatCheck::onTable(std::string path) {
    path_ = std::move(path);
    if (held_ && probe_ == nullptr) {
        probe();
    }
}

void HeartbeatCheck::onHeartbeat(const Heartbeat& heartbeat, const HeartbeatArrival& arrival) {
    const bool is_proved = arrival.is_known || (arrival.is_at_fresh_address && isFresh(heartbeat));
    if (is_proved || heartbeat.is_draining) {
        accept(heartbeat);
        return;
    }
    held_ = heartbeat;
    if (is_unconfirmed_) {
        recordNaming(heartbeat);
    }
    if (path_ && probe_ == nullptr && retry_timer_ == nullptr) {
        probe();
    }
}

void HeartbeatCheck::recordNaming(const Heartbeat& heartbeat) {
    const auto name = incarnationName(heartbeat.id, heartbeat.start_ms);
    named_at_ = name == named_to_ ? std::max(named_at_, heartbeat.sequence) : heartbeat.sequence;
    named_to_ = name;
}

/// A process before this one may have named the same address, so that the address alone proves nothing.
bool HeartbeatCheck::isFresh(const Heartbeat& heartbeat) const {
    return incarnationName(heartbeat.id, heartbeat.start_ms) == named_to_ && heartbeat.sequence > named_at_;
}

void HeartbeatCheck::probe() {
    retry_timer_.reset();
    if (!held_) {
        return;
    }
    if (path_->empty()) {
        onAnswer(Answer::kNoPath);
        return;
    }
    HttpRequest request;
    request.method = "GET";
    request.path = *path_;
    request.headers.set("Host", address_);
    ++probes_sent_;
    probe_ = instances_.send(address_, std::move(request), knobs_.probe_timeout,
                             [this](const AttemptResult& result) { onAnswer(answerOf(result)); });
}

/// A rejection says nothing: the instance is full.
HeartbeatCheck::Answer HeartbeatCheck::answerOf(const AttemptResult& result) const {
    const auto& response = result.response;
    const bool is_full = response.headers.has(names_.not_executed);
    if (result.outcome != AttemptOutcome::kResponded || is_full || !held_) {
        return Answer::kNone;
    }
    const auto id = response.headers.get(names_.instance_id);
    if (!id.empty() && id != held_->id) {
        return Answer::kOther;
    }
    if (isSuccess(response.status)) {
        return Answer::kServing;
    }
    if (response.status == kHttpNotFound) {
        return Answer::kNoPath;
    }
    return response.status == kHttpServiceUnavailable ? Answer::kLeaving : Answer::kNone;
}

void HeartbeatCheck::onAnswer(Answer answer) {
    probe_.reset();
    if (!held_) {
        return;
    }
    switch (answer) {
        case Answer::kServing:
        case Answer::kNoPath:
            accept(*std::exchange(held_, std::nullopt));
            return;
        case Answer::kOther:
            logUnconfirmed("other-instance");
            held_.reset();
            is_unconfirmed_ = false;
            return;
        case Answer::kLeaving:
            logUnconfirmed("leaving");
            held_.reset();
            is_unconfirmed_ = true;
            return;
        case Answer::kNone:
            logUnconfirmed("no-response");
            is_unconfirmed_ = true;
            retryLater();
    }
}

void HeartbeatCheck::retryLater() {
    retry_timer_ = clock_.startTimer(retry_interval_, [this] { probe(); });
    retry_interval_ = std::min(2 * retry_interval_, knobs_.max_retry_interval);
}

/// A heartbeat of another incarnation may still be held back for its own proof.
void HeartbeatCheck::accept(const Heartbeat& heartbeat) {
    const bool is_held = held_ && held_->id == heartbeat.id && held_->start_ms == heartbeat.start_ms;
    if (is_held) {
        held_.reset();
    }
    if (!held_) {
        is_unconfirmed_ = false;
        retry_timer_.reset();
        retry_interval_ = knobs_.min_retry_interval;
    }
    accept_(heartbeat);
}

void HeartbeatCheck::logUnconfirmed(std::string_view reason) const {
    log_.write(Event("heartbeat_unconfirmed")
                   .with("instance", incarnationName(held_->id, held_->start_ms))
                   .with("sequence", held_->sequence)
                   .with("reason", reason));
}

}  // namespace dewcrank::instance
