/// @file
/// What a node knows of the services that requests of each route need, from what relays report
/// beside their results.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/decision/call_graph.h"
#include "src/decision/instance_demand.h"

namespace dewcrank::decision {

/// The service of which least is to be asked, among those that a route's requests need.
struct Bottleneck {
    std::string service;  ///< Empty if none is known.
    double level = 1;     ///< Share of the requests to admit.
    Duration cost{};      ///< Slot time there that one request takes, all of its calls together.
};

/// From this level on a service counts as not overloaded.
inline constexpr double kUnloadedLevel = 0.95;

/// What a relay tells of a request's route.
struct RouteReport {
    ServiceLoad load;  ///< Of the relay's instance.
    Duration time{};   ///< That the route's requests hold a slot of it for.
    Bottleneck below;  ///< Of the calls that they make; its service is empty if they make none.
    /// The route is called by instances, not by callers; nothing while the relay cannot tell: one that has just
    /// started would have its callers refuse the calls of admitted trees.
    std::optional<bool> is_inner;
};

/// Constants of the view.
struct BottleneckKnobs {
    /// A level counts for this long after its last report, and then fades over the same time.
    Duration memory = 1s;
    /// A relay's load counts for this long among those of its service. A node calls the relays of its own zone while
    /// they have room: what the others said in an overload would hold the level down until it has faded.
    Duration load_memory = 500ms;
    double report_weight = 0.2;  ///< Of one report in the moving averages of levels, times and costs.
    /// What others told of a level longer ago than this counts for little beside a new report: an entry that hears of a
    /// service a few times a second would otherwise go by what held seconds ago, and refuse for an overload that has
    /// passed.
    Duration told_averaging = 100ms;
    /// A service counts as needed by a route while this part of the reports says so: where most relays
    /// know that it is not, one that has not learned its instance's calls yet does not matter.
    double least_presence = 0.5;
    double presence_weight = 0.1;  ///< Of one report in that part.
};

/// One estimate for each service, whichever relay or route it was heard through: the loads of a
/// service's relays are summed where the node calls it itself; else it is the mean of what others have
/// worked out so.
class BottleneckView {
public:
    explicit BottleneckView(BottleneckKnobs knobs) : knobs_(knobs) {}

    void onReport(TimePoint now, const std::string& route, const std::string& service, const std::string& relay,
                  const RouteReport& report);
    /// For a call of `route`.
    [[nodiscard]] Bottleneck least(TimePoint now, const std::string& route) const;
    /// For the calls that the instance beside the node makes in each run of `route`.
    [[nodiscard]] Bottleneck leastBelow(TimePoint now, const std::string& route, const CallGraph& graph) const;
    /// True for routes that relays take for inner ones.
    [[nodiscard]] bool isInner(const std::string& route) const;
    /// Of all services.
    [[nodiscard]] Bottleneck leastOfAll(TimePoint now) const;

private:
    struct RelayLoad {
        ServiceLoad load;
        TimePoint reported{};
    };
    struct Service {
        std::map<std::string, RelayLoad> relays;  ///< That this node has called lately.
        ServiceLoad sum;                          ///< Of relays.
        TimePoint swept{};
        std::optional<TimePoint> reported;  ///< By one of its relays.
        double told_level = 1;              ///< By nodes that call it.
        std::optional<TimePoint> told;
    };
    /// What the calls of a route need of one service.
    struct Below {
        double cost = 0;      ///< Slot time of all of them, in seconds.
        double presence = 0;  ///< Part of the reports that name the service.
    };
    struct Route {
        std::string service;
        bool is_inner = false;
        double time = 0;                     ///< Seconds.
        std::map<std::string, Below> below;  ///< By service.
        TimePoint reported{};
    };
    /// Slot time by service, in seconds.
    using Costs = std::map<std::string, double>;

    void onRelayLoad(TimePoint now, Service* service, const std::string& relay, const ServiceLoad& load) const;
    void sweep(TimePoint now, Service* service) const;
    void onTold(TimePoint now, const Bottleneck& below);
    [[nodiscard]] double levelOf(TimePoint now, const std::string& service) const;
    [[nodiscard]] double faded(TimePoint now, TimePoint reported, double level) const;
    void onBelow(Route* route, const Bottleneck& below) const;
    [[nodiscard]] Costs costsOf(const Route& route) const;
    [[nodiscard]] Bottleneck leastAmong(TimePoint now, const Costs& costs) const;
    void approach(double* average, double value, bool is_first) const;

    BottleneckKnobs knobs_;
    std::map<std::string, Service> services_;
    std::map<std::string, Route> routes_;
};

}  // namespace dewcrank::decision
