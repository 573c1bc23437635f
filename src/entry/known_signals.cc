#include "src/entry/known_signals.h"

#include "src/instance/local_instance.h"

namespace dewcrank::entry {

namespace {

/// Many more than leave within minutes, after which they have ended.
constexpr std::size_t kMaxLeaving = 4096;
/// Entries for incarnations that ended while limited are never cleared by a response.
constexpr std::size_t kMaxRateLimits = 4096;

}  // namespace

void KnownSignals::onNotice(const std::string& instance, const relay::InstanceNotice& notice) {
    if (!notice.is_leaving && !notice.is_rate_limit_known) {
        return;
    }
    const auto incarnation = instance::incarnationName(instance, notice.start_ms);
    if (notice.is_leaving) {
        addLeaving(incarnation);
    }
    if (notice.rate_limit) {
        rate_limits_[incarnation] = *notice.rate_limit;
        if (rate_limits_.size() > kMaxRateLimits) {
            rate_limits_.erase(rate_limits_.begin());
        }
    } else if (notice.is_rate_limit_known && !rate_limits_.empty()) {
        rate_limits_.erase(incarnation);
    }
}

void KnownSignals::addLeaving(const std::string& incarnation) {
    if (!leaving_.insert(incarnation).second) {
        return;
    }
    leaving_order_.push_back(incarnation);
    if (leaving_order_.size() > kMaxLeaving) {
        leaving_.erase(leaving_order_.front());
        leaving_order_.pop_front();
    }
}

bool KnownSignals::isLeaving(const wire::InstanceRecord& record) const {
    return !leaving_.empty() && leaving_.contains(instance::incarnationName(record));
}

std::optional<double> KnownSignals::rateLimitOf(const wire::InstanceRecord& record) const {
    if (rate_limits_.empty()) {
        return std::nullopt;
    }
    const auto found = rate_limits_.find(instance::incarnationName(record));
    return found == rate_limits_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace dewcrank::entry
