/// @file
/// What a node knows of the calls that the instance beside it makes: which routes they are of, and
/// what the services below can take.
#pragma once

#include <map>
#include <string>

#include "src/decision/admission.h"
#include "src/decision/call_graph.h"
#include "src/ports/clock.h"

namespace dewcrank::sidecar {

/// Learns from what the relays of inner calls report beside their results.
class InnerCalls {
public:
    /// @param memory how long a report counts.
    /// @param graph which of the instance's routes make which calls.
    InnerCalls(Clock& clock, decision::CallGraph& graph, Duration memory);

    /// The instance has made a call. @param given the time that it gives.
    /// @return what it takes over from the request that it is made for.
    decision::Lineage onCall(const std::string& route, Duration given);
    /// A call that was answered, of any route, has failed.
    void onFailed(const std::string& route);
    /// A relay has reported on a call. @param is_inner it takes the route for an inner one.
    void onReport(const std::string& route, bool is_inner, const decision::Bottleneck& bottleneck);

    [[nodiscard]] bool isInner(const std::string& route) const { return below_.contains(route); }
    /// True if less than all calls of an inner route are to be made.
    [[nodiscard]] bool isOverloaded(const std::string& route) const;
    /// The given bottleneck, or that of an inner call which requests of `route` make, whichever is
    /// to be asked less.
    [[nodiscard]] decision::Bottleneck leastOf(const std::string& route, decision::Bottleneck own) const;

private:
    /// What relays report of one inner route; the level is a moving average.
    struct Below {
        decision::Bottleneck bottleneck;
        TimePoint reported{};
    };
    [[nodiscard]] bool isRecent(const Below& below) const { return clock_.now() - below.reported < memory_; }

    Clock& clock_;
    decision::CallGraph& graph_;
    Duration memory_;
    std::map<std::string, Below> below_;  ///< By inner route; just those that relays take for inner ones.
};

}  // namespace dewcrank::sidecar
