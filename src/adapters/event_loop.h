/// @file
/// The loop of a process: libevent, on one thread.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>
#include <vector>

#include "src/ports/clock.h"

namespace dewcrank::adapters {

/// A duration as libevent takes it; a negative one counts as none.
timeval toTimeval(Duration duration);

/// A libevent loop, and the clock and timers that run on it.
class EventLoop : public Clock {
public:
    EventLoop();
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

private:
    struct SignalWatch;
    event_base* base_;
    std::vector<std::unique_ptr<SignalWatch>> signals_;
};

}  // namespace dewcrank::adapters
