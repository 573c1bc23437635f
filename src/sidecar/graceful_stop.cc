#include "src/sidecar/graceful_stop.h"

#include <utility>

namespace dewcrank::sidecar {

namespace {

constexpr Duration kCheckInterval = 50ms;
/// Requests that a stop names if it leaves them unfinished; `in_flight` counts them all.
constexpr std::size_t kMaxUnfinishedLines = 64;

}  // namespace

GracefulStop::GracefulStop(Clock& clock, EventLog& log, StopSubject subject, const StopKnobs& knobs,
                           const DisabledMechanisms& disabled)
    : clock_(clock), log_(log), subject_(std::move(subject)), knobs_(knobs), disabled_(disabled) {}

void GracefulStop::start(StopCallbacks callbacks) {
    started_ = clock_.now();
    callbacks_ = std::move(callbacks);
    log_.write(Event("node_stopping").with("in_flight", subject_.in_flight()));
    timer_ = clock_.startTimer(knobs_.drain_time, [this] { onDrained(); });
}

TimePoint GracefulStop::runDeadline() const {
    return *started_ + knobs_.max_time - kCheckInterval;
}

bool GracefulStop::leavesTimeFor(Duration longest) const {
    if (!started_ || disabled_.stop_time_check) {
        return true;
    }
    return clock_.now() + longest + knobs_.margin <= *started_ + knobs_.max_time;
}

void GracefulStop::onDrained() {
    callbacks_.drained();
    subject_.close();
    check();
}

void GracefulStop::check() {
    const auto elapsed = clock_.now() - *started_;
    const bool has_delivered = callbacks_.has_delivered();
    const bool is_idle = subject_.in_flight() == 0 && has_delivered;
    if (is_idle || disabled_.shutdown_wait || elapsed >= knobs_.max_time) {
        log_.write(Event("node_idle")
                       .with("in_flight", subject_.in_flight())
                       .with("delivered", has_delivered ? "yes" : "no")
                       .with("after_ms", toMilliseconds(elapsed)));
        logUnfinished();
        callbacks_.done();
        return;
    }
    timer_ = clock_.startTimer(kCheckInterval, [this] { check(); });
}

void GracefulStop::logUnfinished() const {
    for (const auto& event : subject_.describe_unfinished(kMaxUnfinishedLines)) {
        log_.write(event);
    }
}

}  // namespace dewcrank::sidecar
