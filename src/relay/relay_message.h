/// @file
/// Request from an entry node to a relay, and the relay's result.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/base/http_message.h"
#include "src/base/time.h"
#include "src/decision/bottleneck_view.h"
#include "src/decision/call_graph.h"
#include "src/relay/instance_queue.h"

namespace dewcrank::relay {

/// When the entry sends a request that failed at one instance to another one.
enum class RetryPolicy {
    kNever,
    kIfNotRun,  ///< Only if the first instance provably did not run it.
    kAlways,    ///< Also if the first instance ran it or may have run it.
};

/// A request that an entry node sends to a relay.
struct RelayRequest {
    HttpRequest request;
    std::string instance;        ///< Id of the only instance that may run the request.
    bool is_retry = false;       ///< The request was sent to an instance before.
    bool is_retry_paid = false;  ///< The retry budget of the relay where it failed has already granted the retry.
    RetryPolicy retry_policy = RetryPolicy::kNever;
    bool is_counted = false;                 ///< Another relay has already counted the request for its retry budget.
    bool is_suspect = false;                 ///< An instance crashed while it ran this request.
    bool is_only_candidate = false;          ///< All relays of the service that the entry has a record of are stopping.
    std::uint64_t instance_start_ms = 0;     ///< Start time of the instance's incarnation, as the entry knows it; or 0.
    std::optional<double> known_rate_limit;  ///< That this incarnation named in a response to an earlier request.
    bool is_last_candidate = false;          ///< The entry tries no further relay if this one rejects it.
    std::string route;                       ///< Name of the route in the table.
    std::uint32_t priority = 0;              ///< 0 is the most urgent.
    TimePoint deadline{};                    ///< Time by which the instance must have responded.
    Duration max_wait{};                     ///< Longest wait in the queue; the relay raises it for internal calls.
    decision::CallContext call_context;      ///< Inherited from the run that makes this call.
};

/// What is known about the execution of a relayed request.
enum class RelayOutcome {
    kResponded,  ///< The instance sent a complete response, successful or not.
    kNotRun,     ///< Provably not run: it was not sent, or the instance declared so.
    kUnknown,    ///< It was sent, and there is no complete response.
};

/// Why a request was not run or has no response.
enum class RelayReason {
    kNone,
    kOtherInstance,       ///< The requested instance is no longer at this node.
    kDraining,            ///< The instance is draining or not ready.
    kStopping,            ///< The relay is stopping.
    kRetryBudget,         ///< The retry budget is exhausted.
    kQueueTooLong,        ///< The expected wait in the queue was too long.
    kQueueTimeout,        ///< The request expired in the queue.
    kDeadline,            ///< Too little time was left before the deadline.
    kNotConnected,        ///< No connection to the instance or to the relay could be opened.
    kInstanceRefused,     ///< The instance declared that it did not run the request.
    kNoCompleteResponse,  ///< The instance sent no complete, valid response.
    kRelayLost,           ///< The relay sent no response to the entry.
    kInstanceCrashed,     ///< The instance crashed while it ran the request.
    kSuspect,             ///< The request may crash instances, and could not be tried before its deadline.
    kQuarantined,         ///< The request crashes the instances that run it.
    kSuperseded,          ///< Another node uses the relay's address.
};
/// @return the text of the reason in responses and logs.
const char* reasonText(RelayReason reason);
/// @return whether a relay that rejects a request for this reason has counted it for its retry budget.
[[nodiscard]] bool countsTowardRetryBudget(RelayReason reason);

/// What a result tells about the incarnation of the instance that the request was for.
struct InstanceNotice {
    std::uint64_t start_ms = 0;          ///< Start time of the incarnation; 0 if it is not known.
    bool is_leaving = false;             ///< The instance has said in its response that it is leaving.
    bool is_rate_limit_known = false;    ///< The relay has read a response that tells whether there is a limit.
    std::optional<double> rate_limit{};  ///< Requests per second that the instance takes; none: no limit.
};

/// A relay's result of a request.
struct RelayResult {
    RelayOutcome outcome = RelayOutcome::kNotRun;
    RelayReason reason = RelayReason::kNone;
    bool was_sent = false;           ///< The request was sent to an instance.
    bool failed_downstream = false;  ///< The instance responded with a failure after one of its own calls failed.
    bool is_retry_paid = false;      ///< The relay's retry budget has granted a retry at another instance.
    HttpResponse response;           ///< Valid with kResponded.
    QueueLoad load;                  ///< Load of the instance; valid if `has_load`.
    bool has_load = false;
    InstanceNotice notice;
    decision::RouteReport report;  ///< Report about the request's route; valid if `has_load`.
};

}  // namespace dewcrank::relay
