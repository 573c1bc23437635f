/// @file
/// Virtual time for deterministic simulations: an event queue, and the hosts on which events run.
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

/// A discrete-event scheduler. Events with the same time run in the order in which they were scheduled.
class EventQueue {
public:
    /// @return the current virtual time.
    [[nodiscard]] TimePoint now() const { return now_; }
    /// Runs `action` at time `at`, or now if that has passed.
    /// @param host where the action runs; null: nowhere in particular, it always runs. The action is dropped if the
    /// host is killed before, and postponed while the host is frozen or suspended.
    void schedule(TimePoint at, Host* host, std::function<void()> action);
    /// Runs all events up to and including `end`, and advances the time to `end`.
    /// @return the number of events that ran.
    std::uint64_t runUntil(TimePoint end);
    /// Sets a function that is called after every event.
    void setObserver(std::function<void()> observer) { observer_ = std::move(observer); }

private:
    friend class Host;
    struct Entry {
        TimePoint at;
        std::uint64_t sequence = 0;  ///< Orders entries of the same time.
        Host* host = nullptr;
        std::uint64_t incarnation = 0;  ///< Of the host, when the entry was added.
        std::function<void()> action;
        bool is_timer = false;      ///< Set by Host::startTimer().
        Duration host_suspended{};  ///< Total time that the host had been suspended when the timer was set.
    };
    void add(Entry entry);
    /// Drops the entry if its host was killed, postpones it if the host is frozen, and delays a timer by the time that
    /// its host was suspended, if the host's clock does not count that.
    /// @return false if the entry is to run now.
    bool dropOrPostpone(Entry* entry);
    struct RunsLater {
        bool operator()(const Entry& left, const Entry& right) const {
            return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
        }
    };

    TimePoint now_{};
    std::uint64_t last_sequence_ = 0;
    std::priority_queue<Entry, std::vector<Entry>, RunsLater> entries_;
    std::function<void()> observer_;
};

/// A simulated machine or process with its own clock. It can be killed and restarted without its state, and frozen or
/// suspended and resumed with it.
class Host : public Clock {
public:
    Host(EventQueue& queue, std::string zone) : queue_(queue), zone_(std::move(zone)) {}

    /// @return the host's own time, which differs from the queue's by the clock rate and uncounted suspensions.
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] TimerHandle startTimer(Duration delay, std::function<void()> callback) override;

    /// Stops the host. Pending events and timers of this host are dropped.
    void kill();
    void restart() { is_up_ = true; }
    /// Postpones all events of this host until `resume`.
    void freeze() { is_frozen_ = true; }
    /// Ends a freeze. Postponed events run now, in their order.
    void resume();
    /// Freezes the host as a machine that is put to sleep.
    void suspend();
    /// Ends a suspension. Postponed network events run before timers that are due.
    void wake();
    /// @param counts false: clock and timers of the host stand still during suspensions, as CLOCK_MONOTONIC does.
    void setClockCountsSuspension(bool counts) { counts_suspension_ = counts; }
    [[nodiscard]] bool countsSuspension() const { return counts_suspension_; }
    /// @param rate host seconds per second of virtual time; 1.01: the clock is 1 % fast.
    void setClockRate(double rate) { clock_rate_ = rate; }

    [[nodiscard]] bool isUp() const { return is_up_; }
    /// True also while the host is suspended.
    [[nodiscard]] bool isFrozen() const { return is_frozen_; }
    /// @return a number that grows with each `kill`.
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    [[nodiscard]] const std::string& zone() const { return zone_; }

private:
    friend class EventQueue;
    EventQueue& queue_;
    std::string zone_;
    bool is_up_ = true;
    bool is_frozen_ = false;
    std::uint64_t incarnation_ = 1;
    double clock_rate_ = 1;
    bool counts_suspension_ = true;
    TimePoint suspended_at_{};
    Duration total_suspended_{};  ///< Sum of all ended suspensions.
    std::vector<EventQueue::Entry> postponed_;
};

}  // namespace dewcrank::sim
