/// @file
/// Sidecar of one application instance: entry for the calls of local callers and of the instance, relay for the calls
/// to the instance. Runs in the daemon and in simulations.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/decision/bottleneck_view.h"
#include "src/decision/response_times.h"
#include "src/entry/call_intake.h"
#include "src/entry/entry_call.h"
#include "src/entry/relay_selector.h"
#include "src/fleet/failure_detector.h"
#include "src/fleet/gossip.h"
#include "src/fleet/node_directory.h"
#include "src/instance/heartbeat_check.h"
#include "src/instance/local_instance.h"
#include "src/policy/route_table.h"
#include "src/ports/clock.h"
#include "src/ports/control_store.h"
#include "src/ports/event_log.h"
#include "src/ports/http_transport.h"
#include "src/ports/random_source.h"
#include "src/relay/relay_service.h"
#include "src/sidecar/call_admission.h"
#include "src/sidecar/graceful_stop.h"
#include "src/sidecar/load_logger.h"
#include "src/sidecar/settings.h"
#include "src/sidecar/store_session.h"

namespace dewcrank::sidecar {

/// Interfaces to the environment. All must outlive the node.
struct Ports {
    Clock& clock;
    RandomSource& random;
    HttpTransport& nodes;      ///< Sends requests to other nodes.
    HttpTransport& instances;  ///< Sends requests to the local instance.
    ControlStore& store;
    EventLog& log;
};

/// Event counts since the start, for the metrics.
struct Counters {
    std::uint64_t relayed = 0;     ///< Calls received from other nodes.
    std::uint64_t heartbeats = 0;  ///< Accepted heartbeats of the local instance.
    /// Failures of the local instance that a failed call of it explains, by route and bottleneck of its calls.
    std::map<std::pair<std::string, std::string>, std::uint64_t> wasted_executions;
};

/// Wires all parts of a node together. Owns no socket, clock or thread; all calls come from one event loop.
///
/// Log events:
///   instance_changed      the state of the local instance has changed
///   request_turned_away   a request of a local caller was rejected before it became a call
///   relayed               a call of another node has a response of the local instance
///   relay_refused         a call of another node has no response of the local instance
///   leaves_recovered      another node knew of leaves of the local instance that this process did not know
///   node_silent           the failure detector has found the node `peer` unresponsive
///   machine_suspended     the host has resumed after a suspension of `for_ms` milliseconds
///   node_stopping         a graceful shutdown has started
///   node_idle             the shutdown has ended, with `in_flight` calls unfinished; `delivered` shows whether all
///                         replies were received
///   request_unfinished    a request that the shutdown left unfinished
class SidecarNode {
public:
    using CallId = std::uint64_t;
    using ReplyCallback = std::function<void(HttpResponse)>;

    SidecarNode(const Ports& ports, Settings settings);
    ~SidecarNode();
    SidecarNode(const SidecarNode&) = delete;
    SidecarNode& operator=(const SidecarNode&) = delete;

    void start();

    /// Handles a request of a local caller or of the local instance. Calls `reply` exactly once, possibly inside this
    /// call, unless the call is cancelled first.
    /// @return an id for cancelCall(); 0 if `reply` has been called already.
    CallId handleCall(HttpRequest request, ReplyCallback reply);
    /// Handles a request of another node: a call for the local instance, or a message.
    /// @return as handleCall().
    CallId handleNodeRequest(HttpRequest request, const ReplyCallback& reply);
    /// Handles a message of another node: gossip, quarantine or quota exchange. Never a call, whatever its headers are.
    /// @return the response; 404 if it is none of these.
    HttpResponse handleMessage(const HttpRequest& request);
    /// Cancels a call whose client has disconnected; its reply is not called any more.
    void cancelCall(CallId call_id);

    /// @param is_at_fresh_address whether it came to an address that only responses of this process have named.
    /// @return false if the heartbeat names a service that is not part of the fleet; it is ignored then.
    bool onHeartbeat(const instance::Heartbeat& heartbeat, bool is_at_fresh_address = false);
    /// @return whether the response to the last heartbeat shall name the fresh address for further ones.
    [[nodiscard]] bool namesFreshAddress() const { return heartbeat_check_.namesFreshAddress(); }
    /// The instance deregisters. @param start_ms start time of its incarnation in milliseconds; 0: not given.
    void onInstanceLeave(const std::string& id, std::uint64_t start_ms = 0);
    /// Waits until other nodes know the leaves that the instance has announced: an acknowledged one is binding, also
    /// for the next process of this node. @param done called once, within `leave_copy_limit`; at once if all are known.
    void whenLeavesCopied(std::function<void()> done);
    /// The host has resumed after it was suspended for this time.
    void onHostResumed(Duration suspended);

    /// Starts a graceful shutdown. It ends once no call is in flight and all replies are delivered, or after the
    /// maximum stop time.
    void stop(StopCallbacks callbacks);

    /// @return true if this node can take calls: it has a table, has joined the fleet and is not stopping.
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] bool isStopping() const { return stop_.hasStarted(); }
    /// @return the number of unfinished calls, of local callers and of other nodes.
    [[nodiscard]] std::size_t inFlight() const { return calls_.size() + intake_.waitingCount() + relay_.inFlight(); }
    [[nodiscard]] policy::RouteTable& table() { return table_; }
    [[nodiscard]] const fleet::NodeDirectory& directory() const { return directory_; }
    [[nodiscard]] const policy::RouteTable& table() const { return table_; }
    /// @return the known bottleneck with the lowest admission ratio.
    [[nodiscard]] decision::Bottleneck tightestBottleneck() const;
    /// Emitted when a call of a caller has ended, including rejected calls.
    sigc::signal<void(const entry::EntryReport&)>& signalCallEnded() { return signal_call_ended_; }
    [[nodiscard]] const Counters& counters() const { return counters_; }
    [[nodiscard]] const relay::RelayService& relay() const { return relay_; }
    /// @return demand and capacity of the local instance.
    [[nodiscard]] decision::ServiceLoad serviceLoad() { return relay_.serviceLoad(); }
    [[nodiscard]] const quarantine::Quarantine& quarantine() const { return quarantine_; }
    [[nodiscard]] const quota::QuotaClient& quota() const { return quota_; }
    /// @return the requests rejected for their flow's share of a bottleneck, since the start.
    [[nodiscard]] std::uint64_t flowRejections() const { return admission_.flowRejections(); }
    /// @return the number of quota shards whose tokens this node grants.
    [[nodiscard]] std::size_t quotaShards() const { return shard_lease_manager_.grantingCount(); }
    /// @return the number of incarnations of local instances that are on record.
    [[nodiscard]] std::size_t knownIncarnations() const { return instance_.knownIncarnations(); }
    [[nodiscard]] bool ownsQuotaShard(std::uint32_t shard) const { return shard_lease_manager_.mayGrant(shard); }
    /// @return the newest known store era (see ControlStore::era()).
    [[nodiscard]] std::uint64_t storeEra() const { return gossip_.storeEra(); }
    /// @return time since the table was last confirmed as the newest; nothing if it never was.
    [[nodiscard]] std::optional<Duration> tableAge() const { return lease_.age(ports_.clock.now()); }
    /// @return counts of the callers that were told to return, and of their client retries, since the start.
    [[nodiscard]] const decision::ReturnTotals& returnTotals() const { return admission_.returnTotals(); }
    /// @return the retries of the local instance's service in the current window of the retry limit.
    [[nodiscard]] decision::RetryWindow retryWindow() { return relay_.retryWindow(); }

private:
    [[nodiscard]] static wire::NodeRecord initialRecord(const Settings& settings);
    void onIntake(CallId call_id, HttpRequest request, entry::CallIntake::Outcome outcome, const ReplyCallback& reply);
    void reject(const HttpRequest& request, const entry::Rejected& rejected, const ReplyCallback& reply);
    void beginCall(CallId call_id, HttpRequest request, const entry::Admitted& admitted, const ReplyCallback& reply);
    entry::EntryPlan makePlan(HttpRequest request, const entry::Admitted& admitted);
    std::string selectService(const wire::Route& route);
    CallId relayCall(relay::RelayRequest request, const ReplyCallback& reply);
    [[nodiscard]] bool endsBeforeStop(const entry::EntryPlan& plan) const;
    [[nodiscard]] double hostShare(const std::string& service) const;
    void onRelayResult(const entry::EntryPlan& plan, const std::string& relay, const relay::RelayResult& result);
    void countWasted(const std::string& route, const relay::RelayResult& result, const std::string& bottleneck);
    [[nodiscard]] std::optional<FleetRate> fleetRateOf(const std::string& tenant) const;
    void onCallEnded(CallId call_id, const entry::EntryReport& report);
    void logRelayed(const std::string& request_id, const relay::RelayResult& result);
    void onInstanceChanged();
    void publishSelf();
    void onLeavesRecovered(const std::vector<wire::InstanceLeave>& leaves);
    void onTableAdopted();
    void onNodeUnresponsive(const std::string& name);
    /// @return an event for each request that is unfinished here, `limit` at most.
    [[nodiscard]] std::vector<Event> describeUnfinished(std::size_t limit) const;

    Ports ports_;
    Settings settings_;
    Counters counters_;
    sigc::signal<void(const entry::EntryReport&)> signal_call_ended_;
    policy::RouteTable table_;
    policy::TableLease lease_;
    fleet::NodeDirectory directory_;
    fleet::Gossip gossip_;
    fleet::FailureDetector failure_detector_;
    instance::LocalInstance instance_;
    instance::HeartbeatCheck heartbeat_check_;
    quarantine::Quarantine quarantine_;
    quarantine::Exchange quarantine_exchange_;
    relay::RelayService relay_;
    decision::BottleneckView bottlenecks_;
    decision::ResponseTimes call_times_;  ///< Of calls at this entry, from their arrival on.
    entry::RelaySelector selector_;
    CallAdmission admission_;
    entry::EntryServices entry_services_;
    StoreSession store_session_;
    quota::ShardLeaseManager shard_lease_manager_;
    quota::QuotaClient quota_;
    entry::CallIntake intake_;
    LoadLogger load_logger_;
    std::map<std::string, policy::WeightedSplitter> traffic_splitters_;  ///< By route name.
    CallId last_call_id_ = 0;
    std::map<CallId, std::unique_ptr<entry::EntryCall>> calls_;
    /// Quota token of a call in calls_.
    struct SpentToken {
        std::string tenant;
        quota::Token token;
    };
    std::map<CallId, SpentToken> spent_tokens_;
    std::map<CallId, relay::RelayService::CallId> relayed_calls_;
    std::vector<std::unique_ptr<entry::EntryCall>> ended_calls_;  ///< Destroyed later by ended_timer_.
    TimerHandle ended_timer_;
    bool has_uncopied_leaves_ = false;  ///< Since the last whenLeavesCopied().
    GracefulStop stop_;
};

}  // namespace dewcrank::sidecar
