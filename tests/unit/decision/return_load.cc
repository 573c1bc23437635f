#include "tests/unit/decision/return_load.h"

#include <algorithm>
#include <cmath>

namespace dewcrank::tests {

namespace {

constexpr TimePoint kStart(100s);
constexpr Duration kWarmUp = 2s;
constexpr Duration kAfter = 3s;
constexpr Duration kRoomTime = 1500ms;
/// Load before and after the burst, and in it, as a share of the capacity.
constexpr double kUsualLoad = 0.7;
constexpr double kBurstLoad = 1.7;
constexpr Duration kRunTime = 30ms;
constexpr Duration kNetworkTime = 2ms;
constexpr Duration kAtOnceGap = 60ms;
constexpr int kAtOnceReturns = 3;
constexpr Duration kTenth = 100ms;
constexpr std::int64_t kWindow = 10;  ///< Tenths over which the demand is measured.
const std::string kRoute = "browse";

std::int64_t tenthOf(TimePoint at) {
    return at.time_since_epoch() / kTenth;
}

}  // namespace

ReturnLoadPlay::ReturnLoadPlay(ReturnLoad load)
    : load_(std::move(load)),
      random_(load_.seed),
      burst_begin_(kStart + kWarmUp),
      burst_end_(burst_begin_ + load_.burst),
      free_at_(kStart) {
    restartNodes();
    scheduleNewCallers();
}

void ReturnLoadPlay::restartNodes() {
    nodes_.clear();
    for (std::size_t node = 0; node < load_.nodes; ++node) {
        nodes_.push_back(std::make_unique<Node>(random_));
    }
}

void ReturnLoadPlay::scheduleNewCallers() {
    for (auto at = kStart; at < burst_end_ + kAfter;) {
        const bool in_burst = at >= burst_begin_ && at < burst_end_;
        const double rate = load_.capacity * (in_burst ? kBurstLoad : kUsualLoad);
        attempts_.emplace(at, callers_.size());
        const bool is_short = load_.short_timeout_share > 0 && random_.unit() < load_.short_timeout_share;
        const auto timeout = is_short ? load_.timeout * 3 / 5 : load_.timeout;
        callers_.push_back({at, timeout, random_.unit() >= load_.at_once_share, in_burst});
        at += fromSeconds(-std::log(1 - random_.unit()) / rate);
    }
}

ReturnOutcome ReturnLoadPlay::run() {
    bool is_restart_due = load_.nodes_restart_at != TimePoint{};
    while (!attempts_.empty()) {
        const auto next = attempts_.extract(attempts_.begin());
        if (is_restart_due && next.key() >= load_.nodes_restart_at) {
            is_restart_due = false;
            restartNodes();
        }
        attempt(next.key(), next.mapped());
    }
    for (const auto& caller : callers_) {
        outcome_.callers.sent += caller.in_burst ? 1 : 0;
        outcome_.callers.served += caller.in_burst && caller.is_served ? 1 : 0;
    }
    for (const auto& node : nodes_) {
        const auto& totals = node->returns.totals();
        outcome_.totals.reserved += totals.reserved;
        outcome_.totals.kept += totals.kept;
        outcome_.totals.at_once += totals.at_once;
        outcome_.totals.unreserved += totals.unreserved;
        outcome_.totals.refused_again += totals.refused_again;
    }
    return outcome_;
}

/// As the relays measure it: all requests that arrived at entries in the last second, against the target utilization.
double ReturnLoadPlay::admitRatio(TimePoint now) const {
    double arrived = 0;
    for (auto it = arrivals_.lower_bound(tenthOf(now) - kWindow); it != arrivals_.lower_bound(tenthOf(now)); ++it) {
        arrived += it->second;
    }
    const double target = 0.97 * load_.capacity * toSeconds(kTenth * kWindow);
    return arrived <= target ? 1 : target / arrived;
}

std::string ReturnLoadPlay::bottleneckAt(TimePoint now) const {
    const bool has_changed = load_.bottleneck_changes_at != TimePoint{} && now >= load_.bottleneck_changes_at;
    return has_changed ? "store" : "leaf";
}

bool ReturnLoadPlay::admits(TimePoint now, Node* node, Received* received) {
    const decision::Bottleneck bottleneck{bottleneckAt(now), admitRatio(now), kRunTime};
    const bool is_client_retry = node->deadlines.isShortened(now, kRoute, received->remaining);
    if (!load_.is_on) {
        return node->admission.admits(now, bottleneck, {0, is_client_retry});
    }
    received->since_first = is_client_retry ? node->deadlines.usual(kRoute) - received->remaining : Duration::zero();
    const auto decision = decision::admitReturn(now, bottleneck, {0, is_client_retry}, received->since_first,
                                                &node->admission, &node->returns);
    received->may_reserve = decision.may_reserve;
    return decision.is_admitted;
}

/// Requests run at a fixed rate, in order of arrival; the queue is bounded as by a relay's expected wait.
bool ReturnLoadPlay::serves(TimePoint now, const Caller& caller) {
    const auto begin = std::max(now, free_at_);
    const auto end = begin + kRunTime;
    if (begin - now > caller.timeout / 4 || end > caller.first + caller.timeout) {
        return false;
    }
    free_at_ = begin + fromSeconds(1 / load_.capacity);
    return true;
}

Duration ReturnLoadPlay::retryAfter(TimePoint now, Node* node, const Received& received) {
    if (load_.is_on && received.may_reserve) {
        if (const auto reserved =
                node->returns.reserve(now, bottleneckAt(now), {0, received.since_first, received.remaining})) {
            return *reserved;
        }
    }
    return 500ms + fromSeconds(random_.unit() * 1.1);
}

void ReturnLoadPlay::attempt(TimePoint now, std::size_t index) {
    auto& caller = callers_[index];
    ++caller.attempts;
    auto& node = *nodes_[random_.below(nodes_.size())];
    const auto remaining = caller.timeout - (now - caller.first);
    Received received{std::chrono::milliseconds(toMilliseconds(remaining))};
    arrivals_[tenthOf(now)] += 1;
    const auto arrived = now + kNetworkTime;
    const bool is_served = admits(arrived, &node, &received) && serves(arrived, caller);
    count(now, caller, is_served);
    caller.is_served = caller.is_served || is_served;
    if (!is_served) {
        onRejected(arrived + kNetworkTime, index, retryAfter(arrived, &node, received));
    }
}

void ReturnLoadPlay::onRejected(TimePoint now, std::size_t index, Duration retry_after) {
    const auto& caller = callers_[index];
    if (caller.attempts > (caller.waits ? 1 : kAtOnceReturns)) {
        return;
    }
    const auto remaining = caller.first + caller.timeout - now;
    const auto told = std::min(retry_after, remaining / 3);
    const auto wait = caller.waits ? fromSeconds(toSeconds(told) / load_.timer_speed) : kAtOnceGap;
    attempts_.emplace(now + wait, index);
}

void ReturnLoadPlay::count(TimePoint now, const Caller& caller, bool is_served) {
    if (!caller.in_burst) {
        return;
    }
    const bool is_first = caller.attempts == 1;
    auto& kind = is_first ? outcome_.first_attempts : caller.waits ? outcome_.told : outcome_.at_once;
    kind.sent += 1;
    kind.served += is_served ? 1 : 0;
    if (!is_first && caller.waits) {
        const bool is_in_room = now >= burst_end_ && now < burst_end_ + kRoomTime;
        outcome_.told_served_after_burst += is_served && is_in_room ? 1 : 0;
        outcome_.refused_twice += is_served ? 0 : 1;
    }
}

}  // namespace dewcrank::tests
