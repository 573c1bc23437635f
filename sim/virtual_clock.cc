#include "sim/virtual_clock.h"

#include <algorithm>
#include <utility>

namespace dewcrank::sim {

namespace {

/// Cancels its callback when destroyed.
class VirtualTimer : public Timer {
public:
    explicit VirtualTimer(std::shared_ptr<std::function<void()>> callback) : callback_(std::move(callback)) {}
    ~VirtualTimer() override { *callback_ = nullptr; }
    VirtualTimer(const VirtualTimer&) = delete;
    VirtualTimer& operator=(const VirtualTimer&) = delete;

private:
    std::shared_ptr<std::function<void()>> callback_;
};

}  // namespace

void EventQueue::schedule(TimePoint at, Host* host, std::function<void()> action) {
    add({at, 0, host, 0, std::move(action), false, {}});
}

void EventQueue::add(Entry entry) {
    entry.at = std::max(entry.at, now_);
    entry.sequence = ++last_sequence_;
    entry.incarnation = entry.host == nullptr ? 0 : entry.host->incarnation_;
    entries_.push(std::move(entry));
}

bool EventQueue::dropOrPostpone(Entry* entry) {
    auto* host = entry->host;
    if (host == nullptr) {
        return false;
    }
    if (!host->is_up_ || host->incarnation_ != entry->incarnation) {
        return true;
    }
    if (host->is_frozen_) {
        host->postponed_.push_back(std::move(*entry));
        return true;
    }
    const auto suspended_since = host->total_suspended_ - entry->host_suspended;
    if (entry->is_timer && !host->counts_suspension_ && suspended_since > Duration::zero()) {
        entry->at += suspended_since;
        entry->host_suspended = host->total_suspended_;
        add(std::move(*entry));
        return true;
    }
    return false;
}

std::uint64_t EventQueue::runUntil(TimePoint end) {
    std::uint64_t count = 0;
    while (!entries_.empty() && entries_.top().at <= end) {
        auto entry = entries_.top();
        entries_.pop();
        now_ = entry.at;
        if (dropOrPostpone(&entry)) {
            continue;
        }
        entry.action();
        ++count;
        if (observer_) {
            observer_();
        }
    }
    now_ = end;
    return count;
}

TimePoint Host::now() const {
    const auto counted_time = counts_suspension_ ? queue_.now() : queue_.now() - total_suspended_;
    const auto true_time = static_cast<double>(counted_time.time_since_epoch().count());
    return TimePoint(Duration(static_cast<std::int64_t>(true_time * clock_rate_)));
}

TimerHandle Host::startTimer(Duration delay, std::function<void()> callback) {
    auto shared = std::make_shared<std::function<void()>>(std::move(callback));
    const auto true_delay = Duration(static_cast<std::int64_t>(static_cast<double>(delay.count()) / clock_rate_));
    const auto fire = [shared] {
        if (const auto due = std::exchange(*shared, nullptr)) {
            due();
        }
    };
    queue_.add({queue_.now() + true_delay, 0, this, 0, fire, true, total_suspended_});
    return std::make_unique<VirtualTimer>(std::move(shared));
}

void Host::kill() {
    is_up_ = false;
    is_frozen_ = false;
    ++incarnation_;
    postponed_.clear();
}

void Host::resume() {
    is_frozen_ = false;
    for (auto& entry : std::exchange(postponed_, {})) {
        queue_.add(std::move(entry));
    }
}

void Host::suspend() {
    freeze();
    suspended_at_ = queue_.now();
}

void Host::wake() {
    if (!is_frozen_) {
        return;  // The host was killed while it was suspended.
    }
    total_suspended_ += queue_.now() - suspended_at_;
    std::stable_partition(postponed_.begin(), postponed_.end(), [](const auto& entry) { return !entry.is_timer; });
    resume();
}

}  // namespace dewcrank::sim
