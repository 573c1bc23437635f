/// @file
/// A relay's part of the retry budget of its service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/recent_maximum.h"
#include "src/decision/call_graph.h"
#include "src/decision/instance_demand.h"
#include "src/decision/retry_budget.h"
#include "src/decision/retry_demand.h"
#include "src/ports/clock.h"
#include "src/relay/relay_message.h"

namespace dewcrank::relay {

/// Counts first attempts and grants retries. The budget allows retries up to a ratio of the first attempts at this
/// relay, plus this relay's part of a slack that all relays of the service share.
class RelayRetries {
public:
    /// @param graph of the calls that the instance makes. @param limit retry limit of the whole service.
    /// @param measures_demand see `OverloadFeatures::retry_admission`: retries are measured as a resource, and those
    /// that rejections need are kept for the calls of trees in progress first.
    RelayRetries(Clock& clock, const decision::CallGraph& graph, decision::RetryLimit limit,
                 bool measures_demand = false);

    /// @param count number of relays that accept requests of the service. The slack is divided by the maximum over the
    /// last window, as relays that have gone or are stopping may have spent their parts.
    void setRelayCount(std::size_t count) { relay_count_.set(clock_.now(), count); }
    /// Counts a request unless it is a retry or another relay has counted it, so that each request counts once.
    void count(const RelayRequest& request);
    /// Takes a retry that was not granted before from the budget. @return false if the budget denies the retry; true
    /// for every first attempt.
    /// @param has_begun   the request is a call of a tree in progress.
    bool mayRetry(const RelayRequest& request, bool has_begun = false);
    /// Grants the retry of a request that failed here from the budget of this relay, so that one failing instance can
    /// use all of its relay's budget. @return whether the retry is granted.
    bool payForRetry(const RelayRequest& request, const RelayResult& result, bool has_begun = false);
    /// Registers the result of a request that was sent to the instance.
    void onSentEnded(const RelayResult& result);
    /// Adds the demand for retries and their capacity to the load of the instance.
    void addTo(decision::ServiceLoad* load);

    [[nodiscard]] const decision::RetryTotals& totals() const { return budget_.totals(); }
    [[nodiscard]] decision::RetryWindow window() { return budget_.window(clock_.now(), relayCount()); }
    /// Total of first attempts that were not counted here, as another relay had counted them.
    [[nodiscard]] std::uint64_t countedElsewhere() const { return counted_elsewhere_; }
    /// Number of relays by which the slack is divided.
    [[nodiscard]] std::size_t relayCount() { return relay_count_.at(clock_.now()); }

private:
    bool takeFromBudget(const std::string& route, bool has_begun);
    [[nodiscard]] double slackShare(const std::string& route) const;

    Clock& clock_;
    const decision::CallGraph& graph_;
    decision::RetryBudget budget_;
    decision::RetryDemand demand_{{}};
    bool measures_demand_;
    RecentMaximum relay_count_;
    std::uint64_t counted_elsewhere_ = 0;
};

}  // namespace dewcrank::relay
