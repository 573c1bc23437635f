/// @file
/// The fleet of a soak: real node processes, each with a stand-in for its local application instance, a stand-in for
/// the store, and a fault proxy on every link between them.
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

/// Retry limit of each service in the settings of all nodes.
inline constexpr decision::RetryLimit kRetryLimit{0.2, 40, 10s};

/// Routes of timed work for callers, which only tables of fleets with timed work have.
inline constexpr const char* kTimedRoute = "/timed/";             ///< Makes no calls.
inline constexpr const char* kTimedChainRoute = "/timed-chain/";  ///< Its instances may call kTimedSecondRoute.
/// Routes of the second and third service of a chain.
inline constexpr const char* kTimedSecondRoute = "/timed-second/";
inline constexpr const char* kTimedThirdRoute = "/timed-third/";

/// One node, its local instance, and the proxies of its links.
struct FleetNode {
    std::string name;
    std::string zone;
    adapters::SocketAddress callers;     ///< Where the node listens for callers.
    adapters::SocketAddress nodes;       ///< Where the node listens for other nodes; they connect to `node_proxy`.
    adapters::SocketAddress heartbeats;  ///< Where the node listens for its instance's heartbeats.
    adapters::SocketAddress readiness;   ///< Where the node serves its readiness.
    adapters::SocketAddress instance_address;
    standins::InstanceOptions instance_options;
    std::unique_ptr<standins::Instance> instance;
    std::unique_ptr<FaultProxy> node_proxy;      ///< Link from all other nodes.
    std::unique_ptr<FaultProxy> instance_proxy;  ///< Link from the node to its instance.
    std::unique_ptr<FaultProxy> store_proxy;     ///< Link from the node to the store.
    std::string advertised_address;              ///< Address of `node_proxy`, which other nodes use.
    std::string instance_link;                   ///< Address of `instance_proxy`, which the node uses.
    std::string store_link;                      ///< Address of `store_proxy`, which the node uses.
    TimerHandle restart;                         ///< Restarts the instance after a crashing request.
    AttemptHandle readiness_probe;
    int readiness_misses = 2;    ///< Consecutive failed probes; callers avoid a node from the second on.
    std::size_t exits_read = 0;  ///< Lines of NAME.exits that were read.
};

/// Sets up and controls the fleet. scripts/soak.sh starts the node processes and restarts them when they exit: it reads
/// each node's settings from DIRECTORY/NAME.toml, writes the process id to NAME.pid and each process id and exit code
/// to NAME.exits, and does not start a node while the file NAME.held exists.
class Fleet {
public:
    /// A service and the work of its instances.
    struct Service;

    /// @param directory shared with scripts/soak.sh. @param seed of random faults, requests and keys.
    /// @param copies nodes per service and zone. @param has_tenants false: the tables have no tenants and no keys.
    /// @param has_timed_work true: the tables have routes for timed work, and instances have fewer slots.
    Fleet(adapters::EventLoop& loop, std::string directory, std::uint64_t seed, std::size_t copies, bool has_tenants,
          bool has_timed_work);

    /// Starts all stand-ins and proxies, publishes the first table, and writes the node settings and the list of nodes.
    Result<void> prepare();
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    FleetNode& node(std::size_t number) { return *nodes_[number]; }
    standins::ObjectStore& store() { return store_; }
    Observations& observations() { return observations_; }
    adapters::SeededRandom& random() { return random_; }
    /// True if callers may use the node: it has not failed two readiness probes in a row.
    [[nodiscard]] bool isInRotation(std::size_t number) const { return nodes_[number]->readiness_misses < 2; }
    /// @return the longest time by which this process was late for a timer. While it is late, callers, instances and
    /// the store do nothing, and responses that wait count as missing.
    [[nodiscard]] Duration maxLateness() const { return max_lateness_; }
    /// True if the last readiness probe of every node succeeded.
    [[nodiscard]] bool allReady() const;

    /// Starts a new incarnation of the node's local instance.
    void startInstance(std::size_t number);
    /// Sends a signal to a node's process.
    /// @param expects_exit true if the signal makes it exit; any other exit is recorded as unexpected.
    void signal(std::size_t number, int signal_number, bool expects_exit);
    /// Sends SIGHUP to a node's process, also if it was told to stop.
    void reloadStopping(std::size_t number);
    /// Writes the settings for a node's next start.
    /// @param name of the node from then on; its addresses stay.
    void writeSettings(std::size_t number, const std::string& name);
    /// @param is_held whether scripts/soak.sh must not start the node.
    void setHeld(std::size_t number, bool is_held);
    /// Writes the next routing table to the store. @return its version.
    std::uint64_t putTable();
    /// @return a random API key for a request: mostly a key of the newest table, sometimes a revoked or an unknown one;
    /// empty without tenants.
    std::string pickKey();
    /// @return a key of the newest table whose tenant stays within its quota; empty without tenants.
    [[nodiscard]] std::string currentKey() const;
    /// True if requests with this key must succeed: it is in the newest table, and its tenant stays within its quota.
    [[nodiscard]] bool mustBeServed(const std::string& key) const;
    /// @return maximum runs per quota window of the checks, by tenant, for tenants with a limit.
    [[nodiscard]] static std::map<std::string, double> maxRuns();
    /// @return path prefixes of the newest table's routes for external callers.
    [[nodiscard]] const std::vector<std::string>& callerRoutes() const { return caller_routes_; }

private:
    Result<void> addNode(const Service& service, const std::string& zone, std::size_t copy);
    Result<void> prepareNode(std::size_t number);
    void probeReadiness(std::size_t number);
    /// Probes the readiness of all nodes and reads their exits, periodically.
    void poll();
    void readExits(std::size_t number);

    adapters::EventLoop& loop_;
    std::string directory_;
    std::size_t copies_;
    bool has_tenants_;
    bool has_timed_work_;
    adapters::SeededRandom random_;
    adapters::SeededRandom
        key_random_;  ///< Separate, so that the choice of keys does not change a seed's faults and requests.
    Observations observations_;
    adapters::HttpClient client_;
    standins::ObjectStore store_;
    adapters::SocketAddress store_address_;
    std::vector<std::unique_ptr<FleetNode>> nodes_;
    std::set<int> terminated_processes_;  ///< Ids of processes whose exit is expected.
    std::uint64_t table_version_ = 0;
    std::vector<std::string> caller_routes_;
    TimerHandle poll_timer_;
    Duration max_lateness_{};
};

}  // namespace dewcrank::soak
