/// Connections of a share of the nodes to the store go silent for good while the table is at rest. A change that comes
/// any time later is in force at all nodes within its bound.

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "sim/sidecar_fleet.h"
#include "tests/support/fleets.h"

using namespace dewcrank;
using tests::instanceOptions;

namespace {

constexpr Duration kStartTime = 10s;
constexpr Duration kChangeBound = 2s;  ///< From the acknowledgement of a table until all nodes use it.

struct Silence {
    std::size_t nodes = 0;
    double share = 0;      ///< Of the nodes whose connections go silent.
    Duration to_change{};  ///< From the silence to the change.
    std::uint64_t seed = 1;
    bool is_repeated = false;  ///< The connections that replace the silent ones go silent too.
    DisabledMechanisms disabled{};

    [[nodiscard]] std::string text() const {
        return std::to_string(nodes) + " nodes, share " + std::to_string(share) + ", change after " +
               std::to_string(toMilliseconds(to_change)) + " ms, seed " + std::to_string(seed);
    }
};

/// A fleet of one service without load: no other message brings the change sooner.
class QuietFleet {
public:
    explicit QuietFleet(const Silence& silence)
        : fleet_(silence.seed, {{instanceOptions("leaf", 5ms, 50), silence.nodes}}, silence.disabled) {
        fleet_.putTable("leaf", "leaf", "leaf");
        fleet_.runFor(kStartTime);
    }

    /// The nodes that watch the store are the first to lose their connections, then others.
    void silence(double share) {
        std::set<const sim::Host*> hosts;
        const auto count = static_cast<std::size_t>(share * static_cast<double>(fleet_.machineCount()) + 0.5);
        const auto served = fleet_.store().hostsServedSince(fleet_.queue().now() - 100ms);
        for (const bool is_watching : {true, false}) {
            for (std::size_t machine = 0; machine < fleet_.machineCount() && hosts.size() < count; ++machine) {
                if (served.contains(&fleet_.host(machine)) == is_watching) {
                    hosts.insert(&fleet_.host(machine));
                }
            }
        }
        fleet_.store().silenceConnections([&hosts](const sim::Host& host) { return hosts.contains(&host); });
    }

    /// @return the nodes that do not have the newest table.
    [[nodiscard]] std::size_t outdatedNodes() {
        std::size_t count = 0;
        for (std::size_t machine = 0; machine < fleet_.machineCount(); ++machine) {
            count += fleet_.node(machine)->table().version() < fleet_.store().table().version() ? 1 : 0;
        }
        return count;
    }
    void change() { fleet_.putTable("leaf", "leaf", "leaf"); }
    void runFor(Duration duration) { fleet_.runFor(duration); }

private:
    sim::SidecarFleet fleet_;
};

/// @return the nodes that do not have the change within its bound.
std::size_t outdatedNodes(const Silence& silence) {
    QuietFleet fleet(silence);
    fleet.silence(silence.share);
    if (silence.is_repeated) {
        fleet.runFor(silence.to_change / 2);
        fleet.silence(silence.share);
    }
    fleet.runFor(silence.is_repeated ? silence.to_change / 2 : silence.to_change);
    fleet.change();
    fleet.runFor(kChangeBound);
    return fleet.outdatedNodes();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_silent_store)

/// Guards against watches on silent connections that look like a table that does not change.
BOOST_AUTO_TEST_CASE(a_change_after_a_silence_is_in_force_in_time) {
    for (const std::size_t nodes : {2U, 12U, 70U}) {
        for (const double share : {0.3, 0.7, 1.0}) {
            for (const auto to_change : {Duration(1ms), Duration(500ms), Duration(4500ms), Duration(20s)}) {
                for (const bool is_repeated : {false, true}) {
                    const Silence silence{nodes, share, to_change, 1, is_repeated};
                    BOOST_TEST(outdatedNodes(silence) == 0U, silence.text());
                }
            }
        }
    }
}

/// Shows that the check can fail: watches alone leave the change unseen.
BOOST_AUTO_TEST_CASE(a_change_after_a_silence_is_late_without_a_bound_on_the_age_of_the_table) {
    Silence silence{12, 0.7, 500ms};
    silence.disabled.table_refresh = true;
    BOOST_TEST(outdatedNodes(silence) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
