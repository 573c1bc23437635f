/// @file
/// Estimates the admission ratio of each service (share of its requests to admit at the entries), and finds the
/// bottleneck service of each route. The inputs are reports that relays attach to their responses.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/decaying_mean.h"
#include "src/base/time.h"
#include "src/decision/call_graph.h"
#include "src/decision/instance_demand.h"

namespace dewcrank::decision {

/// What limits how many requests a service can complete.
enum class Resource {
    kSlots,    ///< Slot time of its instances.
    kRetries,  ///< Its retry budget, while its instances reject a part of their arrivals.
};

/// The service with the lowest admission ratio, of either resource, among those that a route's requests use.
struct Bottleneck {
    std::string service;     ///< Empty if none is known.
    double admit_ratio = 1;  ///< Share of the requests to admit by their slot time, from 0 to 1.
    Duration cost{};         ///< Slot time at the service that one request needs, summed over all of its calls.
    Resource scarce = Resource::kSlots;
    double retry_ratio = 1;       ///< Share of the retries that requests need which the budget allows, from 0 to 1.
    double retries_per_call = 0;  ///< Retries that one call needs there on average; 0 if unknown.
    double calls = 0;             ///< Calls that one request makes there; 0 if unknown.

    /// @return the ratio of the scarce resource.
    [[nodiscard]] double lowestRatio() const { return scarce == Resource::kRetries ? retry_ratio : admit_ratio; }
};

/// A service whose admission ratio is at least this counts as not overloaded.
inline constexpr double kMinNormalAdmitRatio = 0.95;

/// What a relay reports about the route of a request.
struct RouteReport {
    ServiceLoad load;       ///< Load of the relay's instance.
    Duration time{};        ///< Mean time that a request of the route holds a slot of the instance.
    Bottleneck downstream;  ///< Bottleneck of the calls that the route makes; its service is empty if there is none.
    /// True if instances call the route, not clients. Unset while the relay cannot decide, as just after its start: a
    /// wrong "false" would let callers reject the calls of requests that were admitted already.
    std::optional<bool> is_internal;
};

/// Constants of the view.
struct BottleneckKnobs {
    Duration report_ttl = 1s;    ///< A ratio holds this long after its last report, then rises to 1 over
                                 ///< the same time.
    Duration load_ttl = 500ms;   ///< A relay's load counts this long in the sum of its service.
    double report_weight = 0.2;  ///< Weight of one report in the moving averages of ratios, times and costs.
    /// Ratios reported longer ago than this weigh little against a new one. An entry that hears of a service a few
    /// times a second would otherwise reject requests for an overload that has passed.
    Duration ratio_averaging_time = 100ms;
    double min_reported_share = 0.5;     ///< A route uses a service if at least this share of reports names it.
    double reported_share_weight = 0.1;  ///< Weight of one report in that share.
    Duration no_instance_decay = 250ms;  ///< Decay time of the share of calls that find no instance of a service.
    /// A smaller share of calls that find no instance is what decay has left of an outage that has ended.
    double min_missing_share = 0.01;
    double min_available_share = 0.1;  ///< Admitted while no call finds an instance, so that its return is noticed.
    bool includes_retries = false;     ///< Retries count as a resource; `OverloadFeatures::retry_admission`.
};

/// Keeps one estimate per service, whichever relay or route it was reported through: the summed load of the
/// service's relays if this node calls them itself, else the moving average of the ratios that other nodes report.
class BottleneckView {
public:
    explicit BottleneckView(BottleneckKnobs knobs) : knobs_(knobs) {}

    /// Updates the estimates from a report that `relay` of `service` attached to a response on `route`.
    void onReport(TimePoint now, const std::string& route, const std::string& service, const std::string& relay,
                  const RouteReport& report);
    /// A call of `service` has ended. @param found_instance false if no instance of the service could take it.
    void onCallEnded(TimePoint now, const std::string& service, bool found_instance);
    /// @return the bottleneck of a request of `route`, its own service included.
    [[nodiscard]] Bottleneck bottleneckOf(TimePoint now, const std::string& route) const;
    /// @return the bottleneck of the internal calls that the local instance makes in one run of `route`.
    [[nodiscard]] Bottleneck bottleneckOfCalls(TimePoint now, const std::string& route, const CallGraph& graph) const;
    /// @return true if relays report the route as internal.
    [[nodiscard]] bool isInternal(const std::string& route) const;
    /// @return the service with the lowest admission ratio of all; its cost is not set.
    [[nodiscard]] Bottleneck worstBottleneck(TimePoint now) const;

private:
    /// Admission ratios of a service, and the retries that one call needs there.
    struct Ratios {
        double slots = 1;
        double retries = 1;
        double retries_per_call = 0;
    };
    struct RelayLoad {
        ServiceLoad load;
        TimePoint last_report{};
    };
    struct Service {
        std::map<std::string, RelayLoad> relays;  ///< Relays that reported to this node within `load_ttl`.
        ServiceLoad sum;                          ///< Sum of the loads in `relays`.
        TimePoint last_eviction{};
        std::optional<TimePoint> last_report;  ///< Time of the last report by one of its relays.
        Ratios reported;                       ///< Moving averages of what other nodes report.
        std::optional<TimePoint> last_ratio_report;
        std::optional<DecayingMean> no_instance;  ///< 1 for each call that found none; set after the first such call.
    };
    /// What the calls of a route need of one service.
    struct DownstreamCost {
        double cost = 0;            ///< Slot time of all these calls, in seconds.
        double calls = 0;           ///< Number of these calls.
        double reported_share = 0;  ///< Share of the reports that name the service.
    };
    struct Route {
        std::string service;
        bool is_internal = false;
        double time = 0;                                   ///< Slot time of a request, in seconds.
        std::map<std::string, DownstreamCost> downstream;  ///< By service.
        TimePoint last_report{};
    };
    /// What a request needs of one service.
    struct Cost {
        double time = 0;  ///< Slot time in seconds.
        double calls = 0;
    };
    using Costs = std::map<std::string, Cost>;  ///< By service.

    void onRelayLoad(TimePoint now, Service* service, const std::string& relay, const ServiceLoad& load) const;
    void evictStale(TimePoint now, Service* service) const;
    void onReportedRatio(TimePoint now, const Bottleneck& downstream);
    [[nodiscard]] Ratios ratiosOf(TimePoint now, const std::string& service) const;
    [[nodiscard]] Ratios reportedRatiosOf(TimePoint now, const Service& service) const;
    [[nodiscard]] Ratios decayTowardOne(TimePoint now, TimePoint last_report, const Ratios& ratios) const;
    [[nodiscard]] Bottleneck bottleneckAt(TimePoint now, const std::string& service, const Cost& cost) const;
    void updateDownstream(Route* route, const Bottleneck& downstream) const;
    [[nodiscard]] Costs costsOf(const Route& route) const;
    [[nodiscard]] Bottleneck lowestAmong(TimePoint now, const Costs& costs) const;
    void updateAverage(double* average, double value, bool is_first) const;

    BottleneckKnobs knobs_;
    std::map<std::string, Service> services_;
    std::map<std::string, Route> routes_;
};

}  // namespace dewcrank::decision
