/// @file
/// Measures how many slots of an instance all requests would need, those that were rejected upstream included.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/base/time.h"

namespace dewcrank::decision {

/// Load of one instance, or of all instances of a service, in slots.
struct ServiceLoad {
    double demand = 0;          ///< Slots that all requests would need if none were rejected upstream.
    double capacity = 0;        ///< Slots that new requests may use.
    double busy = 0;            ///< Slots in use, mean over the window.
    double retry_demand = 0;    ///< Retries per second that all requests would need if none were rejected upstream.
    double retry_capacity = 0;  ///< Retries per second that the retry budget would allow them.
    double first_attempts = 0;  ///< First attempts per second if no request were rejected upstream; 0: unknown.

    ServiceLoad& operator+=(const ServiceLoad& other);
    ServiceLoad& operator-=(const ServiceLoad& other);
    /// @return the share of the requests to admit upstream, from 0 to 1. It is 1 while many slots are free: another
    /// bottleneck then limits the load of this service.
    [[nodiscard]] double admitRatio() const;
    /// @return the share of the retries that the requests need which the budget allows, from 0 to 1.
    [[nodiscard]] double retryAdmitRatio() const;
    /// @return retries that one call needs on average until an instance accepts it; 0 if unknown.
    [[nodiscard]] double retriesPerCall() const;
};

/// What bounds the requests of one instance.
struct InstanceLimits {
    std::uint32_t slots = 0;             ///< Requests that may run at once.
    std::optional<double> rate_limit{};  ///< Requests per second; none: no limit.
};

/// A request that was counted as demand.
struct CountedArrival {
    TimePoint at{};     ///< The epoch: it was not counted.
    double work = 0;    ///< Seconds of slot time, weighted.
    double weight = 0;  ///< Requests that it stands for.
};

/// Constants of the measurement.
struct DemandKnobs {
    Duration window = 1s;              ///< Length of the sliding window.
    double target_utilization = 0.97;  ///< Share of the slots to keep in use.
    Duration backlog_drain_time = 1s;  ///< Time within which queued work is to be completed besides new requests.
    double min_share = 0.3;            ///< Share of the slots left to new requests whatever the length of the queue.
    double time_weight = 0.1;          ///< Weight of one response in the moving average of a route's slot time.
};

/// Measures an instance's load over a sliding window.
///
/// Each request counts with its demand weight: the requests that arrived at entries per admitted request. The sum is
/// the demand before admission, independent of the ratios that entries apply at present, so the admission ratio follows
/// from it without a feedback loop.
class InstanceDemand {
public:
    explicit InstanceDemand(DemandKnobs knobs) : knobs_(knobs) {}
    /// Counts a request that was admitted or queued, or that was rejected by the last relay it was sent to.
    /// @param demand_weight   requests that arrived at entries per admitted request; at least 1.
    /// @return what was counted, for `load`.
    CountedArrival onArrival(TimePoint now, const std::string& route, double demand_weight);
    /// Registers a response. @param time for which the request held a slot.
    void onResponse(const std::string& route, Duration time);
    /// Registers a change of the number of slots in use to `running`.
    void onRunning(TimePoint now, std::uint32_t running);
    /// Forgets the arrivals so far: entries choose the instance less often from now on.
    void restart(TimePoint now);
    /// @return the load over the window that ends now.
    /// @param limits         of the instance. A rate limit counts as the slots that requests at this rate hold.
    /// @param waiting_work   slot time that queued requests need.
    /// @param reporting      request whose result carries the load. As there is a report only when there was an
    ///                       arrival, it would overestimate the demand at a low rate limit, and is left out there.
    [[nodiscard]] ServiceLoad load(TimePoint now, const InstanceLimits& limits, Duration waiting_work,
                                   const CountedArrival& reporting = {});
    /// @return the mean time that a request of the route holds a slot.
    [[nodiscard]] Duration timeOf(const std::string& route) const;

private:
    static constexpr std::size_t kSpans = 10;  ///< Number of spans in a window.
    /// Sums over one span of time, in seconds of slot time.
    struct Span {
        std::int64_t number = -1;  ///< `spanNumber` of its times; -1 before its first use.
        double arrived_work = 0;
        double arrived = 0;  ///< Requests, by the same weights.
        double busy = 0;
    };
    [[nodiscard]] Duration spanLength() const { return knobs_.window / kSpans; }
    [[nodiscard]] std::int64_t spanNumber(TimePoint now) const { return now.time_since_epoch() / spanLength(); }
    Span& spanAt(TimePoint now);
    void addBusy(TimePoint now);

    DemandKnobs knobs_;
    std::array<Span, kSpans + 1> spans_;   ///< Ring buffer by number: the window's spans and the current one.
    std::map<std::string, double> times_;  ///< Mean slot time in seconds, by route.
    TimePoint started_{};                  ///< Time of the first arrival; the epoch before there is one.
    TimePoint busy_since_{};               ///< End of the time that `Span::busy` covers.
    std::uint32_t running_ = 0;
};

}  // namespace dewcrank::decision
