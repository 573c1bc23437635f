#include "src/instance/heartbeat_check.h"

#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::instance {

namespace {

/// Sequence number of the first heartbeat of an incarnation, which nothing can have preceded.
constexpr std::uint64_t kFirstSequence = 1;

std::string nameOf(const Heartbeat& heartbeat) {
    return incarnationName(heartbeat.id, heartbeat.start_ms);
}

}  // namespace

HeartbeatCheck::HeartbeatCheck(Clock& clock, HttpTransport& instances, const HeaderNames& names, std::string address,
                               Accept accept, HeartbeatCheckKnobs knobs)
    : clock_(clock),
      instances_(instances),
      names_(names),
      address_(std::move(address)),
      accept_(std::move(accept)),
      knobs_(knobs) {}

void HeartbeatCheck::onTable(std::string path) {
    path_ = std::move(path);
    if (held_ && probe_ == nullptr) {
        probe();
    }
}

void HeartbeatCheck::onHeartbeat(const Heartbeat& heartbeat, bool is_known) {
    const bool is_checked = is_known || heartbeat.is_draining || heartbeat.sequence <= kFirstSequence;
    const bool continues = nameOf(heartbeat) == contradicted_ && clock_.now() - contradicted_at_ >= knobs_.min_interval;
    if (is_checked || continues) {
        accept_(heartbeat);
        return;
    }
    held_ = heartbeat;
    if (path_ && probe_ == nullptr) {
        probe();
    }
}

void HeartbeatCheck::probe() {
    if (path_->empty()) {
        accept();
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
    if (result.outcome != AttemptOutcome::kResponded || is_full) {
        return Answer::kNone;
    }
    const auto id = response.headers.get(names_.instance_id);
    if (!id.empty() && id != held_->id) {
        return Answer::kOther;
    }
    if (isSuccess(response.status)) {
        return Answer::kServing;
    }
    return response.status == kHttpServiceUnavailable ? Answer::kLeaving : Answer::kNone;
}

/// The health of an instance may be false: one that says that it is leaving is believed until it has sent a further
/// heartbeat that says the opposite.
void HeartbeatCheck::onAnswer(Answer answer) {
    probe_.reset();
    if (answer == Answer::kOther) {
        held_.reset();
    } else if (answer == Answer::kLeaving) {
        contradicted_ = nameOf(*held_);
        contradicted_at_ = clock_.now();
        held_.reset();
    } else {
        accept();
    }
}

void HeartbeatCheck::accept() {
    const auto heartbeat = *std::exchange(held_, std::nullopt);
    accept_(heartbeat);
}

}  // namespace dewcrank::instance
