#include "src/relay/connection_control.h"

#include <algorithm>
#include <utility>

#include "src/ports/reconnecting_sender.h"

namespace dewcrank::relay {

namespace {

constexpr Duration kLogInterval = 1s;

}  // namespace

ConnectionControl::ConnectionControl(Clock& clock, EventLog& log, HttpTransport& instances,
                                     instance::LocalInstance& instance, InstanceQueue& queue, std::string address,
                                     std::function<std::size_t()> runs)
    : clock_(clock),
      log_(log),
      instances_(instances),
      instance_(instance),
      queue_(queue),
      address_(std::move(address)),
      runs_(std::move(runs)) {}

void ConnectionControl::onReady(std::uint32_t slots) {
    slots_ = slots;
    if (std::exchange(was_unknown_, false)) {
        slow_start_.begin(static_cast<std::uint32_t>(runs_()));
    }
    applyLimit();
}

/// Closes idle connections: they may be silent, and each occupies one of those that the instance accepts.
void ConnectionControl::onUnknown() {
    was_unknown_ = true;
    forgetFailures();
    slow_start_.reset();
    applyLimit();
    instances_.closeIdleConnections(address_, Duration::zero());
}

void ConnectionControl::forgetFailures() {
    reachability_.reset();
    limit_.reset();
    verdict_timer_.reset();
    raise_timer_.reset();
}

void ConnectionControl::onResponse() {
    if (slow_start_.limit()) {
        slow_start_.onResponse(slots_);
        applyLimit();
    }
}

/// An idle connection counts as a running request, since a crash would have closed it. Connections that were idle for
/// longer than kMaxUnverifiedTime are closed: calls that must not run twice do not use them, yet they count towards the
/// connections that the instance accepts.
void ConnectionControl::onConnectionFailed(instance::ConnectionFailure failure) {
    const auto now = clock_.now();
    failure.others = runs_() + (instances_.idleTime(address_) ? 1 : 0);
    failure.usual_time = queue_.load().presentServiceTime();
    instances_.closeIdleConnections(address_, kMaxUnverifiedTime);
    if (instance_.isReady()) {
        lowerLimit(failure.others);
    }
    applyVerdict(reachability_.onConnectionFailed(now, instance_.lastContact(), failure));
}

/// @param open connections in use.
void ConnectionControl::lowerLimit(std::size_t open) {
    logRefused(open);
    limit_.onRefused(clock_.now(), static_cast<std::uint32_t>(open));
    applyLimit();
    startRaiseTimer();
}

void ConnectionControl::judge() {
    applyVerdict(reachability_.judge(clock_.now(), instance_.lastContact(), runs_()));
}

void ConnectionControl::applyVerdict(instance::Reachability::Verdict verdict) {
    verdict_timer_.reset();
    if (verdict == instance::Reachability::Verdict::kUnreachable) {
        instance_.onUnreachable();
    } else if (verdict == instance::Reachability::Verdict::kUndecided) {
        startVerdictTimer();
    }
}

void ConnectionControl::startVerdictTimer() {
    const auto decided_by = reachability_.decidedBy();
    verdict_timer_ = clock_.startTimer(std::max(*decided_by - clock_.now(), Duration::zero()), [this] { judge(); });
}

void ConnectionControl::startRaiseTimer() {
    const auto wait = std::max(limit_.nextRaise() - clock_.now(), Duration::zero());
    raise_timer_ = clock_.startTimer(wait, [this] { onRaiseDue(); });
}

void ConnectionControl::onRaiseDue() {
    limit_.raiseIfDue(clock_.now(), slots_);
    if (limit_.limit()) {
        startRaiseTimer();
    }
    applyLimit();
}

void ConnectionControl::applyLimit() {
    const auto connections = limit_.limit().value_or(slots_);
    const auto started = slow_start_.limit().value_or(slots_);
    queue_.setLimit(std::min({slots_, connections, started}));
}

void ConnectionControl::logRefused(std::size_t others) {
    ++refused_since_;
    if (clock_.now() - logged_at_ < kLogInterval) {
        return;
    }
    logged_at_ = clock_.now();
    log_.write(Event("connection_refused")
                   .with("peer", address_)
                   .with("instance", instance::incarnationName(instance_.record()))
                   .with("open", others)
                   .with("count", std::exchange(refused_since_, 0)));
}

}  // namespace dewcrank::relay
