#include "src/relay/instance_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace dewcrank::relay {

Duration QueueLoad::presentServiceTime() const {
    return pace > 0 ? fromSeconds(toSeconds(mean_service_time) * pace) : mean_service_time;
}

double QueueLoad::capacity() const {
    const double slots = limit;
    return rate_limit ? std::min(slots, *rate_limit * toSeconds(presentServiceTime())) : slots;
}

void InstanceQueue::setRateLimit(std::optional<double> rate) {
    rate_limiter_.setRate(rate);
    admitWaiting();
}

void InstanceQueue::setLimit(std::uint32_t limit) {
    limit_ = limit;
    admitWaiting();
}

Duration InstanceQueue::expectedServiceTime() const {
    const auto pace = knobs_.uses_pace ? pace_.at(clock_.now()) : std::nullopt;
    return pace ? fromSeconds(toSeconds(pace->usual_time) * pace->pace) : mean_service_time_;
}

Duration InstanceQueue::slotWaitBehind(std::size_t ahead) const {
    if (running_ + ahead < limit_) {
        return {};
    }
    const auto slots = std::max<std::int64_t>(1, limit_);
    return expectedServiceTime() * static_cast<std::int64_t>(ahead + 1) / slots;
}

Duration InstanceQueue::expectedWait(TimePoint virtual_deadline) const {
    const auto end = waiting_.upper_bound({virtual_deadline, std::numeric_limits<std::uint64_t>::max()});
    const auto ahead = static_cast<std::size_t>(std::distance(waiting_.begin(), end));
    return std::max(slotWaitBehind(ahead), rate_limiter_.waitBehind(ahead));
}

std::uint64_t InstanceQueue::enter(const QueueRequest& request, Callback callback) {
    if (waiting_.empty() && tryAdmit()) {
        ++running_;
        callback(Decision::kAdmitted);
        return 0;
    }
    const auto now = clock_.now();
    if (now + expectedWait(request.virtual_deadline) > request.expires_at) {
        callback(Decision::kWaitTooLong);
        return 0;
    }
    const auto ticket = ++last_ticket_;
    const Key key{request.virtual_deadline, ticket};
    auto& waiter = waiting_[key];
    virtual_deadlines_[ticket] = request.virtual_deadline;
    waiter.callback = std::move(callback);
    waiter.timer = clock_.startTimer(request.expires_at - now, [this, key] {
        auto expired = waiting_.extract(key);
        virtual_deadlines_.erase(key.second);
        expired.mapped().callback(Decision::kTimedOut);
    });
    awaitToken();
    return ticket;
}

void InstanceQueue::cancel(std::uint64_t ticket) {
    const auto found = virtual_deadlines_.find(ticket);
    if (found != virtual_deadlines_.end()) {
        waiting_.erase({found->second, ticket});
        virtual_deadlines_.erase(found);
    }
}

void InstanceQueue::leave(Duration time) {
    --running_;
    if (time > Duration::zero()) {
        pace_.onServiceTime(clock_.now(), time);
        const auto change = static_cast<double>((time - mean_service_time_).count()) * knobs_.time_weight;
        mean_service_time_ += Duration(static_cast<std::int64_t>(change));
    }
    admitWaiting();
}

void InstanceQueue::admitWaiting() {
    while (!waiting_.empty() && tryAdmit()) {
        auto next = waiting_.extract(waiting_.begin());
        virtual_deadlines_.erase(next.key().second);
        ++running_;
        next.mapped().callback(Decision::kAdmitted);
    }
    awaitToken();
}

/// A free slot admits the next request when another one leaves; a token becomes available with time only.
void InstanceQueue::awaitToken() {
    if (waiting_.empty() || running_ >= limit_) {
        token_timer_.reset();
        return;
    }
    token_timer_ = clock_.startTimer(rate_limiter_.waitBehind(0), [this] { admitWaiting(); });
}

QueueLoad InstanceQueue::load() const {
    QueueLoad load{running_,
                   static_cast<std::uint32_t>(waiting_.size()),
                   limit_,
                   mean_service_time_,
                   rate_limiter_.rate(),
                   rate_limiter_.waitBehind(waiting_.size())};
    if (const auto pace = knobs_.uses_pace ? pace_.at(clock_.now()) : std::nullopt) {
        load.mean_service_time = pace->usual_time;
        load.pace = pace->pace;
        load.pace_age = pace->age;
    }
    return load;
}

}  // namespace dewcrank::relay
