/// @file
/// Checks, over the records of one incarnation of an instance, that entries heed what it says about itself in
/// responses: a rate limit, and that it is leaving.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/base/header_names.h"
#include "src/base/http_message.h"
#include "src/base/time.h"

namespace dewcrank::sim {

/// Sliding window in which arrivals at an instance are counted against the rate limit that it names, the factor and the
/// number by which they may exceed it there.
inline constexpr Duration kRateLimitWindow = 4s;
inline constexpr double kRateLimitFactor = 1.5;
inline constexpr double kRateLimitSlack = 5;
/// A rate limit binds this long after an instance first named it.
inline constexpr Duration kRateLimitGrace = 3s;
/// Requests count that began at an entry which had passed on the limit at least this long before.
inline constexpr Duration kRateLimitNotice = 500ms;
/// Requests of an entry may arrive at a leaving instance that were sent until this long after the entry passed on that
/// the instance is leaving.
inline constexpr Duration kLeavingNotice = 2s;

/// Names of the invariants.
inline constexpr const char* kRateLimitInvariant = "rate limits of instances are respected";
inline constexpr const char* kLeavingInvariant = "leaving instances receive no requests";

/// What an instance says about itself in a response.
struct InstanceSignals {
    std::optional<double> rate_limit;  ///< Requests per second.
    bool is_leaving = false;
    friend bool operator==(const InstanceSignals&, const InstanceSignals&) = default;
};

/// Adds the headers for the signals to a response.
void writeSignals(const InstanceSignals& signals, const HeaderNames& names, Headers* headers);
/// @return the signals in a response that was written with `writeSignals`.
InstanceSignals signalsIn(const HttpResponse& response, const HeaderNames& names);

/// One event at the incarnation, or at an entry.
struct SignalEvent {
    enum class Kind {
        kChange,   ///< From now on the responses of the incarnation have these signals.
        kPassed,   ///< An entry has passed on a response with these signals.
        kRestart,  ///< An entry has restarted or was suspended: what it has passed on binds it no more.
        kArrival   ///< A request that began at the entry has arrived at the incarnation.
    };
    TimePoint at{};
    Kind kind = Kind::kArrival;
    std::string entry{};        ///< Where the request began; not with kChange. Empty: unknown, and not counted.
    InstanceSignals signals{};  ///< With kChange and kPassed.
    TimePoint sent{};           ///< With kArrival: when the request was sent to the entry.
    std::string request_id{};   ///< With kArrival.
};

/// An arrival that breaks an invariant.
struct SignalViolation {
    const char* invariant = "";
    std::string detail;
};

/// @param incarnation its name, for the details. @param events in any order; those of the same time in this order.
std::vector<SignalViolation> replaySignals(const std::string& incarnation, std::vector<SignalEvent> events);

}  // namespace dewcrank::sim
