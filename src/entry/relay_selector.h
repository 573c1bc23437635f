/// @file
/// Chooses the relay that a request goes to, by load, zone and what failed lately.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "src/base/decaying_mean.h"
#include "src/fleet/node_directory.h"
#include "src/ports/clock.h"
#include "src/ports/random_source.h"
#include "src/relay/instance_queue.h"

namespace dewcrank::entry {

/// Constants of the choice. A relay's cost is its use (busy and waiting over slots) plus these.
struct SelectorKnobs {
    double other_zone_cost = 0.6;
    double cold_cost = 0.3;
    double cold_factor = 2.0;       ///< A cold instance is about this much slower.
    double max_random_cost = 0.05;  ///< Uniform up to this: keeps entries from choosing alike.
    double suspected_cost = 100;    ///< Chosen only if there is no other.
    Duration load_decay = 2s;       ///< Reported loads fade over this time.
    /// Of a relay all of whose calls fail lately; less in proportion. Such a relay goes on getting
    /// some calls as its cost fades, so that its recovery is seen.
    double failure_cost = 3;
    Duration failure_decay = 2s;
};

/// Where a request is sent.
struct RelayTarget {
    std::string node;
    std::string address;
    std::string instance;
    bool is_stopping = false;  ///< There is no other: its relay takes what it can still end.
};

/// Knows the loads that relays report beside their answers, and what this node has sent since.
class RelaySelector {
public:
    RelaySelector(Clock& clock, RandomSource& random, const fleet::NodeDirectory& directory, SelectorKnobs knobs);

    /// The relay of least cost for a service; one that is stopping only if there is no other: while the nodes of a
    /// service are stopped in turn, callers would be refused though their instances are there.
    /// @param excluded names of nodes not to choose.
    /// @return a target without a node if there is none.
    RelayTarget choose(const std::string& service, const std::set<std::string>& excluded);
    /// True if a relay serves the service, be it that it is stopping.
    [[nodiscard]] bool hasRelay(const std::string& service) const;
    /// True if a relay of the service that is not suspected is left beside the excluded ones.
    [[nodiscard]] bool hasReachableRelay(const std::string& service, const std::set<std::string>& excluded) const;
    void onSent(const std::string& node);
    void onEnded(const std::string& node);
    void onLoad(const std::string& node, const relay::QueueLoad& load);
    /// A call that an instance was sent has ended. @param has_failed the instance answered with a
    /// failure of its own, spoiled its answer, or gave none.
    void onOutcome(const std::string& node, bool has_failed);
    /// Relays that serve a service now.
    [[nodiscard]] std::size_t relayCount(const std::string& service) const;

private:
    struct RelayStats {
        explicit RelayStats(Duration failure_decay) : failures(failure_decay) {}
        relay::QueueLoad load;
        TimePoint reported_at{};
        int in_flight = 0;
        int in_flight_at_report = 0;
        DecayingMean failures;  ///< 1 for each call that failed, 0 for each other.
    };
    [[nodiscard]] static bool serves(const wire::NodeRecord& record, const std::string& service);
    [[nodiscard]] static bool serves(const fleet::KnownNode& node, const std::string& service) {
        return !node.is_displaced && serves(node.record, service);
    }
    [[nodiscard]] static bool servesWhileStopping(const wire::NodeRecord& record, const std::string& service);
    /// A relay that may be chosen, as the directory knows it.
    struct Candidate {
        const wire::NodeRecord& record;
        std::size_t number;
        Duration cold_left;
        bool is_suspected;
    };
    RelayStats& statsOf(std::size_t number);
    RelayStats& statsOf(const std::string& node) { return statsOf(directory_.numberOf(node)); }
    double costOf(TimePoint now, const Candidate& candidate);
    [[nodiscard]] RelayTarget chooseStopping(const std::string& service, const std::set<std::string>& excluded) const;

    Clock& clock_;
    RandomSource& random_;
    const fleet::NodeDirectory& directory_;
    SelectorKnobs knobs_;
    std::vector<RelayStats> stats_;  ///< By the directory's number of the node.
};

}  // namespace dewcrank::entry
