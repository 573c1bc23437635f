/// @file
/// Learns which calls an instance makes for which of its requests, and how many.
///
/// An inner call does not name the request that it is made for. But it ends at that request's
/// deadline, if that comes before its own usual one; so the deadline that it gives is then, to the
/// millisecond, that of the request. Few requests come so near their end by themselves. So a small
/// sample of them is handed a deadline that is shorter than a call's usual one, still several times
/// what such a request takes, and unlike that of any other request that runs.
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

/// What a call takes over from the request that it is made for.
struct Lineage {
    double repeat_share = 0;  ///< How likely it is made for a run that was a repeat, from 0 to 1.
    double represents = 1;    ///< Requests at entries for each that was admitted: at least 1.
};

/// Constants of the estimate.
struct CallGraphKnobs {
    /// A call's deadline and its request's differ by no more than this: both are whole
    /// milliseconds, and a call takes a moment to arrive.
    Duration tolerance = 3ms;
    Duration half_life = 30s;  ///< Counts are halved this often.
    /// A sample's deadline is this part of the usual one of the calls that it is to show: a call may
    /// come late in its run and still be recognised.
    double sample_share = 0.85;
    /// A sample has at least this many times the mean time of its route's runs.
    double least_room = 3;
    std::uint32_t learning_interval = 1;  ///< One run in so many is a sample while a route is unknown,
    std::uint32_t known_interval = 64;    ///< and one in so many afterwards, to see changes.
    double enough_samples = 4;            ///< Whole runs, before anything is said of a route's calls.
    /// Runs that failed may have made fewer calls than they would have; so more are asked for.
    double enough_failed_samples = 12;
    /// A route that makes fewer calls than this to another one, for each of its requests, does not
    /// depend on it.
    double least_calls = 0.05;
    double time_weight = 0.1;  ///< Of one run in the moving average of a route's time.
    /// An instance fails a request at once when one of its calls has failed: 20 ms at most on the
    /// bench's days that were looked at, more on a machine that is short of processor time.
    Duration failure_memory = 100ms;
};

/// Aggregate: the runs and the calls of one instance. Until enough has been seen, every route counts
/// as making every call once.
class CallGraph {
public:
    using RunNumber = std::uint64_t;

    explicit CallGraph(CallGraphKnobs knobs) : knobs_(knobs) {}

    /// The instance is about to be sent a request.
    /// @param deadline moved to what the instance is to be handed if the run becomes a sample.
    RunNumber onRunBegan(TimePoint now, const std::string& route, const Lineage& lineage, TimePoint* deadline);
    /// @param is_whole it was answered with success, so that it has made all of its calls.
    void onRunEnded(TimePoint now, RunNumber number, bool is_whole);
    /// The instance has called `callee`, a route of the table. @param given the time it gives.
    /// @return what the call takes over: of its run if that is known, else the mean of what runs.
    Lineage onCall(TimePoint now, const std::string& callee, Duration given);
    /// A call that the instance made has failed, and it was told so.
    void onCallFailed(TimePoint now) { failed_calls_.push_back(now); }
    /// The instance has answered a request with a failure.
    /// @return true if that follows from a failed call, which then explains no other failure.
    bool explainFailure(TimePoint now, TimePoint run_began);

    /// Calls of `callee` in each run of `route`; nothing if too little was seen.
    [[nodiscard]] std::optional<double> callsPerRun(const std::string& route, const std::string& callee) const;
    /// False if requests of `route` make no calls of `callee`.
    [[nodiscard]] bool depends(const std::string& route, const std::string& callee) const;
    /// Calls of one callee in each run of `route`, of the callee that gets most; 0 if runs make none, or the
    /// instance was not seen to make any.
    [[nodiscard]] double mostCalls(const std::string& route) const;

private:
    struct Run {
        std::string route;
        Lineage lineage;
        TimePoint began{};
        TimePoint deadline{};                ///< That the instance was handed.
        bool is_alone = true;                ///< No other run has had nearly the same deadline meanwhile.
        std::map<std::string, double> made;  ///< Recognised calls, by callee.
    };
    /// Samples of one route's calls of one callee; counts fade.
    struct Samples {
        double whole_runs = 0;
        double calls_of_whole = 0;
        double failed_runs = 0;
        double calls_of_failed = 0;
    };
    /// What is known of one route of the instance. What runs: `running` equals the number of runs_ of it.
    struct Route {
        double mean_time = 0;  ///< Seconds; 0 before the first run has ended.
        std::uint32_t since_sample = 0;
        std::uint32_t running = 0;
        Lineage sum{0, 0};  ///< Over what runs.
        std::map<std::string, Samples> by_callee;
    };

    void fade(TimePoint now);
    [[nodiscard]] bool hasRoom(const Route& route, Duration usual) const;
    [[nodiscard]] bool isSampleDue(const Route& route) const;
    [[nodiscard]] Duration sampleTime(const Route& route) const;
    [[nodiscard]] TimePoint unlikeOthers(TimePoint deadline) const;
    void markNeighbours(Run* run);
    [[nodiscard]] Run* recognise(TimePoint deadline);
    [[nodiscard]] Lineage meanLineage(const std::string& callee) const;
    void count(const Run& run, bool is_whole);

    CallGraphKnobs knobs_;
    RunNumber last_number_ = 0;
    std::map<RunNumber, Run> runs_;                    ///< What runs.
    std::multimap<TimePoint, RunNumber> by_deadline_;  ///< The same.
    std::map<std::string, Route> routes_;
    std::map<std::string, Duration> callees_;  ///< The usual time that calls give, by route.
    UsualDeadlines usual_;
    std::deque<TimePoint> failed_calls_;  ///< In order of time; those that explain nothing yet.
    TimePoint faded_{};
};

}  // namespace dewcrank::decision
