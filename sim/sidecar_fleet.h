/// @file
/// A simulated fleet: machines, each with a shipped sidecar node and a model of its instance,
/// callers, the store and faults; with checks of what must hold.
#pragma once

#include <array>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
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

/// That callers give.
inline constexpr Duration kCallerDeadline = 2s;
/// Of the repeats of each service.
inline constexpr decision::RetryLimit kRepeats{0.05, 12, 10s};
/// A revoked key runs nothing later than this, where a fleet has tenants.
inline constexpr Duration kRevocation = 5s;
/// Of the quotas: the window in which they are judged, and what may be beyond them there.
inline constexpr Duration kQuotaWindow = 5s;
inline constexpr double kQuotaOverage = 0.1;
inline constexpr double kQuotaSlack = 20;
/// Names the file to which nodes' log lines are appended.
inline constexpr const char* kTraceVariable = "DEWCRANK_SIM_TRACE";
/// After a caller has left, work may go on for this long.
inline constexpr Duration kGrace = 500ms;

/// The services of a fleet and how their instances work.
struct FleetService {
    InstanceOptions instance;
    std::size_t machines = 3;
};

/// One caller's request and what became of it.
struct CallerRequest {
    std::string id;
    std::string path;
    bool is_repeatable = true;
    std::string entry;  ///< Machine that took it.
    TimePoint sent{};
    TimePoint ended{};  ///< When it was answered or its caller left.
    int status = 0;     ///< 0: no answer.
    std::string body;
    bool has_left = false;            ///< The caller left before the answer.
    bool entry_lost = false;          ///< The entry was killed meanwhile.
    bool not_taken = false;           ///< The entry was not there, or closed before it read the request.
    std::uint64_t table_version = 0;  ///< The newest acknowledged version when it was sent.
    std::string key;                  ///< That its caller shows; empty: none.
};

/// A promise that was seen broken.
struct Breach {
    std::string promise;
    std::string detail;
};

/// All of a fleet. Machines are named "m0", "m1", ... and are dealt to three zones in turn. If the environment has
/// `kTraceVariable`, what the nodes log is appended to the file that it names, with virtual time and machine.
class SidecarFleet {
public:
    /// @param weakening switched off in every node.
    /// @param tenants of the tables that are put; if there are any, keys are bound to `kRevocation`.
    /// @param seeds first machines whose addresses nodes are told as they start; 0: they are told none.
    SidecarFleet(std::uint64_t seed, const std::vector<FleetService>& services, const DisabledMechanisms& disabled = {},
                 std::vector<wire::Tenant> tenants = {}, std::size_t seeds = 3);
    ~SidecarFleet();
    SidecarFleet(const SidecarFleet&) = delete;
    SidecarFleet& operator=(const SidecarFleet&) = delete;

    EventQueue& queue() { return queue_; }
    ControlStoreModel& store() { return store_; }
    Network& network() { return network_; }
    [[nodiscard]] std::size_t machineCount() const { return machines_.size(); }
    sidecar::SidecarNode* node(std::size_t machine);
    SidecarInstance& instance(std::size_t machine);
    Host& machineClock(std::size_t machine);
    void runFor(Duration duration) { queue_.runUntil(queue_.now() + duration); }
    /// Does something after a time, whatever host lives then.
    void after(Duration wait, std::function<void()> action) {
        queue_.schedule(queue_.now() + wait, nullptr, std::move(action));
    }

    /// Nodes that start from now on are told the addresses of the first machines.
    void setSeeds(std::size_t machines) { seeds_ = machines; }
    /// A further machine, which takes the addresses and the zone of the one of that number, if that has ended.
    void addMachine(const InstanceOptions& options, std::size_t place);
    /// The machine ends for good, with its node and its instance.
    void endMachine(std::size_t machine);
    void startNode(std::size_t machine);
    void killNode(std::size_t machine);
    /// A planned stop and a start after it.
    void cycleNode(std::size_t machine);
    /// The machine, its instance included, stands still for a time.
    void suspendMachine(std::size_t machine, Duration duration);
    /// Puts a table whose route `/work/` (repeatable) and `/sign/` (not) go to these services.
    std::uint64_t putTable(const std::string& work, const std::string& sign, const std::string& inner);

    /// Changes the tenants of the tables to come: a table with the same routes as the last one follows at once.
    void changeTenants(const std::function<void(std::vector<wire::Tenant>*)>& change);

    /// Sends a caller's request to a machine. @param leaves_after zero: the caller stays.
    void send(std::size_t machine, const std::string& path, bool is_repeatable, Duration leaves_after = {},
              const std::string& key = "");
    /// Sends requests at a rate to random machines, until `end`. A machine whose node was twice in a
    /// row not ready when asked, once a second, gets none.
    void generateLoad(double per_second, TimePoint end, double sign_share = 0.3, double leave_share = 0);
    /// Sends requests that show one key at a rate to random machines, until `end`.
    void generateKeyedLoad(const std::string& key, double per_second, TimePoint end);

    [[nodiscard]] const std::vector<std::unique_ptr<CallerRequest>>& requests() const { return requests_; }
    [[nodiscard]] const std::vector<RunRecord>& runs() const { return records_.runs; }
    [[nodiscard]] std::size_t answered(int status) const;
    /// Checks all promises over what has happened so far.
    [[nodiscard]] std::vector<Breach> breaches() const;

private:
    struct Machine;
    /// Of an instance, with its machine.
    struct Suspension {
        std::string instance;
        TimePoint began{};
        TimePoint ended{};
    };
    [[nodiscard]] bool wasSuspended(const RunRecord& run) const;
    class Log;
    void excuse(const std::string& entry);
    void endNode(std::size_t machine);
    void askReadiness(std::size_t machine);
    void generateNext(double per_second, TimePoint end, double sign_share, double leave_share);
    void checkAnswers(std::vector<Breach>* out) const;
    void checkRuns(std::vector<Breach>* out) const;
    void checkDraining(std::vector<Breach>* out) const;
    void checkRepeats(std::vector<Breach>* out) const;
    void checkAccess(std::vector<Breach>* out) const;
    void checkQuotas(std::vector<Breach>* out) const;
    [[nodiscard]] std::map<std::string, const CallerRequest*> requestsById() const;
    [[nodiscard]] std::size_t logLinesWithKey() const;

    /// One table's word on a tenant, and until when it was the newest.
    struct TenantTerm {
        wire::Tenant tenant;
        TimePoint ended = TimePoint::max();
    };
    void recordTenants();

    DisabledMechanisms disabled_;
    std::vector<wire::Tenant> tenants_;
    std::vector<TenantTerm> tenant_terms_;  ///< Of all tables, in order.
    std::array<std::string, 3> routed_to_;  ///< Of the last table.
    EventQueue queue_;
    adapters::SeededRandom random_;
    Network network_;
    ControlStoreModel store_;
    std::ofstream trace_;  ///< Closed unless a trace is asked for.
    std::vector<std::unique_ptr<Machine>> machines_;
    InstanceRecords records_;
    std::vector<std::unique_ptr<CallerRequest>> requests_;
    std::vector<AttemptHandle> attempts_;
    std::vector<Host*> caller_hosts_;
    std::vector<std::unique_ptr<Host>> owned_hosts_;
    std::map<std::string, TimePoint> drained_;  ///< By instance: when that was acknowledged.
    std::vector<Suspension> suspensions_;
    std::set<std::string> allowed_;  ///< "path service" that some table has allowed.
    std::uint64_t table_version_ = 0;
    std::size_t seeds_;
};

}  // namespace dewcrank::sim
