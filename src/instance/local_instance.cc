#include "src/instance/local_instance.h"

#include <algorithm>

namespace dewcrank::instance {

namespace {

/// Lives that are remembered, so that late messages of them change nothing: more than are lost within the time for
/// which a message may be held up, where an instance is started anew each second.
constexpr std::size_t kMostLives = 64;
/// A life that seems to have started before the present one, which has ended, is heard for so long before it is taken:
/// heartbeats that were held up by a cut arrive together, those of an instance whose clock was set back go on.
constexpr Duration kEarlierLifeWait = 1s;

}  // namespace

std::string incarnationName(const wire::InstanceRecord& record) {
    return record.born_ms() == 0 ? record.id() : record.id() + "@" + std::to_string(record.born_ms());
}

LocalInstance::LocalInstance(Clock& clock, Duration longest_silence)
    : clock_(clock), longest_silence_(longest_silence) {}

LocalInstance::Past& LocalInstance::pastOf(const Life& life) {
    auto& past = known_lives_[life];
    past.touched = ++last_touch_;
    if (known_lives_.size() > kMostLives) {
        const auto own = present();
        const auto oldest =
            std::min_element(known_lives_.begin(), known_lives_.end(), [&own](const auto& left, const auto& right) {
                return std::make_pair(left.first == own, left.second.touched) <
                       std::make_pair(right.first == own, right.second.touched);
            });
        known_lives_.erase(oldest);
    }
    return known_lives_[life];
}

/// True if a life that is heard is the present one from now on.
bool LocalInstance::succeeds(const Life& life, Past* past) {
    const auto own = present();
    if (own.first.empty() || life == own) {
        return true;
    }
    const bool are_starts_told = life.second > 0 && own.second > 0;
    if (!are_starts_told && life.first == own.first) {
        return life.second > own.second;
    }
    if (!are_starts_told || life.second >= own.second) {
        return true;
    }
    const bool has_own_ended = record_.state() == wire::INSTANCE_UNKNOWN || record_.state() == wire::INSTANCE_GONE;
    if (!has_own_ended) {
        past->waiting_since.reset();
        return false;
    }
    past->waiting_since = past->waiting_since.value_or(clock_.now());
    return clock_.now() - *past->waiting_since >= kEarlierLifeWait;
}

bool LocalInstance::onHeartbeat(const Heartbeat& heartbeat) {
    const Life life{heartbeat.id, heartbeat.born_ms};
    auto& past = pastOf(life);
    if (past.is_gone || (past.sequence > 0 && heartbeat.sequence <= past.sequence)) {
        return false;
    }
    past.sequence = heartbeat.sequence;
    if (!succeeds(life, &past)) {
        return false;
    }
    last_heard_ = clock_.now();
    watchSilence();
    wire::InstanceRecord record;
    record.set_service(heartbeat.service);
    record.set_id(heartbeat.id);
    record.set_born_ms(heartbeat.born_ms);
    record.set_slots(heartbeat.slots);
    record.set_state(heartbeat.is_draining ? wire::INSTANCE_DRAINING : wire::INSTANCE_READY);
    record.set_cold_left_ms(static_cast<std::uint32_t>(toMilliseconds(heartbeat.cold_left)));
    // The cold time runs off by itself: it is no change.
    const bool is_change = life != present() || record.state() != record_.state() ||
                           record.slots() != record_.slots() || record.service() != record_.service();
    if (is_change) {
        record_ = record;
        signal_changed_.emit();
    }
    return true;
}

/// A leave that does not say of which life it is ends the one that is there: taken for an earlier one's, it would be
/// acknowledged while the instance goes on getting requests. The leave of a later life tells that this one has ended.
void LocalInstance::onLeave(const std::string& id, std::uint64_t born_ms) {
    const auto own = present();
    const bool is_own = own.first.empty() || (own.first == id && (born_ms == 0 || own.second == 0));
    const Life life{id, born_ms == 0 && is_own ? own.second : born_ms};
    pastOf(life).is_gone = true;
    const bool is_later = own.second > 0 && born_ms > own.second;
    if (is_own || is_later || life == own) {
        record_.set_id(id);
        record_.set_born_ms(life.second);
        setState(wire::INSTANCE_GONE);
    }
}

void LocalInstance::onUnreachable() {
    if (isReady()) {
        setState(wire::INSTANCE_UNKNOWN);
    }
}

void LocalInstance::onWoken() {
    if (isReady()) {
        last_heard_ = clock_.now();
        watchSilence();
    }
}

void LocalInstance::onMisdirected(const std::string& expected) {
    if (record_.id() == expected) {
        pastOf(present()).is_gone = true;
        setState(wire::INSTANCE_GONE);
    }
}

void LocalInstance::setState(wire::InstanceState state) {
    if (record_.state() != state) {
        record_.set_state(state);
        signal_changed_.emit();
    }
}

void LocalInstance::watchSilence() {
    silence_timer_ = clock_.startTimer(longest_silence_, [this] {
        if (clock_.now() - last_heard_ >= longest_silence_) {
            onUnreachable();
        } else {
            watchSilence();
        }
    });
}

}  // namespace dewcrank::instance
