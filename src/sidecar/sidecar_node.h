/// @file
/// A node beside one application instance: entry for the callers on its machine, relay for its
/// instance. The same object runs in the daemon and in simulations.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/decision/admission.h"
#include "src/decision/bottleneck_view.h"
#include "src/decision/usual_deadlines.h"
#include "src/entry/call_intake.h"
#include "src/entry/entry_call.h"
#include "src/entry/relay_selector.h"
#include "src/fleet/failure_detector.h"
#include "src/fleet/gossip.h"
#include "src/fleet/node_directory.h"
#include "src/instance/local_instance.h"
#include "src/policy/route_table.h"
#include "src/ports/back_end_port.h"
#include "src/ports/clock.h"
#include "src/ports/control_store.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"
#include "src/relay/relay_service.h"
#include "src/sidecar/load_log.h"
#include "src/sidecar/settings.h"
#include "src/sidecar/store_session.h"

namespace dewcrank::sidecar {

/// What a node is given. All outlive it.
struct Ports {
    Clock& clock;
    RandomSource& random;
    BackEndPort& nodes;      ///< Other nodes.
    BackEndPort& instances;  ///< The instance beside it.
    ControlStore& store;
    EventLog& log;
};

/// Counts of what the node has done.
struct Counters {
    std::uint64_t relayed = 0;
    std::uint64_t heartbeats = 0;
};

/// Owns no socket, clock or thread. All calls come from one loop on one thread.
class SidecarNode {
public:
    using CallNumber = std::uint64_t;
    using ReplyCallback = std::function<void(HttpAnswer)>;

    SidecarNode(const Ports& ports, Settings settings);
    ~SidecarNode();
    SidecarNode(const SidecarNode&) = delete;
    SidecarNode& operator=(const SidecarNode&) = delete;

    void start();

    /// A request of a caller on this machine, or of its instance. The reply is called exactly
    /// once, perhaps at once, unless the caller leaves first.
    /// @return a number for `callerLeft`; 0 if it has been answered at once.
    CallNumber handleCall(HttpRequest request, ReplyCallback reply);
    /// A request of another node: a relayed call, or gossip.
    CallNumber handleNodeRequest(HttpRequest request, const ReplyCallback& reply);
    /// Whoever sent the request has gone; its reply is not called any more.
    void callerLeft(CallNumber number);

    /// @return false if it names a service that is none of the fleet's; nothing is changed by it.
    bool onHeartbeat(const instance::Heartbeat& heartbeat);
    void onInstanceLeave(const std::string& id, std::uint64_t born_ms = 0);
    /// The machine has been suspended for so long, as its clock tells.
    void onWoken(Duration suspended);

    /// Leads callers away. Calls `led_away` once when callers have had the time to go
    /// elsewhere, from when on no further request may be handed in; then `done` once when
    /// nothing is in flight any more.
    void stop(std::function<void()> led_away, std::function<void()> done);

    /// True if callers may be sent here.
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] bool isStopping() const { return is_stopping_; }
    [[nodiscard]] std::size_t inFlight() const { return calls_.size() + intake_.waitingCount() + relay_.inFlight(); }
    [[nodiscard]] policy::RouteTable& table() { return table_; }
    [[nodiscard]] const fleet::NodeDirectory& directory() const { return directory_; }
    [[nodiscard]] const policy::RouteTable& table() const { return table_; }
    /// The service of which least is asked at present, among those that this node knows of.
    [[nodiscard]] decision::Bottleneck leastBottleneck() const;
    /// Emitted with each call of this entry that has ended.
    sigc::signal<void(const entry::EntryReport&)>& signalCallEnded() { return signal_call_ended_; }
    [[nodiscard]] const Counters& counters() const { return counters_; }
    [[nodiscard]] const relay::RelayService& relay() const { return relay_; }
    /// What the instance is asked for and can give.
    [[nodiscard]] decision::ServiceLoad serviceLoad() { return relay_.serviceLoad(); }
    [[nodiscard]] const quarantine::Quarantine& quarantine() const { return quarantine_; }
    [[nodiscard]] const quota::QuotaClient& quota() const { return quota_; }
    /// Shards of the quotas that this node hands out the tokens of.
    [[nodiscard]] std::size_t quotaShards() const { return shard_keeper_.grantingCount(); }
    /// Lives of the instances beside this node that it knows something of.
    [[nodiscard]] std::size_t rememberedLives() const { return instance_.rememberedLives(); }
    [[nodiscard]] bool ownsQuotaShard(std::uint32_t shard) const { return shard_keeper_.mayGrant(shard); }
    /// How often the store has come back from an older copy, as far as is known here.
    [[nodiscard]] std::uint64_t storeEra() const { return gossip_.storeEra(); }
    /// How long ago the table was known to be the newest; nothing if it never was.
    [[nodiscard]] std::optional<Duration> tableAge() const { return lease_.age(ports_.clock.now()); }
    [[nodiscard]] decision::RepeatWindow repeatWindow() { return relay_.repeatWindow(); }

private:
    [[nodiscard]] static wire::NodeRecord firstRecord(const Settings& settings);
    void onIntake(CallNumber number, HttpRequest request, entry::CallIntake::Outcome outcome,
                  const ReplyCallback& reply);
    void turnAway(const HttpRequest& request, const entry::Rejected& turned, const ReplyCallback& reply);
    void beginCall(CallNumber number, HttpRequest request, const entry::Admitted& admitted, const ReplyCallback& reply);
    entry::EntryPlan plan(HttpRequest request, const entry::Admitted& admitted);
    std::string serviceFor(const wire::Route& route);
    CallNumber relayCall(relay::RelayRequest request, const ReplyCallback& reply);
    [[nodiscard]] double machineShare(const std::string& service) const;
    [[nodiscard]] bool isOverloaded(const entry::EntryPlan& plan) const;
    void onRelayResult(const entry::EntryPlan& plan, const std::string& relay, const relay::RelayResult& result);
    bool admit(entry::EntryPlan* plan);
    void onCallEnded(CallNumber number, const entry::EntryReport& report);
    void logRelayed(const std::string& request, const relay::RelayResult& result);
    void publishSelf();
    void setProbePath();
    void onNodeUnresponsive(const std::string& name);
    void onLedAway();
    void checkStopped();

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
    quarantine::Quarantine quarantine_;
    quarantine::Exchange quarantine_exchange_;
    relay::RelayService relay_;
    decision::BottleneckView bottlenecks_;
    entry::RelaySelector selector_;
    decision::Admission admission_;
    entry::EntryServices entry_services_;
    StoreSession store_session_;
    quota::ShardKeeper shard_keeper_;
    quota::QuotaClient quota_;
    entry::CallIntake intake_;
    LoadLog load_log_;
    decision::UsualDeadlines deadlines_;
    std::map<std::string, policy::TrafficDivider> dividers_;  ///< By route.
    CallNumber last_call_ = 0;
    std::map<CallNumber, std::unique_ptr<entry::EntryCall>> calls_;
    /// What a call of calls_ has taken from its tenant's quota.
    struct Spent {
        std::string tenant;
        quota::Token token;
    };
    std::map<CallNumber, Spent> spent_;
    std::map<CallNumber, relay::RelayService::Number> relayed_;
    std::vector<std::unique_ptr<entry::EntryCall>> ended_calls_;
    TimerHandle ended_timer_;
    bool is_stopping_ = false;
    TimePoint stop_began_{};
    std::function<void()> led_away_;
    std::function<void()> stopped_;
    TimerHandle stop_timer_;
};

}  // namespace dewcrank::sidecar
