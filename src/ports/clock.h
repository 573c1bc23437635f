/// @file
/// Clock and timer interface: the event loop in the daemon, virtual time in the simulator.
#pragma once

#include <functional>
#include <memory>

#include "src/base/time.h"

namespace dewcrank {

/// A pending timer; destroying the handle cancels it.
class Timer {
public:
    virtual ~Timer() = default;
};
using TimerHandle = std::unique_ptr<Timer>;

/// A monotonic clock with one-shot timers. All callbacks run on the event loop's thread.
class Clock {
public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;
    /// Calls `callback` once after `delay`, unless the handle is destroyed first.
    /// The handle may be destroyed or replaced from inside the callback.
    [[nodiscard]] virtual TimerHandle startTimer(Duration delay, std::function<void()> callback) = 0;
};

}  // namespace dewcrank
