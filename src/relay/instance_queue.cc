#include "src/relay/instance_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace dewcrank::relay {

void InstanceQueue::setLimit(std::uint32_t limit) {
    limit_ = limit;
    admitWaiting();
}

Duration InstanceQueue::expectedWait(TimePoint virtual_deadline) const {
    if (running_ < limit_ && waiting_.empty()) {
        return {};
    }
    const auto end = waiting_.upper_bound({virtual_deadline, std::numeric_limits<std::uint64_t>::max()});
    const auto ahead = std::distance(waiting_.begin(), end);
    const auto slots = std::max<std::int64_t>(1, limit_);
    return mean_service_time_ * (ahead + 1) / slots;
}

std::uint64_t InstanceQueue::enter(const QueueRequest& request, Callback callback) {
    if (running_ < limit_ && waiting_.empty()) {
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
        const auto change = static_cast<double>((time - mean_service_time_).count()) * knobs_.time_weight;
        mean_service_time_ += Duration(static_cast<std::int64_t>(change));
    }
    admitWaiting();
}

void InstanceQueue::admitWaiting() {
    while (running_ < limit_ && !waiting_.empty()) {
        auto next = waiting_.extract(waiting_.begin());
        virtual_deadlines_.erase(next.key().second);
        ++running_;
        next.mapped().callback(Decision::kAdmitted);
    }
}

QueueLoad InstanceQueue::load() const {
    return {running_, static_cast<std::uint32_t>(waiting_.size()), limit_, mean_service_time_};
}

}  // namespace dewcrank::relay
