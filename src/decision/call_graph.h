/// @file
/// Learns how many calls an instance makes to each internal route in one run of each of its own routes. A run is the
/// execution of one request by the instance.
///
/// An internal call does not name the request that it is made for, but it must end by that request's deadline. If
/// this is earlier than the call's usual timeout, the call's deadline equals the request's and identifies it. Where
/// requests usually have more time than their calls, only a sample of runs with a shorter deadline shows them: below
/// the usual timeout of the calls, several times the route's mean time, at most a part of the time left, and unique
/// among the requests in progress. A run that needs longer is ended early, so that only requests that may run twice can
/// be samples, and only if `OverloadFeatures::call_samples` is on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "src/base/time.h"
#include "src/decision/usual_deadlines.h"

namespace dewcrank::decision {

/// What an internal call inherits from the request that it is made for.
struct CallContext {
    double retry_probability = 0;  ///< Probability that the request was a retry, from 0 to 1.
    double demand_weight = 1;      ///< Requests that arrived at entries per admitted request; at least 1.
    double no_retry_share = 0;     ///< Share of the calls that must not be retried, from 0 to 1.
};

/// Constants of the estimate.
struct CallGraphKnobs {
    Duration tolerance = 3ms;     ///< Greatest difference of the deadlines of a call and its request: both
                                  ///< are rounded to milliseconds, and a call takes a moment to arrive.
    Duration half_life = 30s;     ///< Counts are halved this often.
    double sample_share = 0.85;   ///< Timeout of a sample as a share of the calls' usual timeout; the rest
                                  ///< allows calls that are made late in a run to be identified.
    double min_time_factor = 3;   ///< The timeout of a sample is at least this many times the mean time of its route.
    double max_time_share = 0.5;  ///< And at most this share of the time left, so that the request can be retried.
    std::uint32_t learning_interval = 1;  ///< One run in this many is a sample while a route's calls are unknown,
    std::uint32_t known_interval = 64;    ///< and one in this many afterwards, to detect changes.
    double min_samples = 4;               ///< Completed sample runs before an estimate is given.
    double min_failed_samples = 12;       ///< The same for failed runs, which may have ended before some calls.
    double min_calls = 0.05;              ///< A route depends on a callee if it calls it at least this often per run.
    double time_weight = 0.1;             ///< Weight of one run in the moving average of a route's time.
    double min_callee_calls = 50;         ///< Calls to a callee before its calls' deadlines are judged.
    double min_inherited_share = 0.9;     ///< Of the calls to a callee: all end with the run that makes them.
    Duration failure_ttl = 100ms;         ///< A failed call explains a failure of the instance for this long.
};

/// The runs of one instance and the calls that they make. Until enough samples are known, every route counts as
/// calling every internal route once per run.
class CallGraph {
public:
    using RunId = std::uint64_t;

    explicit CallGraph(CallGraphKnobs knobs) : knobs_(knobs) {}

    /// Registers a request that is about to be sent to the instance with its own deadline.
    /// @return the run's id, for `onRunEnded`.
    RunId onRunBegan(TimePoint now, const std::string& route, const CallContext& call_context, TimePoint deadline);
    /// The same for a request that may run twice, which may become a sample.
    /// @param deadline   in: deadline of the request; out: deadline to send to the instance, earlier for a sample.
    RunId onRepeatableRunBegan(TimePoint now, const std::string& route, const CallContext& call_context,
                               TimePoint* deadline);
    /// Registers the end of a run.
    /// @param is_complete   true if the response was a success: the run has made all of its calls.
    void onRunEnded(TimePoint now, RunId id, bool is_complete);
    /// Counts a call that the instance makes to the route `callee`.
    /// @param timeout   remaining time until the call's deadline.
    /// @return the context of the run that makes the call if that run is identified, else the mean over all runs in
    /// progress.
    CallContext onCall(TimePoint now, const std::string& callee, Duration timeout);
    /// Registers that a call of the instance has failed.
    void onCallFailed(TimePoint now) { failed_calls_.push_back(now); }
    /// Attributes a failure response of the instance to a failed call, which then explains no other failure.
    /// @param run_began   when the failed request was sent to the instance.
    /// @return true if a call has failed during the run and within `failure_ttl`.
    bool attributeFailure(TimePoint now, TimePoint run_began);

    /// @return calls to `callee` per run of `route`; nothing if there are too few samples.
    [[nodiscard]] std::optional<double> callsPerRun(const std::string& route, const std::string& callee) const;
    /// @return false if requests of `route` are known to make no calls to `callee`.
    [[nodiscard]] bool depends(const std::string& route, const std::string& callee) const;
    /// @return calls per run of `route` to the callee that it calls most; 0 if it makes none.
    [[nodiscard]] double maxCallsPerRun(const std::string& route) const;

private:
    struct Run {
        std::string route;
        CallContext call_context;
        TimePoint began{};
        TimePoint deadline{};                      ///< As sent to the instance.
        bool has_unique_deadline = true;           ///< No other run has had nearly the same deadline meanwhile.
        std::map<std::string, double> calls_made;  ///< Identified calls, by callee.
    };
    /// Samples of one route's calls to one callee; counts decay.
    struct Samples {
        double complete_runs = 0;
        double calls_of_complete = 0;
        double failed_runs = 0;
        double calls_of_failed = 0;
    };
    /// Calls to one callee; counts decay.
    struct Callee {
        Duration usual{};  ///< Usual timeout of the calls.
        double calls = 0;
        double matched = 0;    ///< Calls whose deadline is that of a run.
        double by_chance = 0;  ///< Calls to which the same happens with a deadline that no run gives them.
    };
    /// Estimates of one route of the instance.
    struct Route {
        double mean_time = 0;  ///< Seconds; 0 before the first run has ended.
        std::uint32_t since_sample = 0;
        std::uint32_t running = 0;  ///< Invariant: the number of entries of `runs_` with this route.
        CallContext sum{0, 0};      ///< Sum of the contexts of the runs in progress.
        std::map<std::string, Samples> by_callee;
    };

    void decay(TimePoint now);
    /// @return true if there are enough calls to this callee to tell whose deadlines they have.
    [[nodiscard]] bool isJudged(const Callee& callee) const;
    /// @return true if the deadline of each call to this callee is that of its run.
    [[nodiscard]] bool inheritsDeadline(const Callee& callee) const;
    /// @return true if a run with this time to its deadline is identified by its calls to this callee.
    [[nodiscard]] bool identifiesCalls(const Callee& callee, Duration time) const;
    /// @return true if only a sample shows the calls of a route to this callee.
    [[nodiscard]] bool needsSamples(const Callee& callee) const;
    void countMatch(TimePoint deadline, Callee* callee) const;
    [[nodiscard]] bool hasRunUntil(TimePoint deadline) const;
    [[nodiscard]] bool isAmpleTime(const Route& route, Duration time) const;
    [[nodiscard]] bool isSampleDue(const Route& route) const;
    [[nodiscard]] Duration sampleTime(const Route& route, Duration time_left) const;
    [[nodiscard]] TimePoint findUniqueDeadline(TimePoint deadline) const;
    void markDeadlineCollisions(Run* run);
    [[nodiscard]] Run* findRunByDeadline(TimePoint deadline);
    [[nodiscard]] CallContext meanContext(const std::string& callee) const;
    void addSample(const Run& run, bool is_complete);

    CallGraphKnobs knobs_;
    RunId last_id_ = 0;
    std::map<RunId, Run> runs_;                    ///< Runs in progress.
    std::multimap<TimePoint, RunId> by_deadline_;  ///< Ids of `runs_`.
    std::map<std::string, Route> routes_;
    std::map<std::string, Callee> callees_;  ///< By called route.
    UsualDeadlines usual_;
    std::deque<TimePoint> failed_calls_;  ///< In order of time; those that explain no failure yet.
    TimePoint decayed_at_{};
};

}  // namespace dewcrank::decision
