#include "src/decision/retry_demand.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {

constexpr double kMinWindow = 0.3;  ///< Seconds; rates over a shorter time are too noisy.
/// Added to the accepted arrivals, so that few arrivals do not yield an extreme quotient.
constexpr double kAcceptedPrior = 1;

}  // namespace

RetryDemand::Span& RetryDemand::spanAt(TimePoint now) {
    const auto number = spanNumber(now);
    auto& span = spans_[static_cast<std::size_t>(number) % spans_.size()];
    if (span.number != number) {
        span = {};
        span.number = number;
    }
    return span;
}

RetryDemand::Span RetryDemand::sumSince(TimePoint begin) const {
    const auto first = spanNumber(begin);
    Span sum;
    for (const auto& span : spans_) {
        if (span.number >= first) {
            sum.first_attempts += span.first_attempts;
            sum.accepted += span.accepted;
            sum.rejected += span.rejected;
            sum.failed += span.failed;
            sum.requested_by_begun += span.requested_by_begun;
            sum.requested_by_new += span.requested_by_new;
        }
    }
    return sum;
}

void RetryDemand::onFirstAttempt(TimePoint now, double demand_weight) {
    if (started_ == TimePoint{}) {
        started_ = now;
    }
    spanAt(now).first_attempts += demand_weight;
}

void RetryDemand::onArrivalEnded(TimePoint now, Arrival arrival) {
    auto& span = spanAt(now);
    switch (arrival) {
        case Arrival::kAccepted:
            span.accepted += 1;
            return;
        case Arrival::kRejected:
            span.rejected += 1;
            return;
        case Arrival::kFailed:
            span.failed += 1;
    }
}

void RetryDemand::onRetryRequested(TimePoint now, bool has_begun) {
    auto& span = spanAt(now);
    (has_begun ? span.requested_by_begun : span.requested_by_new) += 1;
}

double RetryDemand::firstAttemptsPerSecond(TimePoint now) const {
    const auto window_start = std::max(started_, TimePoint(spanLength() * spanNumber(now - knobs_.window)));
    return sumSince(now - knobs_.window).first_attempts / std::max(kMinWindow, toSeconds(now - window_start));
}

double RetryDemand::retriesPerCall(TimePoint now) const {
    const auto retries_of = [](const Span& sum) {
        return (sum.rejected + sum.failed) / (sum.accepted + kAcceptedPrior);
    };
    double retries = retries_of(sumSince(now - knobs_.window));
    const auto recent = sumSince(now - knobs_.short_window);
    if (recent.accepted + recent.rejected + recent.failed >= knobs_.min_short_arrivals) {
        retries = std::max(retries, retries_of(recent));
    }
    return std::min(retries, knobs_.max_retries_per_call);
}

bool RetryDemand::isRejecting(TimePoint now) const {
    const auto rejects = [this](const Span& sum) {
        const double arrivals = sum.accepted + sum.rejected + sum.failed + kAcceptedPrior;
        return sum.rejected >= knobs_.min_rejected_share * arrivals;
    };
    const auto recent = sumSince(now - knobs_.short_window);
    const bool has_recent = recent.accepted + recent.rejected + recent.failed >= knobs_.min_short_arrivals;
    return rejects(sumSince(now - knobs_.window)) || (has_recent && rejects(recent));
}

double RetryDemand::reservedShare(TimePoint now) const {
    const auto sum = sumSince(now - knobs_.window);
    const double total = sum.requested_by_begun + sum.requested_by_new;
    return total > 0 ? std::min(knobs_.max_reserved_share, sum.requested_by_begun / total) : 0;
}

}  // namespace dewcrank::decision
