/// @file
/// What an entry asks a relay for, and what the relay says of it.
#pragma once

#include <cstdint>
#include <string>

#include "src/base/http_message.h"
#include "src/base/time.h"
#include "src/decision/bottleneck_view.h"
#include "src/decision/call_graph.h"
#include "src/relay/instance_queue.h"

namespace dewcrank::relay {

/// What its entry does with a request that fails at the instance that it was sent to.
enum class FailurePlan {
    kGiveUp,
    kRepeatIfNotRun,  ///< Another instance is sent it if this one has provably not run it.
    kRepeat,          ///< Another instance is sent it.
};

/// What an entry node asks a relay for.
struct RelayRequest {
    HttpRequest request;
    std::string instance;         ///< The only instance that may run it.
    bool is_repeat = false;       ///< An instance was sent this request before.
    bool is_repeat_paid = false;  ///< The relay at which it failed before has taken the repeat from its own budget.
    FailurePlan failure_plan = FailurePlan::kGiveUp;
    bool is_counted = false;      ///< Another relay has counted it among its service's requests.
    bool is_suspect = false;      ///< An instance has ended while it ran this request.
    bool is_only_choice = false;  ///< Its entry knows no relay of the service that is not stopping.
    bool is_last_choice = false;  ///< No other relay will be asked if this one refuses.
    std::string route;            ///< Its name in the table.
    std::uint32_t priority = 0;   ///< 0 is the most urgent.
    TimePoint deadline{};         ///< The instance must have answered by then.
    Duration longest_wait{};      ///< In the queue; inner calls may wait longer.
    decision::Lineage lineage;    ///< Taken over from the run that it is a call of.
};

/// How a relayed request ended.
enum class RelayOutcome {
    kResponded,
    kNotRun,   ///< Proved: it was not sent, or the instance has said so.
    kUnknown,  ///< It was sent, and there is no whole answer.
};

/// Why a request was not run, or has no answer.
enum class RelayReason {
    kNone,
    kOtherInstance,  ///< The instance asked for is not here any more.
    kDraining,
    kStopping,
    kRepeatBudget,
    kQueueTooLong,
    kQueueTimeout,
    kDeadline,
    kNotConnected,
    kInstanceRefused,  ///< The instance has said that it did not run it.
    kNoWholeAnswer,
    kRelayLost,      ///< The relay did not answer the entry.
    kInstanceEnded,  ///< The instance has ended while it ran the request.
    kSuspect,        ///< Instances have ended with it, and another such request is being tried.
    kQuarantined,    ///< It ends the instances that run it.
    kDisplaced,      ///< Another node has the relay's address.
};
const char* reasonText(RelayReason reason);
/// True if a relay that refuses for this reason has counted the request among its service's.
[[nodiscard]] bool isCounted(RelayReason reason);

struct RelayResult {
    RelayOutcome outcome = RelayOutcome::kNotRun;
    RelayReason reason = RelayReason::kNone;
    bool was_offered = false;     ///< An instance has been sent it.
    bool failed_below = false;    ///< The instance answered with a failure, as one of its own calls had failed.
    bool is_repeat_paid = false;  ///< The relay's budget has given the repeat at another instance.
    HttpResponse response;            ///< Only with kResponded.
    QueueLoad load;
    bool has_load = false;
    decision::RouteReport report;  ///< Counts if `has_load`.
};

}  // namespace dewcrank::relay
