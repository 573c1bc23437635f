/// @file
/// A model of an application instance next to a node: slots, heartbeats, draining and faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sim/network.h"
#include "sim/signal_replay.h"
#include "sim/virtual_clock.h"
#include "src/base/header_names.h"
#include "src/instance/local_instance.h"
#include "src/ports/random_source.h"

namespace dewcrank::sim {

/// Load parameters and faults of an instance. Shares are probabilities from 0 to 1.
struct InstanceOptions {
    std::string service;
    std::uint32_t slots = 10;   ///< Requests that run at the same time at most.
    Duration work_time = 50ms;  ///< Mean time of a run, without internal calls; uniform from half to 1.5 times this.
    double slow_share = 0;      ///< Of runs: take `slow_time` in place of the time that `work_time` gives.
    Duration slow_time{};
    Duration heartbeat_interval = 1500ms;
    double lost_response_share = 0;         ///< Of completed runs: no response is sent.
    double error_share = 0;                 ///< Of completed runs: the response has status 500.
    double corrupted_response_share = 0;    ///< Of responses: the instance's signature is missing, the body is wrong.
    double shed_share = 0;                  ///< Of arrivals: rejected with 503 though slots may be free.
    bool reports_start_time = true;         ///< Heartbeats contain the start time.
    bool keeps_id = false;                  ///< The id stays the same over restarts.
    bool denies_health = false;             ///< The health path says that the instance leaves, which is false.
    double late_heartbeat_share = 0;        ///< Of heartbeats: delivered up to 4 s late.
    std::string internal_host;              ///< Host that each run calls first, through the local node; empty: none.
    int internal_calls = 1;                 ///< Internal calls per run, one after the other.
    Duration internal_deadline = 1s;        ///< Deadline of an internal call; the rest of the run's if that is less.
    std::set<std::string> crash_paths;      ///< Requests for these paths crash the instance, which restarts then.
    Duration crash_delay = 70ms;            ///< From the start of the work on such a request to the crash.
    Duration restart_delay = 1500ms;        ///< From such a crash to the restart.
    std::optional<double> rate_limit;       ///< Requests per second that responses name as its limit; none: no limit.
    bool says_leaving = false;              ///< Responses say that the instance is leaving.
    std::size_t max_connections = 0;        ///< Further connections are refused; 0: any number.
    std::size_t max_connections_full = 0;   ///< The same while less than a tenth of its slots is free; 0: no less.
    double speed = 1;                       ///< Divides `work_time`; no response names it.
    double pace = 1;                        ///< Multiplies `work_time`; named as pace if responses name the load.
    bool names_load = false;                ///< Responses name running requests, slots and pace.
    bool fails_with_internal_call = false;  ///< A run fails with status 500 as soon as one of its calls fails.
};

/// A request that an instance admitted and began to run.
struct RunRecord {
    std::string request_id;
    std::string incarnation;  ///< SidecarInstance::incarnationName() of the instance that ran it.
    std::string service;
    std::string path;
    TimePoint began{};
    TimePoint ended{};     ///< TimePoint::max() while it runs.
    std::string tenant;    ///< As the request's header names it.
    bool has_key = false;  ///< The request contained a caller's key.
};

/// Where and when a request began.
struct RequestOrigin {
    std::string entry;  ///< Address at which its node takes callers' requests; empty: unknown.
    TimePoint sent{};
};

/// A request that reached an instance, whether or not it was run.
struct ArrivalRecord {
    std::string request_id;
    std::string service;
    TimePoint at{};
    std::string incarnation;
    RequestOrigin origin;  ///< Of an internal call; empty for a caller's request.
};

/// From `at` on, the responses of an incarnation have these signals.
struct SignalChange {
    TimePoint at{};
    InstanceSignals signals;
};

/// A response of an instance, with its signals, that an entry passed on.
struct PassedSignals {
    std::string entry;  ///< Address at which its node takes callers' requests.
    std::string incarnation;
    TimePoint at{};
    InstanceSignals signals;
};

/// Records of all instances of a fleet, in order of time.
struct InstanceRecords {
    std::vector<RunRecord> runs;
    std::vector<ArrivalRecord> arrivals;
    std::map<std::string, std::vector<SignalChange>> signals;  ///< By incarnation.
    std::vector<PassedSignals> passed_signals;                 ///< Only those that name something.
    std::map<std::string, RequestOrigin> internal_calls;       ///< By request id; the last one of each id.
    std::uint64_t starts = 0;  ///< Of all instances together; makes the names of incarnations unique.
};

/// Records the signals of a response that an entry passed on, if it has any.
/// @param entry address at which the entry's node takes callers' requests.
void recordPassedSignals(const HttpResponse& response, const std::string& entry, TimePoint now,
                         InstanceRecords* records);

/// Number of the node's process whose fresh address (HeartbeatCheck) a heartbeat is sent to; 0: the usual address. One
/// of a process that has ended is as the usual one, which the instance tries next.
using FreshAddress = std::uint64_t;

/// How an instance reaches its local node. `acknowledged` is called when the node has acknowledged the message, and not
/// if the node is down.
struct NodeLink {
    using Acknowledged = std::function<void()>;
    /// Receives the address for further heartbeats.
    using HeartbeatAcknowledged = std::function<void(FreshAddress)>;
    std::function<void(const instance::Heartbeat&, FreshAddress, const std::string& incarnation_name,
                       HeartbeatAcknowledged acknowledged)>
        heartbeat;
    std::function<void(const std::string& id, std::uint64_t start_ms, const std::string& incarnation_name,
                       Acknowledged acknowledged)>
        leave;
};

/// The instance at one address. Each start is a new incarnation, with a new id unless `keeps_id` is set.
class SidecarInstance {
public:
    /// @param address where the instance serves requests.
    /// @param node_address where the local node takes internal calls.
    /// @param records gets the arrivals and runs.
    SidecarInstance(EventQueue& queue, Network& network, RandomSource& random, const std::string& zone,
                    std::string address, std::string node_address, NodeLink node, InstanceRecords& records);

    void start(const InstanceOptions& options);
    /// Stops at once. Requests that run get no response.
    void crash();
    /// Sends a heartbeat that says that the instance drains; 4 s later it leaves and stops.
    void drain();
    /// Leaves without draining: announces its shutdown, sends no further heartbeat, serves on and stops.
    /// @param serves_on time from the announcement until it stops.
    void announceLeave(Duration serves_on);
    /// Says `draining` in one heartbeat, sends nothing more to its node, serves on and stops.
    /// @param serves_on time from the announcement until it stops.
    void announceDraining(Duration serves_on);
    /// Composes heartbeats now that say what the instance says now, and sends no further one.
    /// @param late_after time after which the first one arrives; the others follow at the usual interval.
    void sendLateHeartbeats(int count, Duration late_after);
    /// @return the options, which may be changed while the instance runs.
    InstanceOptions& options() { return options_; }
    /// @return the id that heartbeats contain; empty while the instance is down.
    [[nodiscard]] const std::string& id() const { return id_; }
    /// @return a name of the current incarnation that is unique in the fleet.
    [[nodiscard]] const std::string& incarnationName() const { return incarnation_name_; }
    /// Steps the machine's wall clock, from which the next start time is taken.
    void stepClock(Duration step) { clock_step_ += step; }
    [[nodiscard]] bool isUp() const { return host_.isUp() && !id_.empty(); }
    /// @return when a node first acknowledged that it drains or leaves; the epoch if none has.
    [[nodiscard]] TimePoint drainAcknowledged() const { return drain_acknowledged_; }
    Host& host() { return host_; }

private:
    std::uint64_t handle(HttpRequest request, Server::Reply reply);
    [[nodiscard]] std::size_t maxConnections() const;
    void startWork(std::uint64_t run_id);
    void callInternalRoute(std::uint64_t run_id, int calls_left);
    void finishRun(std::uint64_t run_id);
    void crashAndRestart();
    void failRun(std::uint64_t run_id);
    HttpResponse makeResponse(const HttpRequest& request, int status);
    /// Adds the headers that all responses of the instance have.
    void addSignals(HttpResponse* response);
    [[nodiscard]] instance::Heartbeat nextHeartbeat();
    void deliver(const instance::Heartbeat& heartbeat, Duration delay);
    void sendHeartbeat();
    void leave();

    struct Running {
        HttpRequest request;
        Server::Reply reply;
        std::size_t record_index = 0;  ///< Into InstanceRecords::runs.
        TimePoint deadline{};
        AttemptHandle internal_call;
        TimerHandle timer;
    };
    EventQueue& queue_;
    Network& network_;
    RandomSource& random_;
    Host host_;
    std::string address_;
    std::string node_address_;
    NodeLink node_;
    InstanceRecords& records_;
    HeaderNames names_;
    InstanceOptions options_;
    std::string id_;
    std::string incarnation_name_;
    std::uint64_t start_ms_ = 0;  ///< Wall-clock time of the start.
    Duration clock_step_{};       ///< Offset of the wall clock.
    std::uint64_t sequence_ = 0;  ///< Of the last heartbeat.
    FreshAddress fresh_address_ = 0;
    std::uint64_t last_run_id_ = 0;
    bool is_draining_ = false;
    bool has_announced_leave_ = false;
    TimePoint drain_acknowledged_{};
    TimerHandle heartbeat_timer_;
    TimerHandle leave_timer_;
    std::map<std::uint64_t, Running> running_;
};

}  // namespace dewcrank::sim
