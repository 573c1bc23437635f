/// @file
/// Admission of calls at their entry: by the slots and the retries that are left at the bottleneck, by the shares of
/// the callers there, and by how long a caller has waited since its first attempt.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "src/base/overload_features.h"
#include "src/decision/admission.h"
#include "src/decision/bottleneck_view.h"
#include "src/decision/retry_admission.h"
#include "src/decision/return_admission.h"
#include "src/decision/usual_deadlines.h"
#include "src/entry/entry_call.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"
#include "src/sidecar/flow_share_log.h"

namespace dewcrank::sidecar {

/// Constants of the parts that decide.
struct CallAdmissionKnobs {
    decision::AdmissionKnobs slots;
    decision::RetryAdmissionKnobs retries;
    decision::ReturnKnobs returns;
};

/// What the admission reads; outlives it.
struct CallAdmissionServices {
    Clock& clock;
    RandomSource& random;
    EventLog& log;
    const decision::BottleneckView& bottlenecks;
    decision::CallGraph& call_graph;  ///< Of the local instance.
    /// @return the rate that a tenant requests over the fleet; nothing if it is not known.
    std::function<std::optional<FleetRate>(const std::string& tenant)> fleet_rate;
};

/// Decides on each call once, before its first attempt. Each part that is switched off decides nothing.
class CallAdmission {
public:
    CallAdmission(CallAdmissionServices services, CallAdmissionKnobs knobs, const OverloadFeatures& features);

    /// Decides on a call, and sets the members of its plan that depend on the decision. Internal calls are always
    /// admitted, since a rejection would waste the work already done for their callers.
    /// @return true if the call is admitted.
    bool admit(entry::EntryPlan* plan);
    /// @return true if failures of the call are not retried, as its service or one that it calls is overloaded.
    [[nodiscard]] bool isOverloaded(const entry::EntryPlan& plan) const;
    /// Reserves a time at which the caller of a rejected call may return. @param elapsed time since the call arrived.
    /// @return the time to wait; nothing if there is no reservation.
    std::optional<Duration> reserveReturn(const entry::EntryPlan& plan, Duration elapsed);

    [[nodiscard]] const decision::ReturnTotals& returnTotals() const { return returns_.totals(); }
    /// @return the number of calls that were rejected for their flow's share.
    [[nodiscard]] std::uint64_t flowRejections() const { return flow_share_log_.rejectedCount(); }

private:
    bool admitByRetries(decision::Bottleneck* bottleneck, bool is_client_retry, entry::EntryPlan* plan);
    bool admitBySlots(const decision::Bottleneck& bottleneck, bool is_client_retry, entry::EntryPlan* plan);
    void chooseRetries(entry::EntryPlan* plan);

    CallAdmissionServices services_;
    OverloadFeatures features_;
    decision::Admission admission_;
    decision::RetryAdmission retry_admission_;
    decision::Returns returns_;
    FlowShareLog flow_share_log_;
    decision::UsualDeadlines deadlines_;
};

}  // namespace dewcrank::sidecar
