/// @file
/// One call at its entry node: sends the request to a relay, retries it at others, and responds to the caller.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "src/base/disabled_mechanisms.h"
#include "src/base/header_names.h"
#include "src/base/http_message.h"
#include "src/entry/relay_selector.h"
#include "src/fleet/failure_detector.h"
#include "src/fleet/gossip.h"
#include "src/policy/route_table.h"
#include "src/policy/table_lease.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/http_transport.h"
#include "src/ports/random_source.h"
#include "src/ports/reconnecting_sender.h"
#include "src/relay/relay_service.h"
#include "src/relay/relay_wire.h"

namespace dewcrank::entry {

/// Formats a duration in seconds with three decimals, for `Retry-After`.
std::string secondsText(Duration duration);

/// Constants of calls at their entry.
struct EntryKnobs {
    double max_queue_wait_ratio = 0.25;  ///< Longest wait in a relay's queue, as a share of the latency objective.
    double instance_wait_ratio =
        0.125;                       ///< Wait for an instance if none is known, as a share of the latency objective.
    std::size_t max_rejections = 3;  ///< Relays that may reject a request before the call fails.
    /// Relays that may deny a retry by their part of the retry budget before it is given up; the relay where the
    /// request failed is not counted.
    std::size_t max_budget_denials = 2;
    Duration min_retry_after = 150ms;  ///< `Retry-After` is random, uniform between these two.
    Duration max_retry_after = 500ms;
    Duration min_overload_retry_after = 500ms;  ///< These two apply if the call failed because of overload.
    Duration max_overload_retry_after = 1600ms;
    Duration quarantine_retry_after = 60s;  ///< `Retry-After` of a quarantined request.
    Duration min_remaining = 10ms;          ///< There is no further attempt with less time than this left.
    Duration relay_deadline_margin = 20ms;  ///< A relay's deadline is this much earlier than the call's.
};

/// A request that has been matched to a route, with the parameters of its call.
struct EntryPlan {
    HttpRequest request;                 ///< Without hop-by-hop headers.
    policy::RoutePtr route;              ///< Never null; unaffected by later changes of the table.
    std::string service;                 ///< Name of the service whose instances may run the request.
    std::uint32_t priority = 0;          ///< Priority of the route; 0 is the most urgent.
    std::uint32_t rank = 0;              ///< Order of admission, from `policy::rankOf`; 0 is rejected last.
    std::string tenant;                  ///< Name of the caller's tenant; empty if it has none.
    TimePoint deadline{};                ///< The caller receives its response by this time.
    Duration caller_timeout{};           ///< Timeout that the caller sent, or else that of the route.
    decision::CallContext call_context;  ///< Inherited from the run that makes this call.
    bool may_retry = true;               ///< False if admission keeps the retries of the service for other calls.
    bool may_reserve_return = false;     ///< If it is rejected, its caller may be told a reserved time to return.
    Duration since_first{};              ///< From the caller's first attempt until this one, as far as it is known.
};

/// Dependencies of calls; they outlive every call.
struct EntryServices {
    Clock& clock;
    RandomSource& random;
    EventLog& log;
    ReconnectingSender nodes;
    RelaySelector& selector;
    relay::RelayService& own_relay;
    fleet::NodeDirectory& directory;
    fleet::Gossip& gossip;
    fleet::FailureDetector& failure_detector;
    const policy::RouteTable& table;
    policy::TableLease& lease;
    HeaderNames names;
    EntryKnobs knobs;
    /// Called with each result that holds a relay's load.
    std::function<void(const EntryPlan&, const std::string& relay, const relay::RelayResult&)> on_relay_result;
    /// True if the service, or a service that it calls, counts as overloaded by its admission ratio.
    std::function<bool(const EntryPlan&)> is_overloaded;
    /// Reserves a time for the caller of a request that was rejected for lack of capacity, `elapsed` after its start.
    /// Nothing if there is none.
    std::function<std::optional<Duration>(const EntryPlan&, Duration elapsed)> reserve_return;
    /// False if the node is stopping, and the response to an attempt that begins now may come after its end.
    std::function<bool(const EntryPlan&)> ends_before_stop;
    DisabledMechanisms disabled;  ///< Tests only.
};

/// Outcome of a call at its entry.
enum class EntryEnd {
    kResponded,  ///< The caller has the response of an instance.
    kRejected,   ///< The request provably did not run.
    kUnknown     ///< The request may have run; there is no complete response.
};

/// Summary of a finished call, for its node.
struct EntryReport {
    EntryEnd end = EntryEnd::kResponded;
    std::string route;
    std::string service;
    std::string reason;  ///< Why the call failed; "none" for kResponded.
    Duration elapsed{};
    int status = 0;  ///< HTTP status of the response.
};

/// State machine of one call. Sends the request to a relay and retries at another one if the request provably did not
/// run. An idempotent request is also retried after a lost response or an instance's 500, within the route's
/// `max_attempts` and the retry budget.
///
/// Sends exactly one response: the instance's own; 503 with `Retry-After` if the request provably did not run; 502, or
/// 504 after a timeout, if it may have run.
///
/// Log events: `request_answered` for each complete response of an instance, `request_given_up` when the call fails,
/// `relay_failed` when a relay does not respond, `node_displaced` when another node responds at a relay's address.
class EntryCall {
public:
    using ReplyCallback = std::function<void(HttpResponse)>;
    using EndCallback = std::function<void(const EntryReport&)>;

    /// @param reply   receives the response, once.
    /// @param end     receives the summary right after the response; must not destroy this call before it returns.
    EntryCall(EntryServices& services, EntryPlan plan, ReplyCallback reply, EndCallback end);
    ~EntryCall();
    EntryCall(const EntryCall&) = delete;
    EntryCall& operator=(const EntryCall&) = delete;

    /// Sends the first attempt. The call fails at the deadline of its plan.
    void start();
    /// Responds with 503 for overload instead of starting the call.
    void reject(const char* reason);
    /// Call when a node does not respond to probes. An idempotent request that was sent to this node is retried at
    /// another relay; any other keeps waiting, as the node may still respond.
    void onNodeUnresponsive(const std::string& node);
    /// @return an event named `name` that tells the state of this call.
    [[nodiscard]] Event describe(std::string_view name) const;

private:
    void sendToNext();
    void awaitInstance();
    void onProbeRejected();
    void sendTo(const RelayTarget& target);
    [[nodiscard]] relay::RetryPolicy retryPolicy() const;
    [[nodiscard]] relay::RelayRequest relayRequest(const RelayTarget& target) const;
    void onRelayResponse(AttemptResult result);
    void onSuperseded(const relay::ReceivedResult& received);
    void onRelayLost(const std::string& reason, bool was_sent);
    const std::string& releaseRelay();
    void onResult(relay::RelayResult result);
    [[nodiscard]] static bool isInstanceFailure(const relay::RelayResult& result);
    [[nodiscard]] bool mayRetryFailure(const relay::RelayResult& result) const;
    void onNotRun(const relay::RelayResult& result);
    [[nodiscard]] bool mayAskOtherBudget();
    void onUnknown();
    void onDeadline();
    void fail(const char* reason, bool is_timeout);
    [[nodiscard]] Duration retryAfter() const;
    [[nodiscard]] std::optional<Duration> reservedReturn() const;
    void cancelAttempt();
    void finish(HttpResponse response, EntryEnd end, const char* reason);
    void logFailed(const char* reason, int status) const;
    void logAnswered(const relay::RelayResult& result, const std::string& relay) const;
    /// @return whether this node is stopping, as logged.
    [[nodiscard]] const char* stoppingText() const;
    [[nodiscard]] Duration remaining() const { return plan_.deadline - services_.clock.now(); }

    EntryServices& services_;
    EntryPlan plan_;
    ReplyCallback reply_;
    EndCallback end_;
    TimePoint started_{};
    TimerHandle deadline_timer_;
    TimerHandle instance_wait_timer_;            ///< Set while the call waits for an instance to become ready.
    sigc::connection on_node_changed_;           ///< Connected while the call waits for an instance.
    std::string relay_;                          ///< Node of the attempt in progress; empty: none.
    std::string last_relay_;                     ///< Node of the last attempt that has ended; empty: none.
    std::string instance_;                       ///< Id of the instance that the attempt is for.
    AttemptHandle attempt_;                      ///< Attempt at another node's relay.
    TimePoint sent_{};                           ///< When `attempt_` was sent.
    relay::RelayService::CallId local_run_ = 0;  ///< Attempt at this node's own relay; 0: none.
    std::set<std::string> tried_;                ///< Nodes that are not tried again.
    std::size_t rejections_ = 0;                 ///< Relays that have rejected the request.
    std::size_t budget_denials_ = 0;             ///< Relays whose retry budget has denied a retry.
    std::uint32_t attempts_made_ = 0;            ///< Attempts in which an instance was sent the request.
    bool is_retry_paid_ = false;                 ///< The last relay has taken the retry from its budget.
    bool is_counted_ = false;                    ///< A relay has counted the request among its service's requests.
    bool has_met_only_stopping_ = false;         ///< All relays so far rejected the request because they are stopping.
    bool has_waited_for_instance_ = false;
    bool is_probe_ = false;  ///< The attempt in progress is at an instance whose state is unknown.
    bool may_have_run_ = false;
    std::optional<HttpResponse> failure_response_;  ///< An instance's 500; sent to the caller if no retry succeeds.
    bool is_overload_ = false;           ///< Last rejected for lack of capacity, or as a suspect that may not run yet.
    bool is_short_of_capacity_ = false;  ///< Last rejected for lack of capacity.
    bool is_suspect_ = false;            ///< An instance crashed while it ran the request.
    bool is_quarantined_ = false;
};

}  // namespace dewcrank::entry
