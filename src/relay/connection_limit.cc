#include "src/relay/connection_limit.h"

#include <algorithm>

namespace dewcrank::relay {

namespace {

constexpr std::uint32_t kSlowStartRequests = 4;  ///< Requests at an instance that has just returned.

}  // namespace

void ConnectionLimit::onRefused(TimePoint now, std::uint32_t open) {
    if (is_raised_) {
        interval_ = std::min(2 * interval_, knobs_.max_raise_interval);
    }
    is_raised_ = false;
    limit_ = std::max<std::uint32_t>(1, std::min(open, limit_.value_or(open)));
    next_raise_ = now + interval_;
}

void ConnectionLimit::raiseIfDue(TimePoint now, std::uint32_t slots) {
    if (!limit_ || now < next_raise_) {
        return;
    }
    if (is_raised_) {
        interval_ = std::max(interval_ / 2, knobs_.min_raise_interval);
    }
    is_raised_ = true;
    *limit_ += knobs_.max_raise;
    next_raise_ = now + interval_;
    if (*limit_ >= slots) {
        limit_.reset();
    }
}

void ConnectionLimit::reset() {
    limit_.reset();
    interval_ = knobs_.min_raise_interval;
    is_raised_ = false;
}

void SlowStart::begin(std::uint32_t running) {
    limit_ = running + kSlowStartRequests;
}

void SlowStart::onResponse(std::uint32_t slots) {
    if (limit_ && ++*limit_ >= slots) {
        limit_.reset();
    }
}

}  // namespace dewcrank::relay
