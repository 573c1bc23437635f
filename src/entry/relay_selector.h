/// @file
/// Load balancing over the relays of a service, by load, zone and recent failures.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "src/balancing/balancer.h"
#include "src/base/decaying_mean.h"
#include "src/entry/known_signals.h"
#include "src/fleet/node_directory.h"
#include "src/ports/clock.h"
#include "src/ports/random_source.h"
#include "src/relay/instance_queue.h"

namespace dewcrank::entry {

/// Constants of the cost of a relay: its utilization (running and waiting requests per slot) plus these terms.
struct SelectorKnobs {
    double other_zone_cost = 0.6;   ///< Falls to zero as the utilization rises from 0.5 to 1.
    double cold_cost = 0.3;         ///< Added for a cold instance.
    double cold_factor = 2.0;       ///< Multiplies the utilization of a cold instance, which is slower.
    double max_random_cost = 0.05;  ///< Uniform from zero to this; keeps entries from choosing the same relay.
    double suspected_cost = 100;    ///< Added for a suspected relay, so that any other one is preferred.
    Duration load_decay = 2s;       ///< Weight of a reported load falls linearly to zero over this time.
    /// Multiplies the decaying mean of recent failures, from 0 to 1. A relay whose calls fail goes on receiving some as
    /// that mean decays, so that its recovery is noticed.
    double failure_cost = 3;
    Duration failure_decay = 2s;  ///< Decay time of that mean.
    /// A reported rate limit counts for this long; then a request is to find out whether it still applies.
    Duration rate_limit_memory = 5s;
    balancing::BalancerKnobs balancing;  ///< By pace and by zone; off by default.
};

/// Where a request is sent.
struct RelayTarget {
    std::string node;                          ///< Node name; empty: no relay can be chosen.
    std::string address;                       ///< Address of the node.
    std::string instance;                      ///< Id of the node's instance.
    std::uint64_t instance_start_ms = 0;       ///< Start time of its incarnation; 0 if it is not known.
    std::optional<double> known_rate_limit{};  ///< Requests per second that the instance has named.
    bool is_stopping = false;                  ///< The relay is stopping, and the only choice.
    bool is_probe = false;                     ///< The state of the instance is unknown, and no other one is ready.
};

/// Estimates the load of each relay from its last report and from what this node has sent since.
class RelaySelector {
public:
    RelaySelector(Clock& clock, RandomSource& random, const fleet::NodeDirectory& directory, SelectorKnobs knobs);

    /// Chooses the relay of least cost for a service. A stopping relay is chosen only if there is no other, so that a
    /// rolling restart rejects no requests; after these, one of those whose node is up and whose instance is in an
    /// unknown state, at random.
    /// @param excluded names of nodes not to choose.
    /// @return a target with an empty node if there is none.
    RelayTarget choose(const std::string& service, const std::set<std::string>& excluded);
    /// True if any relay serves the service, stopping ones included.
    [[nodiscard]] bool hasRelay(const std::string& service) const;
    /// True if a relay serves the service that is neither excluded, suspected nor stopping.
    [[nodiscard]] bool hasReachableRelay(const std::string& service, const std::set<std::string>& excluded) const;
    /// Call when an attempt was sent to the relay of a node.
    void onSent(const std::string& node);
    /// Call when the attempt has ended, for whatever reason.
    void onEnded(const std::string& node);
    /// Call when the relay of a node has reported its load.
    void onLoad(const std::string& node, const relay::QueueLoad& load);
    /// Call when a result tells something about an instance. @param instance its id.
    void onNotice(const std::string& instance, const relay::InstanceNotice& notice) {
        known_signals_.onNotice(instance, notice);
    }
    /// Call when the result of a request that was sent to a node's instance is known. @param has_failed true if the
    /// instance responded with a failure of its own, or sent no complete response.
    void onOutcome(const std::string& node, bool has_failed);
    /// @return the number of relays that serve a service and are not stopping.
    [[nodiscard]] std::size_t relayCount(const std::string& service) const;

private:
    /// Load and failures of one relay.
    struct RelayStats {
        explicit RelayStats(Duration failure_decay) : failures(failure_decay) {}
        relay::QueueLoad load;
        TimePoint reported_at{};
        int in_flight = 0;                           ///< Attempts sent by this node that have not ended.
        int in_flight_at_report = 0;                 ///< `in_flight` at `reported_at`.
        DecayingMean failures;                       ///< 1 for each call that failed, 0 for each other.
        std::size_t zone = balancing::kUnknownZone;  ///< Of its node at the last report.
    };
    [[nodiscard]] bool serves(const wire::NodeRecord& record, const std::string& service) const;
    [[nodiscard]] bool serves(const fleet::KnownNode& node, const std::string& service) const {
        return !node.is_superseded && serves(node.record, service);
    }
    [[nodiscard]] bool servesWhileStopping(const wire::NodeRecord& record, const std::string& service) const;
    [[nodiscard]] RelayTarget targetAt(const wire::NodeRecord& record, bool is_stopping) const;
    /// A relay that may be chosen, from the directory.
    struct Candidate {
        const wire::NodeRecord& record;
        std::size_t ordinal;  ///< Index of its node in the directory.
        Duration cold_left;
        bool is_suspected;
    };
    RelayStats& statsOf(std::size_t ordinal);
    RelayStats& statsOf(const std::string& node) { return statsOf(directory_.ordinalOf(node)); }
    /// What is the same for all candidates of a choice.
    struct Choice {
        TimePoint now{};
        const balancing::ServiceValues* service = nullptr;  ///< Null if balancing by pace and by zone is off.
        double own_zone_utilization = 0;
    };
    Choice choiceFor(const std::string& service, TimePoint now);
    double costOf(const Choice& choice, const Candidate& candidate);
    /// @param freshness weight of the last report.
    /// @return the cost of a relay without a rate limit by its load and the pace of its instance.
    [[nodiscard]] double balancedCost(const Choice& choice, const Candidate& candidate, const RelayStats& stats,
                                      double freshness) const;
    /// @param cost of a relay of another zone. @return what the preference for the own zone adds to it.
    [[nodiscard]] double otherZoneCost(const Choice& choice, const RelayStats& stats, double cost) const;
    /// Adds the last report of a relay to the view of its service.
    void addToView(const std::string& node, RelayStats* stats);
    [[nodiscard]] double coldCost(const Candidate& candidate, double cost) const;
    /// @param in_flight requests that run or wait at the relay. @param age of its report.
    /// @return the utilization of an instance with a rate limit: below 1 only if a request could be sent at once.
    [[nodiscard]] static double limitedUtilization(const relay::QueueLoad& load, double in_flight, double sent_since,
                                                   Duration age);
    [[nodiscard]] RelayTarget chooseStopping(const std::string& service, const std::set<std::string>& excluded) const;
    [[nodiscard]] RelayTarget chooseProbe(const std::string& service, const std::set<std::string>& excluded) const;

    Clock& clock_;
    RandomSource& random_;
    const fleet::NodeDirectory& directory_;
    SelectorKnobs knobs_;
    balancing::Balancer balancer_;
    KnownSignals known_signals_;
    std::vector<RelayStats> stats_;  ///< Indexed by the node's ordinal in the directory; 0 is this node.
};

}  // namespace dewcrank::entry
