/// @file
/// The fleet of a soak: real nodes as processes of their own, and beside each a stand-in of an
/// instance; a stand-in of the store; and a proxy on every link between them.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "src/adapters/event_loop.h"
#include "src/adapters/http_client.h"
#include "src/adapters/seeded_random.h"
#include "src/decision/retry_budget.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/observations.h"
#include "tests/standins/instance.h"
#include "tests/standins/object_store.h"

namespace dewcrank::soak {

/// What the nodes are told to keep repeats within, for each service.
inline constexpr decision::RetryLimit kRepeats{0.2, 40, 10s};

/// One node, what is beside it, and the links that lead to and from it.
struct FleetNode {
    std::string name;
    std::string zone;
    adapters::SocketAddress callers;
    adapters::SocketAddress nodes;  ///< Its own; others are told the proxy's.
    adapters::SocketAddress heartbeats;
    adapters::SocketAddress readiness;
    adapters::SocketAddress instance_address;
    standins::InstanceOptions instance_options;
    std::unique_ptr<standins::Instance> instance;
    std::unique_ptr<FaultProxy> to_node;      ///< From all other nodes.
    std::unique_ptr<FaultProxy> to_instance;  ///< From the node.
    std::unique_ptr<FaultProxy> to_store;     ///< From the node.
    std::string told_address;                 ///< For other nodes, behind its proxy,
    std::string instance_link;                ///< and its own ways to its instance and to the store.
    std::string store_link;
    TimerHandle restart;  ///< Of the instance, after a run has ended it.
    AttemptHandle readiness_probe;
    int readiness_misses = 2;    ///< In a row; callers leave a node after two.
    std::size_t exits_read = 0;  ///< Lines of its file of exits.
};

/// Nodes are started, and started again when they end, by scripts/soak.sh: it finds each node's
/// settings as DIRECTORY/NAME.toml, writes the process's id into NAME.pid and each end into NAME.exits,
/// and waits with a start while there is a file NAME.held.
class Fleet {
public:
    /// One of the services, and how its instances work.
    struct Service;

    /// @param copies nodes of each service in each zone.
    Fleet(adapters::EventLoop& loop, std::string directory, std::uint64_t seed, std::size_t copies);

    /// Listens with all stand-ins and proxies, and writes the settings and the list of nodes.
    Result<void> prepare();
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    FleetNode& node(std::size_t number) { return *nodes_[number]; }
    standins::ObjectStore& store() { return store_; }
    Observations& seen() { return seen_; }
    adapters::SeededRandom& random() { return random_; }
    [[nodiscard]] bool takesCallers(std::size_t number) const { return nodes_[number]->readiness_misses < 2; }
    [[nodiscard]] bool allTakeCallers() const;

    /// Starts the instance beside a node anew.
    void startInstance(std::size_t number);
    /// Sends a signal to a node's process. @param ends it: an end that follows is expected.
    void signal(std::size_t number, int signal_number, bool ends);
    /// Writes the settings of a node's next start: a node of another name at the same addresses.
    void writeSettings(std::size_t number, const std::string& name);
    /// Keeps a node from being started, or lets it be.
    void hold(std::size_t number, bool is_held);
    /// Writes the operator's next table. @return its version.
    std::uint64_t putTable();
    /// A key that a caller may show: most often one of the newest table, at times one that was taken away, or no key.
    std::string pickKey();
    /// True if the newest table holds the key, and its tenant stays within its limit.
    [[nodiscard]] bool isOwed(const std::string& key) const;
    /// What tenants with a limit may run in the window of the checks.
    [[nodiscard]] static std::map<std::string, double> mostRuns();
    /// Paths of the routes of the newest table that callers may use.
    [[nodiscard]] const std::vector<std::string>& callerRoutes() const { return caller_routes_; }

private:
    Result<void> addNode(const Service& service, const std::string& zone, std::size_t copy);
    Result<void> prepareNode(std::size_t number);
    void askReadiness(std::size_t number);
    void look();
    void readExits(FleetNode& node);

    adapters::EventLoop& loop_;
    std::string directory_;
    std::size_t copies_;
    adapters::SeededRandom random_;
    adapters::SeededRandom key_random_;  ///< Apart, so that a seed's faults and requests do not depend on keys.
    Observations seen_;
    adapters::HttpClient client_;
    standins::ObjectStore store_;
    adapters::SocketAddress store_address_;
    std::vector<std::unique_ptr<FleetNode>> nodes_;
    std::set<int> ended_;  ///< Processes that this soak has ended.
    std::uint64_t table_version_ = 0;
    std::vector<std::string> caller_routes_;
    TimerHandle look_timer_;
};

}  // namespace dewcrank::soak
