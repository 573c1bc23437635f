#include "src/adapters/event_loop.h"

#include <algorithm>
#include <csignal>
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

class LibeventTimer : public Timer {
public:
    LibeventTimer(event_base* base, Duration delay, std::function<void()> callback)
        : callback_(std::move(callback)), event_(evtimer_new(base, &LibeventTimer::onFired, this)) {
        const auto value = toTimeval(delay);
        evtimer_add(event_, &value);
    }
    ~LibeventTimer() override { event_free(event_); }
    LibeventTimer(const LibeventTimer&) = delete;
    LibeventTimer& operator=(const LibeventTimer&) = delete;

private:
    /// The callback is moved out first: it may destroy this timer.
    static void onFired(evutil_socket_t, short, void* self) {
        const auto callback = std::exchange(static_cast<LibeventTimer*>(self)->callback_, nullptr);
        callback();
    }

    std::function<void()> callback_;
    event* event_;
};

}  // namespace

struct EventLoop::SignalWatch {
    std::function<void()> callback;
    event* handle = nullptr;
    SignalWatch() = default;
    ~SignalWatch() {
        if (handle != nullptr) {
            event_free(handle);
        }
    }
    SignalWatch(const SignalWatch&) = delete;
    SignalWatch& operator=(const SignalWatch&) = delete;
};

EventLoop::EventLoop() : base_(event_base_new()) {
    if (base_ == nullptr) {
        throw std::runtime_error("event loop: cannot be created");
    }
    // Writing to a connection that the other side has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
    signals_.clear();
    event_base_free(base_);
}

TimePoint EventLoop::now() const {
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

TimerHandle EventLoop::startTimer(Duration delay, std::function<void()> callback) {
    return std::make_unique<LibeventTimer>(base_, delay, std::move(callback));
}

void EventLoop::onSignal(int signal_number, std::function<void()> callback) {
    auto watch = std::make_unique<SignalWatch>();
    watch->callback = std::move(callback);
    watch->handle = evsignal_new(
        base_, signal_number,
        [](evutil_socket_t, short, void* argument) { static_cast<SignalWatch*>(argument)->callback(); }, watch.get());
    evsignal_add(watch->handle, nullptr);
    signals_.push_back(std::move(watch));
}

void EventLoop::run() {
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop() {
    event_base_loopbreak(base_);
}

}  // namespace dewcrank::adapters
