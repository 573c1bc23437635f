#include "src/instance/reachability.h"

#include <algorithm>

#include "src/ports/http_transport.h"

namespace dewcrank::instance {

namespace {

/// A host without power is detected by the first connection that times out.
constexpr Duration kMinSilence = kConnectTimeout;
/// Service times vary: an instance with running requests counts as down only after this many mean service times without
/// a response.
constexpr std::int64_t kSilentRuns = 3;
constexpr Duration kMaxSilence = 1s;

}  // namespace

Reachability::Verdict Reachability::onConnectionFailed(TimePoint now, TimePoint last_contact,
                                                       const ConnectionFailure& failure) {
    const auto silence =
        failure.is_timeout ? kMinSilence : std::clamp(kSilentRuns * failure.usual_time, kMinSilence, kMaxSilence);
    if (!first_failure_ || last_contact >= *first_failure_) {
        first_failure_ = failure.started;
        max_silence_ = silence;
    }
    max_silence_ = std::min(max_silence_, silence);
    return judge(now, last_contact, failure.others);
}

Reachability::Verdict Reachability::judge(TimePoint now, TimePoint last_contact, std::size_t others) {
    if (!first_failure_ || last_contact >= *first_failure_) {
        reset();
        return Verdict::kReachable;
    }
    if (others > 0 && now < *first_failure_ + max_silence_) {
        return Verdict::kUndecided;
    }
    reset();
    return Verdict::kUnreachable;
}

std::optional<TimePoint> Reachability::decidedBy() const {
    return first_failure_ ? std::optional(*first_failure_ + max_silence_) : std::nullopt;
}

}  // namespace dewcrank::instance
