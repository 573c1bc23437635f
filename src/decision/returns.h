/// @file
/// Tells rejected callers when to return, remembers how many were told which time, and recognizes those that have
/// waited as told. The memory is local to the node: callers return to any node, and each has told about as many callers
/// as return to it.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/base/time.h"
#include "src/decision/bottleneck_view.h"
#include "src/decision/overload_trend.h"
#include "src/ports/random_source.h"

namespace dewcrank::decision {

/// What a request is, judged by the time since its caller's first attempt.
enum class ReturnKind {
    kFirstAttempt,  ///< Its deadline is not shortened.
    kKept,          ///< It has waited as told, and has taken a reservation that was open.
    kAtOnce,        ///< It came sooner than any caller is told to.
    kUnreserved     ///< No reservation is open that it may be for.
};

/// Constants of the returns.
struct ReturnKnobs {
    Duration min_wait = 150ms;        ///< No reservation is sooner than this.
    Duration max_wait = 5s;           ///< Nor later; bounds the memory.
    double max_wait_share = 1.0 / 3;  ///< Longest wait as a share of the caller's remaining time.
    Duration response_time = 30ms;    ///< Remaining time that passes until the caller has the response.
    /// Reservations of one rank in one tenth of a second, as a share of its requests that the node admits in this time.
    /// A larger share serves more callers on their return and fewer on their first attempt.
    double reserved_share = 0.25;
    Duration tolerance = 10ms;            ///< Error of the elapsed time: deadlines are sent in milliseconds.
    Duration admitted_average_time = 1s;  ///< Time constant of the mean rate of admitted requests.
};

/// Number of requests since the start, by what became of them.
struct ReturnTotals {
    std::uint64_t reserved = 0;       ///< Callers that were told a reserved time.
    std::uint64_t kept = 0;           ///< Client retries that took a reservation.
    std::uint64_t at_once = 0;        ///< Client retries that came sooner than any caller is told to.
    std::uint64_t unreserved = 0;     ///< Other client retries.
    std::uint64_t refused_again = 0;  ///< Client retries that admission rejected.
};

/// A caller whose request is rejected.
struct RejectedCaller {
    std::uint32_t rank = 0;  ///< Of its request.
    Duration since_first{};  ///< Since its first attempt.
    Duration remaining{};    ///< Until its deadline.
};

/// Reservations of one node, by bottleneck service. They are lost when the node restarts; retries then rank as without.
class Returns {
public:
    Returns(RandomSource& random, ReturnKnobs knobs) : random_(random), knobs_(knobs) {}

    /// Counts a client retry at a bottleneck, and takes a reservation for it if one is due that it may be for.
    /// @param since_first   time since the caller's first attempt.
    ReturnKind classify(TimePoint now, const std::string& service, Duration since_first);
    /// Registers the decision of the admission on a request.
    void onDecision(TimePoint now, const Bottleneck& bottleneck, std::uint32_t rank, ReturnKind kind, bool is_admitted);
    /// Reserves a time for a caller whose request is rejected: the first tenth of a second with free capacity from the
    /// expected end of the overload on, or else before it.
    /// @return the time until the caller is to return; nothing if no tenth within the caller's usable time is free.
    std::optional<Duration> reserve(TimePoint now, const std::string& service, const RejectedCaller& caller);
    [[nodiscard]] const ReturnTotals& totals() const { return totals_; }

private:
    static constexpr std::size_t kTenths = 64;       ///< Tenths of a second in the ring; more than `max_wait`.
    static constexpr std::size_t kMaxServices = 64;  ///< Bottlenecks; the least recently used one is evicted.
    /// Values by rank modulo the size, which bounds the memory: ranks with the same remainder share them.
    template <typename Value>
    using ByRank = std::array<Value, 8>;
    /// Reservations that are due in one tenth of a second.
    struct Tenth {
        std::int64_t number = -1;  ///< Tenths since the clock's epoch; -1 before its first use.
        double threshold = 0;      ///< Random, in [0, 1): a fraction of a reservation above it counts as a whole one.
        ByRank<std::uint32_t> reserved{};
        std::uint32_t open = 0;
        bool is_used = false;
        Duration min_since_first{};  ///< Times since the first attempt at which the callers are to return.
        Duration max_since_first{};
    };
    struct Service {
        TimePoint last_used{};
        ByRank<double> admitted{};  ///< Admitted requests; decays exponentially.
        TimePoint decayed_at{};
        OverloadTrend trend;
        std::array<Tenth, kTenths> tenths;  ///< Ring buffer by number.
    };
    Service& serviceAt(TimePoint now, const std::string& name);
    void decay(TimePoint now, Service* service) const;
    Tenth& tenthAt(Service* service, std::int64_t number);
    [[nodiscard]] bool isFor(const Tenth& tenth, Duration since_first) const;
    void addReservation(Tenth* tenth, std::uint32_t rank, Duration since_first);
    Tenth* findFree(Service* service, std::uint32_t rank, std::int64_t begin, std::int64_t end);
    [[nodiscard]] bool isFree(const Service& service, const Tenth& tenth, std::uint32_t rank) const;

    RandomSource& random_;
    ReturnKnobs knobs_;
    ReturnTotals totals_;
    std::map<std::string, Service> services_;  ///< By bottleneck service.
};

}  // namespace dewcrank::decision
