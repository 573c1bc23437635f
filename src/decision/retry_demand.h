/// @file
/// Measures how many retries the requests of one instance would need to complete, those that were rejected upstream
/// included, from the share of its arrivals that the instance accepts.
#pragma once

#include <array>
#include <cstdint>

#include "src/base/time.h"

namespace dewcrank::decision {

/// Constants of the measurement.
struct RetryDemandKnobs {
    Duration window = 1s;  ///< Length of the sliding window.
    /// A share of rejections is also taken from this shorter time if it holds enough arrivals, and the greater one
    /// counts: rejections are detected at once, and their end after a whole window.
    Duration short_window = 200ms;
    double min_short_arrivals = 30;    ///< Arrivals without which the shorter time is too noisy.
    double max_retries_per_call = 10;  ///< Bounds (1 - p) / p while almost nothing is accepted.
    double min_rejected_share = 0.1;   ///< From this share of rejected arrivals on, the instance counts as rejecting.
    double max_reserved_share = 0.5;   ///< Greatest part of the retries that is reserved for call trees in progress.
};

/// Counts first attempts, what became of the arrivals at an instance, and the requests for retries.
class RetryDemand {
public:
    explicit RetryDemand(RetryDemandKnobs knobs) : knobs_(knobs) {}

    /// Counts a first attempt. @param demand_weight requests that arrived at entries per admitted request.
    void onFirstAttempt(TimePoint now, double demand_weight);
    /// What became of a request that was sent to the instance.
    enum class Arrival {
        kAccepted,
        kRejected,  ///< The instance declared that it did not run the request.
        kFailed,    ///< The instance failed, or its response was lost.
    };
    void onArrivalEnded(TimePoint now, Arrival arrival);
    /// Counts a request for a retry. @param has_begun the retry is for a call of a tree that is in progress.
    void onRetryRequested(TimePoint now, bool has_begun);

    /// @return first attempts per second, weighted.
    [[nodiscard]] double firstAttemptsPerSecond(TimePoint now) const;
    /// @return retries that one call needs on average until it is accepted: (1 - p) / p for the share p of accepted
    /// arrivals.
    [[nodiscard]] double retriesPerCall(TimePoint now) const;
    /// @return true if the instance rejects a considerable share of its arrivals.
    [[nodiscard]] bool isRejecting(TimePoint now) const;
    /// @return the share of the retries to reserve for calls of trees in progress: their share of all requests for
    /// retries, bounded.
    [[nodiscard]] double reservedShare(TimePoint now) const;

private:
    static constexpr std::size_t kSpans = 10;  ///< Number of spans in a window.
    /// Counts over one span of time.
    struct Span {
        std::int64_t number = -1;  ///< `spanNumber` of its times; -1 before its first use.
        double first_attempts = 0;
        double accepted = 0;
        double rejected = 0;
        double failed = 0;
        double requested_by_begun = 0;
        double requested_by_new = 0;
    };
    [[nodiscard]] Duration spanLength() const { return knobs_.window / kSpans; }
    [[nodiscard]] std::int64_t spanNumber(TimePoint now) const { return now.time_since_epoch() / spanLength(); }
    Span& spanAt(TimePoint now);
    [[nodiscard]] Span sumSince(TimePoint begin) const;

    RetryDemandKnobs knobs_;
    std::array<Span, kSpans + 1> spans_;  ///< Ring buffer by number: the window's spans and the current one.
    TimePoint started_{};                 ///< Time of the first attempt that was counted first; or the epoch.
};

}  // namespace dewcrank::decision
