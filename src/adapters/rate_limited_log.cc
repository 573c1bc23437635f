#include "src/adapters/rate_limited_log.h"

#include <utility>

namespace dewcrank::adapters {

RateLimitedLog::RateLimitedLog(Clock& clock, EventLog& log, std::set<std::string, std::less<>> routine_events,
                               LogRateLimits limits, std::set<std::string, std::less<>> unlimited_events)
    : clock_(clock),
      log_(log),
      routine_events_(std::move(routine_events)),
      unlimited_events_(std::move(unlimited_events)),
      routine_{0, limits.routine_lines},
      other_{0, limits.other_lines} {}

RateLimitedLog::Quota& RateLimitedLog::quotaOf(std::string_view name) {
    if (clock_.now() - second_start_ >= 1s) {
        startNewSecond();
    }
    return routine_events_.contains(name) ? routine_ : other_;
}

bool RateLimitedLog::isLimited(std::string_view name) const {
    return has_limits_ && !unlimited_events_.contains(name);
}

bool RateLimitedLog::accepts(std::string_view name) {
    const auto& quota = quotaOf(name);
    const bool is_allowed = quota.lines < quota.limit || !isLimited(name);
    dropped_ += is_allowed ? 0 : 1;
    return is_allowed;
}

void RateLimitedLog::write(const Event& event) {
    auto& quota = quotaOf(event.name());
    if (quota.lines >= quota.limit && isLimited(event.name())) {
        ++dropped_;
        return;
    }
    quota.lines += isLimited(event.name()) ? 1 : 0;
    log_.write(event);
}

void RateLimitedLog::startNewSecond() {
    second_start_ = clock_.now();
    routine_.lines = 0;
    other_.lines = 0;
    if (const auto dropped = std::exchange(dropped_, 0); dropped > 0) {
        log_.write(Event("events_left_out").with("count", dropped));
    }
}

}  // namespace dewcrank::adapters
