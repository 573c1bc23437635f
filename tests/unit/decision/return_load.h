/// @file
/// A burst of requests at one bottleneck without a network: nodes with the admission and the returns of production,
/// a service that runs a fixed number of requests per second, and callers that return as told or at once.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "src/decision/admission.h"
#include "src/decision/return_admission.h"
#include "src/decision/usual_deadlines.h"

namespace dewcrank::tests {

/// Load and its size.
struct ReturnLoad {
    std::string name;
    Duration burst = 3s;
    Duration timeout = 1500ms;          ///< Of each caller; it gives up then.
    std::size_t nodes = 1;              ///< Callers choose one at random for each attempt.
    double capacity = 1200;             ///< Requests per second that the service completes.
    double at_once_share = 0.3;         ///< Callers that return at once, three times, instead of once as told.
    double timer_speed = 1;             ///< Above 1: the clocks of callers run fast, so that they return early.
    bool is_on = true;                  ///< Whether nodes keep reservations.
    double short_timeout_share = 0;     ///< Callers whose timeout is only 0.6 of the others'.
    TimePoint bottleneck_changes_at{};  ///< Another service is the bottleneck from then on; the epoch: never.
    TimePoint nodes_restart_at{};       ///< All nodes lose their state at this time; the epoch: never.
    std::uint64_t seed = 1;
};

/// Attempts of one kind, and how many of them were served within the caller's timeout.
struct ReturnCount {
    double sent = 0;
    double served = 0;
    [[nodiscard]] double share() const { return sent > 0 ? served / sent : 0; }
};

/// What became of the requests whose callers first sent them in the burst.
struct ReturnOutcome {
    ReturnCount callers;
    ReturnCount first_attempts;
    ReturnCount told;                    ///< Returns of callers that waited as told.
    ReturnCount at_once;                 ///< Returns of the others.
    double refused_twice = 0;            ///< Callers that waited as told and were rejected again.
    double told_served_after_burst = 0;  ///< Returns as told that were served in the 1.5 s after the burst.
    decision::ReturnTotals totals;       ///< Summed over the nodes.
};

/// Plays one load from two seconds before its burst until three seconds after it.
class ReturnLoadPlay {
public:
    explicit ReturnLoadPlay(ReturnLoad load);
    ReturnOutcome run();

private:
    struct Caller {
        TimePoint first{};
        Duration timeout{};
        bool waits = true;
        bool in_burst = false;
        int attempts = 0;
        bool is_served = false;
    };
    struct Node {
        explicit Node(RandomSource& random) : admission(random, {}), returns(random, {}) {}
        decision::UsualDeadlines deadlines;
        decision::Admission admission;
        decision::Returns returns;
    };
    /// An attempt at the node that received it.
    struct Received {
        Duration remaining{};
        Duration since_first{};
        bool may_reserve = true;
    };
    void scheduleNewCallers();
    void attempt(TimePoint now, std::size_t caller);
    bool admits(TimePoint now, Node* node, Received* received);
    bool serves(TimePoint now, const Caller& caller);
    Duration retryAfter(TimePoint now, Node* node, const Received& received);
    void onRejected(TimePoint now, std::size_t caller, Duration retry_after);
    void count(TimePoint now, const Caller& caller, bool is_served);
    [[nodiscard]] double admitRatio(TimePoint now) const;
    [[nodiscard]] std::string bottleneckAt(TimePoint now) const;
    void restartNodes();

    ReturnLoad load_;
    adapters::SeededRandom random_;
    TimePoint burst_begin_{};
    TimePoint burst_end_{};
    TimePoint free_at_{};  ///< When the service has completed what it has admitted.
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<Caller> callers_;
    std::multimap<TimePoint, std::size_t> attempts_;  ///< Index of the caller by time.
    std::map<std::int64_t, double> arrivals_;         ///< By tenth of a second.
    ReturnOutcome outcome_;
};

}  // namespace dewcrank::tests
