#include "src/instance/local_instance.h"

#include <algorithm>

namespace dewcrank::instance {

namespace {

/// Former incarnations are kept so that their delayed messages are ignored: enough for an instance that restarts every
/// second while messages are delayed by up to a minute.
constexpr std::size_t kMaxIncarnations = 64;
/// Time for which an incarnation with an earlier start time has to send heartbeats before it replaces one that is down.
/// Distinguishes an instance whose clock was set back from delayed heartbeats, which arrive together.
constexpr Duration kEarlierStartDelay = 1s;

}  // namespace

std::string incarnationName(const std::string& id, std::uint64_t start_ms) {
    return start_ms == 0 ? id : id + "@" + std::to_string(start_ms);
}

std::string incarnationName(const wire::InstanceRecord& record) {
    return incarnationName(record.id(), record.born_ms());
}

LocalInstance::LocalInstance(Clock& clock, Duration contact_timeout)
    : clock_(clock), contact_timeout_(contact_timeout) {}

LocalInstance::IncarnationState& LocalInstance::stateOf(const Incarnation& incarnation) {
    auto& state = incarnations_[incarnation];
    state.last_use = ++last_use_;
    if (incarnations_.size() > kMaxIncarnations) {
        const auto active = current();
        const auto oldest = std::min_element(incarnations_.begin(), incarnations_.end(),
                                             [&active](const auto& left, const auto& right) {
                                                 return std::make_pair(left.first == active, left.second.last_use) <
                                                        std::make_pair(right.first == active, right.second.last_use);
                                             });
        incarnations_.erase(oldest);
    }
    return incarnations_[incarnation];
}

/// @return whether the incarnation that sent a heartbeat is the current one from now on.
bool LocalInstance::replacesCurrent(const Incarnation& incarnation, IncarnationState* state) {
    const auto active = current();
    if (active.first.empty() || incarnation == active) {
        return true;
    }
    if (state->is_leaving && isReady()) {
        return false;  // It may be delayed, and has nothing to offer.
    }
    const bool are_starts_known = incarnation.second > 0 && active.second > 0;
    if (!are_starts_known && incarnation.first == active.first) {
        return incarnation.second > active.second;
    }
    if (!are_starts_known || incarnation.second >= active.second) {
        return true;
    }
    const bool is_current_down = record_.state() == wire::INSTANCE_UNKNOWN || record_.state() == wire::INSTANCE_GONE;
    if (!is_current_down) {
        state->first_seen.reset();
        return false;
    }
    state->first_seen = state->first_seen.value_or(clock_.now());
    return clock_.now() - *state->first_seen >= kEarlierStartDelay;
}

bool LocalInstance::onHeartbeat(const Heartbeat& heartbeat) {
    const Incarnation incarnation{heartbeat.id, heartbeat.start_ms};
    auto& state = stateOf(incarnation);
    if (state.has_left || (state.sequence > 0 && heartbeat.sequence <= state.sequence)) {
        return false;
    }
    state.sequence = heartbeat.sequence;
    if (heartbeat.is_draining && recordLeave(&state, false)) {
        signal_leaves_changed_.emit();
    }
    if (!replacesCurrent(incarnation, &state)) {
        return false;
    }
    last_contact_ = clock_.now();
    startContactTimer();
    wire::InstanceRecord record;
    record.set_service(heartbeat.service);
    record.set_id(heartbeat.id);
    record.set_born_ms(heartbeat.start_ms);
    record.set_slots(heartbeat.slots);
    record.set_state(state.is_leaving ? wire::INSTANCE_DRAINING : wire::INSTANCE_READY);
    record.set_cold_left_ms(static_cast<std::uint32_t>(toMilliseconds(heartbeat.cold_left)));
    // The remaining warm-up time passes by itself and does not count as a change.
    const bool is_change = incarnation != current() || record.state() != record_.state() ||
                           record.slots() != record_.slots() || record.service() != record_.service();
    if (is_change) {
        record_ = record;
        signal_changed_.emit();
    }
    return true;
}

/// An announcement without a start time applies to the current incarnation: if it were ignored, an instance that is
/// stopping would still be sent requests. The announcement of a later incarnation implies that the current one is gone
/// as well.
void LocalInstance::onLeave(const std::string& id, std::uint64_t start_ms) {
    const auto active = current();
    const bool names_current = active.first.empty() || (active.first == id && (start_ms == 0 || active.second == 0));
    const Incarnation incarnation{id, start_ms == 0 && names_current ? active.second : start_ms};
    if (recordLeave(&stateOf(incarnation), true)) {
        signal_leaves_changed_.emit();
    }
    const bool is_later = active.second > 0 && start_ms > active.second;
    if (names_current || is_later || incarnation == active) {
        record_.set_id(id);
        record_.set_born_ms(incarnation.second);
        setState(wire::INSTANCE_GONE);
    }
}

bool LocalInstance::onLeaving() {
    if (!recordLeave(&stateOf(current()), false)) {
        return false;
    }
    signal_leaves_changed_.emit();
    if (record_.state() == wire::INSTANCE_READY || record_.state() == wire::INSTANCE_UNKNOWN) {
        setState(wire::INSTANCE_DRAINING);
    }
    return true;
}

std::vector<wire::InstanceLeave> LocalInstance::leaves() const {
    std::map<std::uint64_t, wire::InstanceLeave> by_use;
    for (const auto& [incarnation, state] : incarnations_) {
        if (state.has_left || state.is_leaving) {
            auto& leave = by_use[state.last_use];
            leave.set_id(incarnation.first);
            leave.set_born_ms(incarnation.second);
            leave.set_has_left(state.has_left);
        }
    }
    std::vector<wire::InstanceLeave> leaves;
    leaves.reserve(by_use.size());
    for (const auto& [last_use, leave] : by_use) {
        leaves.push_back(leave);
    }
    const auto surplus = leaves.size() - std::min(leaves.size(), kMaxReportedLeaves);
    leaves.erase(leaves.begin(), leaves.begin() + static_cast<std::ptrdiff_t>(surplus));
    return leaves;
}

bool LocalInstance::restoreLeaves(const std::vector<wire::InstanceLeave>& leaves) {
    bool is_any_new = false;
    for (const auto& leave : leaves) {
        is_any_new = restoreLeave(leave) || is_any_new;
    }
    if (is_any_new) {
        signal_leaves_changed_.emit();
    }
    return is_any_new;
}

bool LocalInstance::recordLeave(IncarnationState* state, bool has_left) {
    if (state->has_left || (state->is_leaving && !has_left)) {
        return false;
    }
    state->is_leaving = true;
    state->has_left = has_left;
    return true;
}

bool LocalInstance::restoreLeave(const wire::InstanceLeave& leave) {
    const Incarnation incarnation{leave.id(), leave.born_ms()};
    if (!recordLeave(&stateOf(incarnation), leave.has_left())) {
        return false;
    }
    if (incarnation == current()) {
        setState(leave.has_left() ? wire::INSTANCE_GONE : wire::INSTANCE_DRAINING);
    }
    return true;
}

void LocalInstance::onUnreachable() {
    if (isReady()) {
        setState(wire::INSTANCE_UNKNOWN);
    }
}

void LocalInstance::onReachable() {
    onResponse();
    if (isUnknown() && !record_.id().empty()) {
        startContactTimer();
        setState(wire::INSTANCE_READY);
    }
}

void LocalInstance::onHostResumed() {
    if (isReady()) {
        last_contact_ = clock_.now();
        startContactTimer();
    }
}

void LocalInstance::onMisdirected(const std::string& expected) {
    if (record_.id() == expected) {
        if (recordLeave(&stateOf(current()), true)) {
            signal_leaves_changed_.emit();
        }
        setState(wire::INSTANCE_GONE);
    }
}

void LocalInstance::setState(wire::InstanceState state) {
    if (record_.state() != state) {
        record_.set_state(state);
        signal_changed_.emit();
    }
}

void LocalInstance::startContactTimer() {
    contact_timer_ = clock_.startTimer(contact_timeout_, [this] {
        if (clock_.now() - last_contact_ >= contact_timeout_) {
            onUnreachable();
        } else {
            startContactTimer();
        }
    });
}

}  // namespace dewcrank::instance
