/// @file
/// A simulated fleet: machines, each with the production sidecar node and a model of its instance, callers, the store
/// and faults. It checks the invariants of the service mesh over what callers and instances have recorded.
#pragma once

#include <array>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sim/control_store.h"
#include "sim/network.h"
#include "sim/sidecar_instance.h"
#include "sim/virtual_clock.h"
#include "src/adapters/seeded_random.h"
#include "src/ports/event_log.h"
#include "src/sidecar/sidecar_node.h"

namespace dewcrank::sim {

/// Deadline of each caller's request.
inline constexpr Duration kCallerDeadline = 2s;
/// Limit on the retries of each service: ratio to first attempts, slack, window.
inline constexpr decision::RetryLimit kRetryLimit{0.05, 12, 10s};
/// A revoked key is rejected after this time at the latest, in fleets with tenants.
inline constexpr Duration kRevocationBound = 5s;
/// Sliding window in which quotas are checked, and the share and the number of runs that may exceed a quota there.
inline constexpr Duration kQuotaWindow = 5s;
inline constexpr double kQuotaOverage = 0.1;
inline constexpr double kQuotaSlack = 20;
/// Runs may begin on an instance for this long after its node has received that the instance drains or leaves.
inline constexpr Duration kDrainBound = 2s;
/// Environment variable with the path of a file to which the log lines of all nodes are appended.
inline constexpr const char* kTraceVariable = "DEWCRANK_SIM_TRACE";
/// Work for a request ends within this time after its caller has cancelled it.
inline constexpr Duration kCancellationGrace = 500ms;

/// A service of a fleet: the options of its instances, and the number of machines, each with one instance.
struct FleetService {
    InstanceOptions instance;
    std::size_t machines = 3;
};

/// Callers that send a request again, with a new id, when they get 503 with `Retry-After`.
struct ClientRetryOptions {
    double at_once_share = 0;     ///< Callers that do so after `at_once_gap`; the others once, and as told.
    int at_once_retries = 3;      ///< Retries of one of these callers at most.
    Duration at_once_gap = 80ms;  ///< More than what nodes take for a rounding error of the deadline.
};

/// Which attempt of its caller a request is.
struct CallerAttempt {
    int number = 1;
    bool returns_at_once = false;         ///< The caller does not wait as told.
    Duration deadline = kCallerDeadline;  ///< Remaining time of the caller.
};

/// A caller's request and its outcome.
struct CallerRequest {
    std::string id;
    std::string path;
    bool is_idempotent = true;
    std::string entry;          ///< Machine that the caller sent it to.
    std::string entry_address;  ///< Where that machine's node takes callers' requests.
    TimePoint sent{};
    TimePoint ended{};  ///< When the call ended for the caller; the epoch before that.
    int status = 0;     ///< 0: no response.
    std::string body;
    bool is_cancelled = false;        ///< The caller closed the connection before the response.
    bool entry_failed = false;        ///< The entry was down, killed or suspended; the response may be missing.
    bool not_sent = false;            ///< The entry refused the connection.
    std::uint64_t table_version = 0;  ///< The newest acknowledged version when it was sent.
    std::string key;                  ///< API key of the caller; empty: none.
    CallerAttempt attempt;
};

/// A route that tables have beside the usual ones.
struct ExtraRoute {
    std::string prefix;
    std::string service;
};

/// A violated invariant.
struct Violation {
    std::string invariant;  ///< Its name; same as in tests/soak/checks.cc if both check it.
    std::string detail;     ///< Which request, instance or service violated it.
};

/// A whole simulated fleet, deterministic for each seed. Machines are named "m0", "m1", ... and are distributed over
/// three zones in turn. If the environment has `kTraceVariable`, the log lines of the nodes are appended to the file
/// that it names, with virtual time and machine.
class SidecarFleet {
public:
    /// @param services whose machines start at once, in this order.
    /// @param disabled mechanisms that are switched off in every node.
    /// @param tenants of the tables that are put; if there are any, nodes enforce `kRevocationBound`.
    /// @param seeds how many of the first machines are gossip seeds of all nodes.
    /// @param overload optional parts of the overload control that are on in every node.
    SidecarFleet(std::uint64_t seed, const std::vector<FleetService>& services, const DisabledMechanisms& disabled = {},
                 std::vector<wire::Tenant> tenants = {}, std::size_t seeds = 3, const OverloadFeatures& overload = {});
    ~SidecarFleet();
    SidecarFleet(const SidecarFleet&) = delete;
    SidecarFleet& operator=(const SidecarFleet&) = delete;

    EventQueue& queue() { return queue_; }
    ControlStoreModel& store() { return store_; }
    Network& network() { return network_; }
    [[nodiscard]] std::size_t machineCount() const { return machines_.size(); }
    /// @return the node of a machine; null while it is down.
    sidecar::SidecarNode* node(std::size_t machine);
    SidecarInstance& instance(std::size_t machine);
    /// @return the host on which the node of a machine runs.
    Host& host(std::size_t machine);
    void runFor(Duration duration) { queue_.runUntil(queue_.now() + duration); }
    /// Runs an action after a delay, also if hosts are down by then.
    void after(Duration wait, std::function<void()> action) {
        queue_.schedule(queue_.now() + wait, nullptr, std::move(action));
    }

    /// Sets how many of the first machines are seeds for nodes that start from now on.
    void setSeeds(std::size_t machines) { seeds_ = machines; }
    /// Adds a machine with its node and its instance.
    /// @param address_index number of the machine whose addresses and zone it gets: its own, or that of a removed one.
    void addMachine(const InstanceOptions& options, std::size_t address_index);
    /// Kills the node and the instance of a machine for good.
    void removeMachine(std::size_t machine);
    void startNode(std::size_t machine);
    void killNode(std::size_t machine);
    /// Stops a node gracefully and starts it again.
    void restartNode(std::size_t machine);
    /// Suspends a machine, its instance included, for some time.
    void suspendMachine(std::size_t machine, Duration duration);
    /// Puts a table whose routes `/work/` (idempotent), `/sign/` (not idempotent) and `/inner/` (internal) lead to
    /// these services.
    /// @return the version of the table.
    std::uint64_t putTable(const std::string& work, const std::string& sign, const std::string& internal);

    /// Makes callers send rejected requests again, to random machines; without this call they do not.
    void setClientRetries(const ClientRetryOptions& options) { client_retries_ = options; }
    /// Sets the further routes, for callers, of the tables that are put from now on.
    void setExtraRoutes(std::vector<ExtraRoute> routes) { extra_routes_ = std::move(routes); }

    /// Gives the services of the tables that are put from now on a health path.
    void setHealthPaths() { has_health_paths_ = true; }

    /// Makes all open connections between nodes, and from nodes to their instances, silent for good.
    void silenceNodeConnections();
    /// Cuts a machine's node from the nodes of all other machines, or restores the links.
    void setIsolated(std::size_t machine, bool is_isolated);

    /// Changes the tenants and puts a table with the routes of the last one.
    void changeTenants(const std::function<void(std::vector<wire::Tenant>*)>& change);

    /// Sends a caller's request to the node of a machine.
    /// @param cancel_after time after which the caller cancels it; zero: never.
    /// @param key API key of the caller; empty: none.
    void send(std::size_t machine, const std::string& path, bool is_idempotent, Duration cancel_after = {},
              const std::string& key = "", const CallerAttempt& attempt = {});
    /// Sends requests to random machines with exponential gaps until `end`. Machines whose readiness probe, once a
    /// second, has failed twice in a row are skipped.
    /// @param sign_share probability of the path `/sign/x`, else `/work/x`.
    /// @param cancel_share probability that the caller cancels within 80 ms.
    void generateLoad(double per_second, TimePoint end, double sign_share = 0.3, double cancel_share = 0);
    /// Sends requests with one API key to random machines, as generateLoad does, until `end`.
    void generateKeyedLoad(const std::string& key, double per_second, TimePoint end);

    [[nodiscard]] const std::vector<std::unique_ptr<CallerRequest>>& requests() const { return requests_; }
    [[nodiscard]] const std::vector<RunRecord>& runs() const { return records_.runs; }
    [[nodiscard]] const InstanceRecords& records() const { return records_; }
    /// @return the number of requests whose response had this status.
    [[nodiscard]] std::size_t countResponses(int status) const;
    /// Checks all invariants over the records so far.
    [[nodiscard]] std::vector<Violation> violations() const;

private:
    struct Machine;
    /// When an incarnation of an instance was suspended.
    struct Suspension {
        std::string incarnation;
        TimePoint began{};
        TimePoint ended{};
    };
    /// When a node ended or its machine resumed from a suspension: what the node has passed on does not bind it after.
    struct EntryRestart {
        std::string entry;  ///< Address at which the node takes callers' requests.
        TimePoint at{};
    };
    /// @return true if the instance was suspended during the run, so that it could not stop it in time.
    [[nodiscard]] bool wasSuspended(const RunRecord& run) const;
    class MachineLog;
    /// Marks open requests at an entry that is about to be killed or suspended: they may get no response.
    void markEntryFailed(const std::string& entry);
    void endNode(std::size_t machine);
    void pollReadiness(std::size_t machine);
    void scheduleRetry(const CallerRequest& request, const HttpResponse& response);
    void scheduleNextRequest(double per_second, TimePoint end, double sign_share, double cancel_share);
    void checkResponses(std::vector<Violation>* out) const;
    [[nodiscard]] bool isAllowed(const RunRecord& run) const;
    void checkRuns(std::vector<Violation>* out) const;
    void checkDraining(std::vector<Violation>* out) const;
    void checkRetries(std::vector<Violation>* out) const;
    void checkAccess(std::vector<Violation>* out) const;
    void checkQuotas(std::vector<Violation>* out) const;
    void checkSignals(std::vector<Violation>* out) const;
    /// @return the caller address of the node at which a request began, and when; empty if it is not known.
    [[nodiscard]] RequestOrigin originOf(const ArrivalRecord& arrival,
                                         const std::map<std::string, const CallerRequest*>& by_id) const;
    [[nodiscard]] std::map<std::string, const CallerRequest*> requestsById() const;
    [[nodiscard]] std::size_t logLinesWithKey() const;

    /// A tenant as one table defined it, and when the next table replaced that.
    struct TenantVersion {
        wire::Tenant tenant;
        TimePoint superseded_at = TimePoint::max();
    };
    void recordTenants();

    DisabledMechanisms disabled_;
    OverloadFeatures overload_;
    std::optional<ClientRetryOptions> client_retries_;
    std::vector<wire::Tenant> tenants_;
    std::vector<TenantVersion> tenant_versions_;  ///< Of all tables, in order.
    std::array<std::string, 3> routed_services_;  ///< Services of the last table's routes.
    std::vector<ExtraRoute> extra_routes_;
    bool has_health_paths_ = false;
    EventQueue queue_;
    adapters::SeededRandom random_;
    Network network_;
    ControlStoreModel store_;
    std::ofstream trace_;  ///< Open only if `kTraceVariable` is set.
    std::vector<std::unique_ptr<Machine>> machines_;
    InstanceRecords records_;
    std::vector<std::unique_ptr<CallerRequest>> requests_;
    std::vector<AttemptHandle> attempts_;
    std::vector<Host*> caller_hosts_;
    std::vector<std::unique_ptr<Host>> owned_hosts_;
    std::map<std::string, TimePoint> drained_at_;  ///< By incarnation: when its node received that it drains or leaves.
    std::vector<Suspension> suspensions_;
    std::vector<EntryRestart> entry_restarts_;
    std::set<std::string> allowed_routes_;  ///< "path service" of every route in any table.
    std::uint64_t table_version_ = 0;
    std::size_t seeds_;
};

}  // namespace dewcrank::sim
