/// @file
/// Bounds the number of requests that run at one instance at once, and the rate at which they are sent if the instance
/// names one; other requests wait in order of their virtual deadlines.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "src/balancing/pace_estimate.h"
#include "src/base/time.h"
#include "src/ports/clock.h"
#include "src/relay/rate_limiter.h"

namespace dewcrank::relay {

/// Constants of the queue.
struct QueueKnobs {
    double time_weight = 0.05;          ///< Weight of one response in the moving average of the service time.
    Duration initial_estimate = 100ms;  ///< Mean service time before the first response.
    bool uses_pace = false;             ///< Expected waits follow the present pace of the instance.
    balancing::PaceKnobs pace;
};

/// A request for admission.
struct QueueRequest {
    TimePoint virtual_deadline{};  ///< Order of admission: the request with the earliest one is admitted first.
    TimePoint expires_at{};        ///< The request leaves the queue at this time if it is not admitted before.
};

/// Load of an instance.
struct QueueLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;             ///< Requests that may run at once.
    Duration mean_service_time{};        ///< Mean time that a request holds a slot; the usual one if `pace` is known.
    std::optional<double> rate_limit{};  ///< Requests per second that the instance takes; none: no limit.
    Duration rate_wait{};                ///< Time until the rate limit lets a further request through.
    double pace = 0;                     ///< Present service time divided by the usual one; 0: not known.
    Duration pace_age{};                 ///< Time since the response on which the pace is based.

    /// @return the time for which a request holds a slot at the present pace.
    [[nodiscard]] Duration presentServiceTime() const;
    /// @return how many requests can run at once on average: the slots, or fewer (also less than one) at a limited
    /// rate.
    [[nodiscard]] double capacity() const;
};

/// Counts the running requests, and calls back when a waiting one is admitted or expires. Does not own the requests.
class InstanceQueue {
public:
    /// Result for one request: admitted, expired in the queue, or rejected at once for its expected wait.
    enum class Decision { kAdmitted, kTimedOut, kWaitTooLong };
    using Callback = std::function<void(Decision)>;

    InstanceQueue(Clock& clock, QueueKnobs knobs)
        : clock_(clock),
          knobs_(knobs),
          rate_limiter_(clock),
          pace_(knobs.pace),
          mean_service_time_(knobs.initial_estimate) {}

    /// @param limit maximum number of running requests. Waiting requests are admitted at once if the limit allows it.
    void setLimit(std::uint32_t limit);
    /// @param rate maximum number of requests per second; nothing: no limit. Takes effect at once.
    void setRateLimit(std::optional<double> rate);
    /// The instance has named its load in a response.
    void onLoadReport(const balancing::LoadReport& report) { pace_.onReport(clock_.now(), report); }
    /// Forgets the pace. Call when the instance is another incarnation.
    void resetPace() { pace_.reset(); }
    /// Call when something was sent to the instance that did not pass the queue; it counts against the rate.
    void onSentBeside() { rate_limiter_.takeAnyway(); }
    /// Call when an admitted request was not sent after all, before `leave`.
    void onNotSent() { rate_limiter_.returnToken(); }
    /// Admits a request, queues it, or rejects it if its expected wait exceeds `expires_at`. Calls back before it
    /// returns unless the request is queued. @return a ticket for `cancel` if the request is queued, else 0.
    std::uint64_t enter(const QueueRequest& request, Callback callback);
    /// Removes a waiting request; its callback is not called.
    void cancel(std::uint64_t ticket);
    /// Call when an admitted request has ended. @param time for which the request held its slot; zero to leave the
    /// average as it is.
    void leave(Duration time);
    /// @return the expected wait of a request with this virtual deadline if the request arrived now.
    [[nodiscard]] Duration expectedWait(TimePoint virtual_deadline) const;
    [[nodiscard]] QueueLoad load() const;

private:
    using Key = std::pair<TimePoint, std::uint64_t>;  ///< Virtual deadline, then ticket: first come, first served.
    struct Waiter {
        Callback callback;
        TimerHandle timer;  ///< Fires at `expires_at`.
    };
    void admitWaiting();
    void awaitToken();
    /// @return whether a request may be sent now, which takes a token of the rate limit.
    bool tryAdmit() { return running_ < limit_ && rate_limiter_.tryTake(); }
    /// @return the time for which a request that starts now is expected to hold its slot.
    [[nodiscard]] Duration expectedServiceTime() const;
    /// @return the expected time until a slot is free for a request with `ahead` others before it.
    [[nodiscard]] Duration slotWaitBehind(std::size_t ahead) const;

    Clock& clock_;
    QueueKnobs knobs_;
    RateLimiter rate_limiter_;
    balancing::PaceEstimate pace_;
    TimerHandle token_timer_;  ///< Set while requests wait for the rate limit.
    std::uint32_t limit_ = 0;
    std::uint32_t running_ = 0;
    Duration mean_service_time_;
    std::uint64_t last_ticket_ = 0;
    std::map<Key, Waiter> waiting_;
    std::map<std::uint64_t, TimePoint> virtual_deadlines_;  ///< Of the waiting requests by ticket.
};

}  // namespace dewcrank::relay
