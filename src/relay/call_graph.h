/// @file
/// Learns which calls an instance makes for which of its requests.
///
/// An inner call does not name the request that it is made for. But it ends at that request's
/// deadline, if that comes before its own usual one; so the deadline that it gives is, to the
/// millisecond, that of the request. Calls that give their usual deadline tell nothing.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "src/base/time.h"

namespace dewcrank::relay {

/// Constants of the estimate.
struct CallGraphKnobs {
    /// A call's deadline and its request's differ by no more than this: both are whole
    /// milliseconds, and a call takes a moment to arrive.
    Duration tolerance = 3ms;
    Duration half_life = 30s;  ///< Counts are halved this often.
    /// A route that makes fewer calls than this to another one, for each of its requests, does not
    /// depend on it.
    double least_calls = 0.3;
    double least_matches = 20;  ///< Of calls to a route, before anything is said of who makes them.
    double least_runs = 5;      ///< Of a route, before anything is said of it.
    /// An instance fails a request at once when one of its calls has failed: 20 ms at most on the
    /// bench's days that were looked at, more on a machine that is short of processor time.
    Duration failure_memory = 100ms;
};

/// The calls of one instance. Until enough has been seen, every route counts as making every call.
class CallGraph {
public:
    explicit CallGraph(CallGraphKnobs knobs) : knobs_(knobs) {}

    /// The instance has been sent a request. @param deadline that it was handed.
    void onRunBegan(TimePoint now, const std::string& route, TimePoint deadline);
    void onRunEnded(const std::string& route, TimePoint deadline);
    /// The instance has called `callee`, a route of the table. @param given the time it gives.
    void onCall(TimePoint now, const std::string& callee, Duration given);
    /// A call that the instance made has failed, and it was told so.
    void onCallFailed(TimePoint now) { failed_calls_.push_back(now); }
    /// The instance has answered a request with a failure.
    /// @return true if that follows from a failed call, which then explains no other failure.
    bool explainFailure(TimePoint now, TimePoint run_began);
    /// False if requests of `route` make no calls of `callee`.
    [[nodiscard]] bool depends(const std::string& route, const std::string& callee) const;

private:
    /// What is known of one route that the instance calls. Counts fade.
    struct Callee {
        Duration usual{};                         ///< The longest time that a call gave.
        double calls = 0;                         ///< All of them.
        double matches = 0;                       ///< Those whose request was found.
        std::map<std::string, double> by_caller;  ///< The same by the request's route.
    };
    void fade(TimePoint now);

    CallGraphKnobs knobs_;
    std::multimap<TimePoint, std::string> running_;  ///< Routes of what runs, by deadline.
    std::map<std::string, double> runs_;             ///< By route, fading.
    std::map<std::string, Callee> callees_;          ///< By route.
    std::deque<TimePoint> failed_calls_;             ///< In order of time; those that explain nothing yet.
    TimePoint faded_{};
};

}  // namespace dewcrank::relay
