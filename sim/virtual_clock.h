/// @file
/// Virtual time: a queue of events, and the hosts on which they happen.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "src/ports/clock.h"

namespace dewcrank::sim {

class Host;

/// The one queue of a simulation. Events of the same time run in the order of scheduling.
class EventQueue {
public:
    [[nodiscard]] TimePoint now() const { return now_; }
    /// Runs `action` at `at`. With a host: only if the host lives as it does now, and not
    /// while it is frozen or suspended.
    void schedule(TimePoint at, Host* host, std::function<void()> action);
    /// Runs all events up to `end`. @return how many were run.
    std::uint64_t runUntil(TimePoint end);
    /// Called after every event.
    void setObserver(std::function<void()> observer) { observer_ = std::move(observer); }

private:
    friend class Host;
    struct Entry {
        TimePoint at;
        std::uint64_t sequence = 0;
        Host* host = nullptr;
        std::uint64_t life = 0;
        std::function<void()> action;
        bool is_timer = false;  ///< Of the host itself.
        Duration suspended{};   ///< That the host had been suspended for when it was set.
    };
    void add(Entry entry);
    /// @return true if a host's entry does not run now, for good or until the host goes on.
    bool isHeldBack(Entry* entry);
    struct Later {
        bool operator()(const Entry& left, const Entry& right) const {
            return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
        }
    };

    TimePoint now_{};
    std::uint64_t last_sequence_ = 0;
    std::priority_queue<Entry, std::vector<Entry>, Later> entries_;
    std::function<void()> observer_;
};

/// A machine: it can die, start again with empty memory, freeze and go on. Its clock may run
/// at another rate than true time.
class Host : public Clock {
public:
    Host(EventQueue& queue, std::string zone) : queue_(queue), zone_(std::move(zone)) {}

    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] TimerHandle startTimer(Duration delay, std::function<void()> callback) override;

    /// Everything that waits on this host is lost.
    void kill();
    void restart() { is_up_ = true; }
    void freeze() { is_frozen_ = true; }
    /// What became due while the host was frozen happens now, in order.
    void resume();
    /// The machine stands still. On waking what has come in is read first, then timers that are due fire.
    void suspend();
    void wake();
    /// False: the host's clock and its timers do not count the time of suspensions, as CLOCK_MONOTONIC does not.
    void setClockCountsSuspension(bool counts) { counts_suspension_ = counts; }
    [[nodiscard]] bool countsSuspension() const { return counts_suspension_; }
    /// 1.01: this host's clock gains one second in a hundred.
    void setClockRate(double rate) { clock_rate_ = rate; }

    [[nodiscard]] bool isUp() const { return is_up_; }
    [[nodiscard]] bool isFrozen() const { return is_frozen_; }
    [[nodiscard]] std::uint64_t life() const { return life_; }
    [[nodiscard]] const std::string& zone() const { return zone_; }

private:
    friend class EventQueue;
    EventQueue& queue_;
    std::string zone_;
    bool is_up_ = true;
    bool is_frozen_ = false;
    std::uint64_t life_ = 1;
    double clock_rate_ = 1;
    bool counts_suspension_ = true;
    TimePoint suspended_at_{};
    Duration suspended_{};  ///< In all, up to the last waking.
    std::vector<EventQueue::Entry> postponed_;
};

}  // namespace dewcrank::sim
