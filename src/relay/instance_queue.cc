#include "src/relay/instance_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace dewcrank::relay {

void InstanceQueue::setLimit(std::uint32_t limit) {
    limit_ = limit;
    serve();
}

Duration InstanceQueue::expectedWait(TimePoint order) const {
    if (running_ < limit_ && waiting_.empty()) {
        return {};
    }
    const auto end = waiting_.upper_bound({order, std::numeric_limits<std::uint64_t>::max()});
    const auto ahead = std::distance(waiting_.begin(), end);
    const auto slots = std::max<std::int64_t>(1, limit_);
    return mean_time_ * (ahead + 1) / slots;
}

std::uint64_t InstanceQueue::enter(const QueueRequest& request, Callback callback) {
    if (running_ < limit_ && waiting_.empty()) {
        ++running_;
        callback(Decision::kGo);
        return 0;
    }
    const auto now = clock_.now();
    if (now + expectedWait(request.order) > request.give_up_at) {
        callback(Decision::kTooLong);
        return 0;
    }
    const auto ticket = ++last_ticket_;
    const Key key{request.order, ticket};
    auto& waiter = waiting_[key];
    orders_[ticket] = request.order;
    waiter.callback = std::move(callback);
    waiter.timer = clock_.startTimer(request.give_up_at - now, [this, key] {
        auto expired = waiting_.extract(key);
        orders_.erase(key.second);
        expired.mapped().callback(Decision::kTimedOut);
    });
    return ticket;
}

void InstanceQueue::cancel(std::uint64_t ticket) {
    const auto order = orders_.find(ticket);
    if (order != orders_.end()) {
        waiting_.erase({order->second, ticket});
        orders_.erase(order);
    }
}

void InstanceQueue::leave(Duration time) {
    --running_;
    if (time > Duration::zero()) {
        const auto change = static_cast<double>((time - mean_time_).count()) * knobs_.time_weight;
        mean_time_ += Duration(static_cast<std::int64_t>(change));
    }
    serve();
}

void InstanceQueue::serve() {
    while (running_ < limit_ && !waiting_.empty()) {
        auto next = waiting_.extract(waiting_.begin());
        orders_.erase(next.key().second);
        ++running_;
        next.mapped().callback(Decision::kGo);
    }
}

QueueLoad InstanceQueue::load() const {
    return {running_, static_cast<std::uint32_t>(waiting_.size()), limit_, mean_time_};
}

}  // namespace dewcrank::relay
