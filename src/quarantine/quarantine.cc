#include "src/quarantine/quarantine.h"

#include <algorithm>

namespace dewcrank::quarantine {

Quarantine::Quarantine(Clock& clock, QuarantineKnobs knobs)
    : clock_(clock), knobs_(knobs), recent_completions_(knobs.recent_completions) {}

QuarantineState Quarantine::state(Fingerprint fingerprint) const {
    const auto now = clock_.now();
    const auto record = records_.find(fingerprint);
    if (record != records_.end() && !record->second.is_released) {
        return record->second.until > now ? QuarantineState::kQuarantined : QuarantineState::kSuspect;
    }
    const auto suspect = suspects_.find(fingerprint);
    return suspect != suspects_.end() && suspect->second > now ? QuarantineState::kSuspect : QuarantineState::kClear;
}

Duration Quarantine::remainingTerm(Fingerprint fingerprint) const {
    const auto it = records_.find(fingerprint);
    if (it == records_.end() || it->second.is_released) {
        return {};
    }
    return std::max(Duration::zero(), it->second.until - clock_.now());
}

bool Quarantine::markSuspect(Fingerprint fingerprint) {
    if (hasRecentlyCompleted(fingerprint)) {
        return false;
    }
    suspects_[fingerprint] = clock_.now() + knobs_.suspicion_timeout;
    evictStale();
    return true;
}

void Quarantine::markQuarantined(Fingerprint fingerprint) {
    suspects_.erase(fingerprint);
    updateRecord(fingerprint, false);
}

void Quarantine::release(Fingerprint fingerprint) {
    suspects_.erase(fingerprint);
    const auto it = records_.find(fingerprint);
    if (it != records_.end() && !it->second.is_released) {
        updateRecord(fingerprint, true);
    }
}

void Quarantine::onCompleted(Fingerprint fingerprint) {
    recent_completions_.add(clock_.now(), fingerprint);
    release(fingerprint);
}

void Quarantine::onCompletedElsewhere(Fingerprint fingerprint) {
    release(fingerprint);
}

bool Quarantine::hasRecentlyCompleted(Fingerprint fingerprint) const {
    return recent_completions_.contains(clock_.now(), fingerprint);
}

void Quarantine::updateRecord(Fingerprint fingerprint, bool is_released) {
    auto& it = records_[fingerprint];
    ++it.version;
    it.is_released = is_released;
    it.until = clock_.now() + std::min(knobs_.max_term, knobs_.initial_term * it.version);
    evictStale();
}

/// If two relays have changed a record concurrently, quarantine takes precedence over release.
bool Quarantine::merge(const wire::QuarantineRecord& record) {
    const auto& known = records_.find(record.fingerprint());
    const bool is_known = known != records_.end();
    const bool is_newer = !is_known || record.version() > known->second.version;
    const bool is_stricter =
        is_known && record.version() == known->second.version && known->second.is_released && !record.is_released();
    const bool is_contradicted = !record.is_released() && hasRecentlyCompleted(record.fingerprint());
    if ((!is_newer && !is_stricter) || is_contradicted) {
        return false;
    }
    const Duration remaining_term = std::min<Duration>(std::chrono::milliseconds(record.left_ms()), knobs_.max_term);
    records_[record.fingerprint()] = {record.version(), record.is_released(), clock_.now() + remaining_term};
    suspects_.erase(record.fingerprint());
    evictStale();
    return true;
}

std::vector<wire::QuarantineRecord> Quarantine::records() const {
    std::vector<wire::QuarantineRecord> all;
    for (const auto& [fingerprint, it] : records_) {
        const auto remaining_term = std::max(Duration::zero(), it.until - clock_.now());
        wire::QuarantineRecord record;
        record.set_fingerprint(fingerprint);
        record.set_version(it.version);
        record.set_is_released(it.is_released);
        record.set_left_ms(static_cast<std::uint32_t>(toMilliseconds(remaining_term)));
        all.push_back(std::move(record));
    }
    return all;
}

std::vector<Fingerprint> Quarantine::suspects() const {
    std::vector<Fingerprint> all;
    for (const auto& [fingerprint, until] : suspects_) {
        if (until > clock_.now()) {
            all.push_back(fingerprint);
        }
    }
    return all;
}

std::size_t Quarantine::quarantinedCount() const {
    return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(), [this](const auto& entry) {
        return !entry.second.is_released && entry.second.until > clock_.now();
    }));
}

/// A record is kept for `initial_term` after the end of its own term; its request counts as a suspect meanwhile.
void Quarantine::evictStale() {
    const auto now = clock_.now();
    std::erase_if(records_, [&](const auto& entry) { return entry.second.until + knobs_.initial_term < now; });
    while (records_.size() > knobs_.max_records) {
        records_.erase(std::min_element(records_.begin(), records_.end(),
                                        [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
    }
    if (suspects_.size() <= knobs_.max_suspects) {
        return;
    }
    std::erase_if(suspects_, [now](const auto& entry) { return entry.second <= now; });
    while (suspects_.size() > knobs_.max_suspects) {
        suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
}

}  // namespace dewcrank::quarantine
