/// @file
/// Single-threaded event loop of a process, on libevent.
#pragma once

#include <event2/event.h>
#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <vector>

#include "src/ports/clock.h"

namespace dewcrank::adapters {

/// Converts a duration to a timeval; a negative duration becomes zero.
timeval toTimeval(Duration duration);

/// Clock sources of a loop. Tests substitute their own.
struct LoopClocks {
    TimePoint (*boottime)();   ///< CLOCK_BOOTTIME: advances while the machine is suspended.
    TimePoint (*monotonic)();  ///< CLOCK_MONOTONIC: stops during a suspension. libevent timers use it.
};
extern const LoopClocks kSystemClocks;

/// A libevent loop with its clock and timers.
///
/// The clock includes the time for which the machine was suspended, so deadlines and leases expire during a
/// suspension as they do on other machines. libevent timers do not advance meanwhile: the first `now` after the
/// resume rearms all pending timers. Pending input is read before overdue timers fire.
class EventLoop : public Clock {
public:
    explicit EventLoop(const LoopClocks& clocks = kSystemClocks);
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] TimerHandle startTimer(Duration delay, std::function<void()> callback) override;

    /// Runs `callback` from the loop each time the process receives the signal.
    void onSignal(int signal_number, std::function<void()> callback);
    /// Runs the loop until `stop` is called.
    void run();
    void stop();
    [[nodiscard]] event_base* base() const { return base_; }
    /// Emitted from the loop after the machine resumes, with the duration of the suspension.
    sigc::signal<void(Duration)>& signalResumed() { return signal_resumed_; }

private:
    struct SignalHandler;
    class LoopTimer;
    /// Starts a timer that fires at `due`.
    [[nodiscard]] TimerHandle startTimerAt(TimePoint due, std::function<void()> callback) const;
    /// Rearms all timers after a suspension. @param suspended total since boot.
    void onResumed(TimePoint now, Duration suspended) const;

    LoopClocks clocks_;
    event_base* base_;
    // Mutable, because `now` detects a suspension and rearms the timers.
    mutable LoopTimer* timers_ = nullptr;  ///< Head of the list of pending timers.
    mutable Duration total_suspended_;     ///< Total time in suspension since boot, at the last check.
    mutable TimerHandle resumed_timer_;    ///< Emits `signal_resumed_`.
    sigc::signal<void(Duration)> signal_resumed_;
    std::vector<std::unique_ptr<SignalHandler>> signal_handlers_;
};

}  // namespace dewcrank::adapters
