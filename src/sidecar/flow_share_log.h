/// @file
/// Log and count of the requests that are rejected for their flow's share of a bottleneck.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "src/decision/admission.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"

namespace dewcrank::sidecar {

/// Writes at most one event per flow and a few in all in one second, as a hot flow is rejected many times a second.
///
/// Log events:
///   flow_over_share   a request was rejected for its flow's share: `rate` of the flow and `level` of a share in slot
///                     time per second at this node, `fleet_rate_age_ms` (-1: the rate is what this node has seen), and
///                     the number of such rejections since the last event (`rejected`)
class FlowShareLog {
public:
    FlowShareLog(Clock& clock, EventLog& log) : clock_(clock), log_(log) {}

    void onRejected(const decision::FlowRejection& rejection);
    /// @return the number of rejections since the start.
    [[nodiscard]] std::uint64_t rejectedCount() const { return rejected_; }

private:
    Clock& clock_;
    EventLog& log_;
    TimePoint second_start_{};
    std::set<std::string> logged_;  ///< Flows with an event in this second.
    std::uint64_t rejected_ = 0;
    std::uint64_t logged_rejected_ = 0;  ///< `rejected_` at the last event.
};

}  // namespace dewcrank::sidecar
