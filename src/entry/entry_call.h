/// @file
/// One caller's request at its entry node, from its route to its one answer.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "src/base/header_names.h"
#include "src/base/http_message.h"
#include "src/base/weakening.h"
#include "src/entry/relay_selector.h"
#include "src/fleet/failure_detector.h"
#include "src/fleet/gossip.h"
#include "src/policy/route_table.h"
#include "src/policy/table_lease.h"
#include "src/ports/back_end_port.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"
#include "src/relay/relay_service.h"
#include "src/relay/relay_wire.h"

namespace dewcrank::entry {

/// A time as `Retry-After` has it: seconds with a fraction.
std::string secondsText(Duration duration);

/// Constants of calls at their entry.
struct EntryKnobs {
    /// A request waits in a relay's queue for this share of its latency objective at most.
    double max_queue_wait_ratio = 0.25;
    /// While no instance of the service is known, one may be coming back: a request waits for it for this share of its
    /// latency objective. Refused at once, its caller would be away for longer than that.
    double instance_wait_ratio = 0.125;
    /// Relays that may refuse one request before it is refused.
    std::size_t max_rejections = 3;
    /// When a refused caller may come back: uniform between these.
    Duration min_retry_after = 150ms;
    Duration max_retry_after = 500ms;
    /// The same under overload, which lasts.
    Duration min_overload_retry_after = 500ms;
    Duration max_overload_retry_after = 1600ms;
    /// When a request that ends the instances that run it may come back: later than any caller waits.
    Duration quarantine_retry_after = 60s;
    /// Less time than this left: no further attempt.
    Duration min_remaining = 10ms;
    /// A relay answers this much before the entry gives up, so that its word is heard.
    Duration relay_deadline_margin = 20ms;
};

/// A call that has been matched to a route.
struct EntryPlan {
    HttpRequest request;     ///< Without what concerns the caller's connection only.
    policy::RoutePtr route;  ///< Never null; stays as it is when the table changes.
    std::string service;
    std::uint32_t priority = 0;  ///< Of the route; 0 is the most urgent.
    std::uint32_t rank = 0;      ///< The same after that of its tenant, which goes first.
    TimePoint deadline{};
    Duration caller_deadline{};  ///< The time that the caller gives.
    decision::Lineage lineage;   ///< Taken over from the run that it is a call of.
};

/// What calls use of their node. Outlives every call.
struct EntryServices {
    Clock& clock;
    RandomSource& random;
    EventLog& log;
    BackEndPort& nodes;
    RelaySelector& selector;
    relay::RelayService& own_relay;
    fleet::NodeDirectory& directory;
    fleet::Gossip& gossip;
    fleet::FailureDetector& failure_detector;
    const policy::RouteTable& table;
    policy::TableLease& lease;
    HeaderNames names;
    EntryKnobs knobs;
    /// Told of each result that a relay has reported.
    std::function<void(const EntryPlan&, const std::string& relay, const relay::RelayResult&)> on_relay_result;
    /// True if relays report that less than all is to be asked of the service, or of one below it.
    std::function<bool(const EntryPlan&)> is_overloaded;
    Weakening weakening;  ///< Tests only.
};

/// How a call ended at its entry.
enum class EntryEnd { kAnswered, kRefused, kUnknown };

/// What a call tells its node when it ends.
struct EntryReport {
    EntryEnd end = EntryEnd::kAnswered;
    std::string route;
    std::string service;
    std::string reason;  ///< "none" if it was answered.
    Duration elapsed{};
    int status = 0;  ///< Of the answer.
};

/// State machine of one call: choose a relay, send, judge; again at another relay while the
/// request has provably not run, or may run twice and budget and attempts allow it. A failure that
/// an instance answers with counts as the latter.
///
/// Exactly one answer is given, at once when it is known: the instance's own; 503 with a time
/// to come back if the request has provably not run; 502 or 504 if that is not known.
class EntryCall {
public:
    using ReplyCallback = std::function<void(HttpAnswer)>;
    using EndCallback = std::function<void(const EntryReport&)>;

    EntryCall(EntryServices& services, EntryPlan plan, ReplyCallback reply, EndCallback end);
    ~EntryCall();
    EntryCall(const EntryCall&) = delete;
    EntryCall& operator=(const EntryCall&) = delete;

    void start();
    /// Refuses the call instead of starting it.
    void reject(const char* reason);
    /// A node does not answer probes. If the call runs there and may run twice, it goes elsewhere;
    /// else it waits on: the node may come back with the answer.
    void onNodeUnresponsive(const std::string& node);

private:
    void sendToNext();
    void awaitInstance();
    void sendTo(const RelayTarget& target);
    [[nodiscard]] relay::FailurePlan failurePlan() const;
    [[nodiscard]] relay::RelayRequest relayRequest(const RelayTarget& target) const;
    void onRelayResponse(AttemptResult result);
    void onDisplaced(const relay::ReceivedResult& received);
    void onRelayLost(const std::string& reason, bool was_sent);
    std::string releaseRelay();
    void onResult(relay::RelayResult result);
    [[nodiscard]] static bool isInstanceFailure(const relay::RelayResult& result);
    [[nodiscard]] bool mayRetryFailure(const relay::RelayResult& result) const;
    void onNotRun(const relay::RelayResult& result);
    void onUnknown();
    void onDeadline();
    void fail(const char* reason, bool is_timeout);
    [[nodiscard]] Duration retryAfter() const;
    void cancelAttempt();
    void finish(HttpAnswer answer, EntryEnd end, const char* reason);
    void logFailed(const char* reason, int status) const;
    void logAnswered(const relay::RelayResult& result, const std::string& relay) const;
    [[nodiscard]] Duration remaining() const { return plan_.deadline - services_.clock.now(); }

    EntryServices& services_;
    EntryPlan plan_;
    ReplyCallback reply_;
    EndCallback end_;
    TimePoint started_{};
    TimerHandle deadline_timer_;
    TimerHandle instance_wait_timer_;            ///< While it waits for an instance to come back.
    sigc::connection on_node_changed_;           ///< The same.
    std::string relay_;                          ///< The node that has the attempt now; empty: none.
    AttemptHandle attempt_;                      ///< At another node.
    TimePoint sent_{};                           ///< When that was sent.
    relay::RelayService::Number local_run_ = 0;  ///< At this node's own relay.
    std::set<std::string> tried_;
    std::size_t rejections_ = 0;
    std::uint32_t attempts_made_ = 0;       ///< Instances that were sent the request.
    bool is_retry_paid_ = false;            ///< By the relay at which it failed last.
    bool is_counted_ = false;               ///< A relay has counted it among its service's requests.
    bool has_met_only_stopping_ = false;    ///< Each relay that was asked was stopping.
    bool has_waited_for_instance_ = false;  ///< That an instance comes back.
    bool may_have_run_ = false;
    std::optional<HttpAnswer> failure_response_;  ///< An instance's own, given if no other instance does better.
    bool is_overload_ = false;                    ///< Refused for want of room, or of instances that could be spared.
    bool is_suspect_ = false;                     ///< An instance has ended while it ran it.
    bool is_quarantined_ = false;                 ///< It is kept from the instances.
};

}  // namespace dewcrank::entry
