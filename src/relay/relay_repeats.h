/// @file
/// A relay's part of its service's repeat budget: which requests count as first ones, and who pays for a repeat.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/recent_maximum.h"
#include "src/decision/call_graph.h"
#include "src/decision/retry_budget.h"
#include "src/ports/clock.h"
#include "src/relay/relay_message.h"

namespace dewcrank::relay {

class RelayRepeats {
public:
    /// @param graph of the calls that the instance's runs make.
    RelayRepeats(Clock& clock, const decision::CallGraph& graph, decision::RetryLimit bound);

    /// @param count of relays that take requests of the service. The slack is shared by as many as there were at most
    /// in the last window: those that have gone may have spent their parts of it, and those that are stopping still do.
    void setRelayCount(std::size_t count) { relay_count_.set(clock_.now(), count); }
    /// Each request allows repeats at one relay: counted at every relay that its queue sends it on to, it would
    /// allow up to three times its share.
    void count(const RelayRequest& request);
    /// True if a request may be let in: it is no repeat, or is paid for, now by this relay if not before.
    bool mayRepeat(const RelayRequest& request);
    /// A request that fails here goes to another instance at the cost of this relay's budget, if there is any: where
    /// one instance fails, the part of the budget that lies beside it would be of no use, and callers see failures
    /// while the others' parts are spent.
    bool paysRepeat(const RelayRequest& request, const RelayResult& result);

    [[nodiscard]] const decision::RetryTotals& totals() const { return budget_.totals(); }
    [[nodiscard]] decision::RetryWindow window() { return budget_.window(clock_.now(), sharers()); }
    /// Requests that came here after another relay had counted them.
    [[nodiscard]] std::uint64_t countedBefore() const { return counted_before_; }
    /// Relays that share the slack.
    [[nodiscard]] std::size_t sharers() { return relay_count_.at(clock_.now()); }

private:
    bool tryRetry(const std::string& route);
    [[nodiscard]] double slackShareOf(const std::string& route) const;

    Clock& clock_;
    const decision::CallGraph& graph_;
    decision::RetryBudget budget_;
    RecentMaximum relay_count_;
    std::uint64_t counted_before_ = 0;
};

}  // namespace dewcrank::relay
