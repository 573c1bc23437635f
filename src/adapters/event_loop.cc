#include "src/adapters/event_loop.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <stdexcept>
#include <utility>

namespace dewcrank::adapters {

timeval toTimeval(Duration duration) {
    const auto count = std::max<std::int64_t>(0, duration.count());
    timeval value{};
    value.tv_sec = count / 1'000'000;
    value.tv_usec = count % 1'000'000;
    return value;
}

namespace {

/// A smaller difference of the clocks is the delay between the two readings.
constexpr Duration kMinSuspension = 20ms;

TimePoint readClock(clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    const auto time_since_epoch = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(time_since_epoch));
}

}  // namespace

const LoopClocks kSystemClocks{[] { return readClock(CLOCK_BOOTTIME); }, [] { return readClock(CLOCK_MONOTONIC); }};

/// Linked into the list of its loop while pending.
class EventLoop::LoopTimer : public Timer {
public:
    LoopTimer(const EventLoop& loop, TimePoint due, std::function<void()> callback)
        : loop_(loop),
          due_(due),
          callback_(std::move(callback)),
          event_(evtimer_new(loop.base_, &LoopTimer::onFired, this)),
          next_(loop.timers_) {
        if (next_ != nullptr) {
            next_->previous_ = this;
        }
        loop_.timers_ = this;
    }
    ~LoopTimer() override {
        unlink();
        event_free(event_);
    }
    LoopTimer(const LoopTimer&) = delete;
    LoopTimer& operator=(const LoopTimer&) = delete;

    /// Starts the libevent timer, also when it is running already.
    void arm(TimePoint now) {
        const auto value = toTimeval(due_ - now);
        evtimer_add(event_, &value);
    }
    [[nodiscard]] LoopTimer* next() const { return next_; }

private:
    /// The callback may destroy this timer, so the callback is moved out first.
    static void onFired(evutil_socket_t, short, void* self) {
        auto* it = static_cast<LoopTimer*>(self);
        it->unlink();
        const auto callback = std::exchange(it->callback_, nullptr);
        callback();
    }
    void unlink() {
        if (!is_linked_) {
            return;
        }
        is_linked_ = false;
        (previous_ == nullptr ? loop_.timers_ : previous_->next_) = next_;
        if (next_ != nullptr) {
            next_->previous_ = previous_;
        }
    }

    const EventLoop& loop_;
    TimePoint due_;
    std::function<void()> callback_;
    event* event_;
    LoopTimer* previous_ = nullptr;
    LoopTimer* next_;
    bool is_linked_ = true;
};

struct EventLoop::SignalHandler {
    std::function<void()> callback;
    event* handle = nullptr;
    SignalHandler() = default;
    ~SignalHandler() {
        if (handle != nullptr) {
            event_free(handle);
        }
    }
    SignalHandler(const SignalHandler&) = delete;
    SignalHandler& operator=(const SignalHandler&) = delete;
};

EventLoop::EventLoop(const LoopClocks& clocks)
    : clocks_(clocks), base_(event_base_new()), total_suspended_(clocks.boottime() - clocks.monotonic()) {
    if (base_ == nullptr) {
        throw std::runtime_error("event loop: event_base_new failed");
    }
    // A write to a connection that the peer has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
    signal_handlers_.clear();
    resumed_timer_.reset();
    event_base_free(base_);
}

/// The boottime clock is read first, so that a delay between the two readings does not count as a suspension.
TimePoint EventLoop::now() const {
    const auto now = clocks_.boottime();
    const auto suspended = now - clocks_.monotonic();
    if (suspended - total_suspended_ >= kMinSuspension) {
        onResumed(now, suspended);
    }
    return now;
}

void EventLoop::onResumed(TimePoint now, Duration suspended) const {
    const auto duration = suspended - std::exchange(total_suspended_, suspended);
    for (auto* it = timers_; it != nullptr; it = it->next()) {
        it->arm(now);
    }
    resumed_timer_ = startTimerAt(now, [this, duration] { signal_resumed_.emit(duration); });
}

TimerHandle EventLoop::startTimerAt(TimePoint due, std::function<void()> callback) const {
    auto timer = std::make_unique<LoopTimer>(*this, due, std::move(callback));
    timer->arm(now());
    return timer;
}

TimerHandle EventLoop::startTimer(Duration delay, std::function<void()> callback) {
    return startTimerAt(now() + delay, std::move(callback));
}

void EventLoop::onSignal(int signal_number, std::function<void()> callback) {
    auto handler = std::make_unique<SignalHandler>();
    handler->callback = std::move(callback);
    handler->handle = evsignal_new(
        base_, signal_number,
        [](evutil_socket_t, short, void* argument) { static_cast<SignalHandler*>(argument)->callback(); },
        handler.get());
    evsignal_add(handler->handle, nullptr);
    signal_handlers_.push_back(std::move(handler));
}

void EventLoop::run() {
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop() {
    event_base_loopbreak(base_);
}

}  // namespace dewcrank::adapters
