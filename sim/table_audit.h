/// @file
/// Checks of a simulated fleet that changes of the table are in force in time, by requests on routes that each change
/// adds, moves to another service, and removes.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sim/sidecar_fleet.h"

namespace dewcrank::sim {

/// Time limits of the checks.
struct TableAuditBounds {
    Duration apply = 2s;    ///< From the acknowledgement of a version until all nodes in touch use it.
    Duration contact = 3s;  ///< A machine is bound again this long after its last disturbance.
    Duration back = 250ms;  ///< From the effect of a version at a node until an older one is a regression.
};

/// Puts tables, sends probes and checks their outcomes. The fleet must outlive the audit.
///
/// The test reports which machines it disturbs; these are not bound by the time limits. A probe's outcome is the
/// service that ran it, or that its route was unknown (404); other outcomes say nothing about the version.
class TableAudit {
public:
    /// @param services two services of the fleet: routes lead to the first one, and are moved to the second one.
    TableAudit(SidecarFleet& fleet, std::array<std::string, 2> services);

    /// Puts the next version.
    void change();
    /// Puts versions until `end`, one per `interval`.
    void changeRepeatedly(Duration interval, TimePoint end);
    /// Sends probes to the nodes of all machines until `end`, one round per `interval`.
    void probeRepeatedly(Duration interval, TimePoint end);

    // Disturbances

    /// The machine is killed, cut off, suspended or restarted from now on.
    /// @param duration zero: it is undisturbed again at once.
    void onMachineDisturbed(std::size_t machine, Duration duration);
    /// The same for all machines.
    void onAllDisturbed(Duration duration);
    /// The node of the machine has lost its state.
    void onNodeRestarted(std::size_t machine);

    /// @return violations of all probes whose outcome is known.
    [[nodiscard]] std::vector<Violation> violations() const;
    /// @return for each version put from `begin` on, the time from its acknowledgement until all nodes of undisturbed
    /// machines had it or a newer one; nothing for versions that have not got there.
    [[nodiscard]] std::vector<std::optional<Duration>> delays(TimePoint begin) const;

private:
    struct Span {
        TimePoint begin{};
        TimePoint end{};
    };
    struct Version {
        TimePoint acknowledged{};
        std::map<std::string, std::string> services;  ///< By route.
        std::optional<Duration> delay;                ///< See delays().
    };
    struct Probe {
        std::size_t request = 0;  ///< Index into SidecarFleet::requests().
        std::size_t machine = 0;
        std::string route;
    };
    /// Outcome of a probe: the service that ran it, or empty if its route was unknown.
    using Outcome = std::optional<std::string>;

    void probe(std::size_t machine);
    void send(std::size_t machine, const std::string& route);
    /// Records which versions all nodes of undisturbed machines have.
    void observe();
    [[nodiscard]] bool isDisturbed(std::size_t machine, TimePoint at) const;
    /// @return true if the machine has been undisturbed for `contact`.
    [[nodiscard]] bool isInTouch(std::size_t machine, TimePoint at) const;
    [[nodiscard]] Outcome outcomeOf(const CallerRequest& request,
                                    const std::map<std::string, const RunRecord*>& runs) const;
    [[nodiscard]] bool allows(std::size_t version, const std::string& route, const std::string& outcome) const;
    /// @return the newest version acknowledged at `at`; 0: none.
    [[nodiscard]] std::size_t newestAt(TimePoint at) const;
    void checkInForce(const Probe& probe, const std::string& outcome, std::vector<Violation>* out) const;
    void checkRegressions(std::size_t machine, const std::map<std::string, const RunRecord*>& runs,
                          std::vector<Violation>* out) const;
    void checkAddedRoutes(std::vector<Violation>* out) const;

    SidecarFleet& fleet_;
    std::array<std::string, 2> services_;
    TableAuditBounds bounds_;
    std::vector<Version> versions_{Version{}};  ///< By version number; the first one is none.
    std::vector<Probe> probes_;
    std::map<std::size_t, std::vector<Span>> disturbed_;      ///< By machine.
    std::map<std::size_t, std::vector<TimePoint>> restarts_;  ///< By machine.
};

}  // namespace dewcrank::sim
