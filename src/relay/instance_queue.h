/// @file
/// Lets requests into one instance: as many at once as it has slots, the most pressing first.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "src/base/time.h"
#include "src/ports/clock.h"

namespace dewcrank::relay {

/// Constants of the queue.
struct QueueKnobs {
    /// Weight of one answer in the moving average of the time in the instance.
    double time_weight = 0.05;
    Duration first_estimate = 100ms;
};

/// A request that asks to be let in.
struct QueueRequest {
    TimePoint order{};       ///< Earlier ones go first.
    TimePoint give_up_at{};  ///< Leaves the queue then at the latest.
};

/// How full an instance is.
struct QueueLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    Duration mean_time{};  ///< That a request holds a slot for.
};

/// Owns no request: it counts them, and calls back when one may go or has to give up.
class InstanceQueue {
public:
    enum class Decision { kGo, kTimedOut, kTooLong };
    using Callback = std::function<void(Decision)>;

    InstanceQueue(Clock& clock, QueueKnobs knobs) : clock_(clock), knobs_(knobs), mean_time_(knobs.first_estimate) {}

    void setLimit(std::uint32_t limit);
    /// Lets a request in at once, queues it, or refuses it if it would wait for too long by the
    /// present estimate. @return a ticket for `cancel` if it waits, else 0.
    std::uint64_t enter(const QueueRequest& request, Callback callback);
    /// Takes a waiting request out; its callback is not called.
    void cancel(std::uint64_t ticket);
    /// A request that was let in has ended. @param time that it took; zero if it tells nothing.
    void leave(Duration time);
    /// How long a request of this place in the order would wait now.
    [[nodiscard]] Duration expectedWait(TimePoint order) const;
    [[nodiscard]] QueueLoad load() const;
    [[nodiscard]] Duration meanTime() const { return mean_time_; }

private:
    using Key = std::pair<TimePoint, std::uint64_t>;  ///< Order, then arrival.
    struct Waiter {
        Callback callback;
        TimerHandle timer;
    };
    void serve();

    Clock& clock_;
    QueueKnobs knobs_;
    std::uint32_t limit_ = 0;
    std::uint32_t running_ = 0;
    Duration mean_time_;
    std::uint64_t last_ticket_ = 0;
    std::map<Key, Waiter> waiting_;
    std::map<std::uint64_t, TimePoint> orders_;  ///< By ticket.
};

}  // namespace dewcrank::relay
