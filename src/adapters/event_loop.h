/// @file
/// The loop of a process: libevent, on one thread.
#pragma once

#include <event2/event.h>
#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <vector>

#include "src/ports/clock.h"

namespace dewcrank::adapters {

/// A duration as libevent takes it; a negative one counts as none.
timeval toTimeval(Duration duration);

/// The clocks that a loop goes by; tests give their own.
struct LoopClocks {
    TimePoint (*boottime)();   ///< CLOCK_BOOTTIME: goes on while the machine is suspended.
    TimePoint (*monotonic)();  ///< CLOCK_MONOTONIC: does not, and libevent's timers go by it.
};
extern const LoopClocks kSystemClocks;

/// A libevent loop, and the clock and timers that run on it.
///
/// Time goes on while the machine is suspended: deadlines, ages and terms run off, as they do for everybody
/// else. libevent's timers stand still meanwhile, so they are set anew when the loop next asks for the time;
/// what has come in is read before those that are due then fire.
class EventLoop : public Clock {
public:
    explicit EventLoop(const LoopClocks& clocks = kSystemClocks);
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] TimerHandle startTimer(Duration delay, std::function<void()> callback) override;

    /// Calls `callback` on each arrival of a signal, from the loop.
    void onSignal(int signal_number, std::function<void()> callback);
    /// Runs until `stop`.
    void run();
    void stop();
    [[nodiscard]] event_base* base() const { return base_; }
    /// Emitted from the loop with the time for which the machine was suspended.
    sigc::signal<void(Duration)>& signalResumed() { return signal_resumed_; }

private:
    struct SignalHandler;
    class LoopTimer;
    [[nodiscard]] TimerHandle startTimerAt(TimePoint due, std::function<void()> callback) const;
    void onResumed(TimePoint now, Duration suspended) const;

    LoopClocks clocks_;
    event_base* base_;
    // Asking for the time finds out that the machine was suspended, and sets the timers anew.
    mutable LoopTimer* timers_ = nullptr;  ///< All that are set, as a list.
    mutable Duration total_suspended_;     ///< Since the machine's start, as last measured.
    mutable TimerHandle resumed_timer_;
    sigc::signal<void(Duration)> signal_resumed_;
    std::vector<std::unique_ptr<SignalHandler>> signal_handlers_;
};

}  // namespace dewcrank::adapters
