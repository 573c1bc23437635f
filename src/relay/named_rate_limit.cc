#include "src/relay/named_rate_limit.h"

namespace dewcrank::relay {

bool NamedRateLimit::onResponse(TimePoint now, TimePoint sent, std::optional<double> named) {
    is_known_ = true;
    const bool is_newer = !limit_ || sent >= named_at_;
    const bool is_lower = named && limit_ && *named < *limit_;
    if (!is_newer && !is_lower) {
        return false;
    }
    const bool is_change = named != limit_;
    limit_ = named;
    named_at_ = now;
    return is_change;
}

bool NamedRateLimit::onPeerNotice(TimePoint now, double named) {
    if (is_known_ || (limit_ && named >= *limit_)) {
        return false;
    }
    limit_ = named;
    named_at_ = now;
    return true;
}

}  // namespace dewcrank::relay
