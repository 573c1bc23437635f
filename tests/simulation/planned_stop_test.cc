/// A planned stop of a node ends when its peers have received all replies, and not later than its limit.

#include <boost/test/unit_test.hpp>

#include "sim/sidecar_fleet.h"
#include "tests/support/fleets.h"

using namespace dewcrank;

namespace {

struct StopFixture {
    StopFixture() {
        fleet.putTable("browse", "desk", "leaf");
        fleet.runFor(4s);
        fleet.node(0)->stop({[] {}, [this] { return has_delivered; }, [this] { ended = fleet.queue().now(); }});
        began = fleet.queue().now();
    }
    sim::SidecarFleet fleet{1, tests::callingServices()};
    const sidecar::Knobs knobs;
    bool has_delivered = false;
    TimePoint began{};
    TimePoint ended{};  ///< The epoch until the stop has ended.
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(simulation_planned_stop, StopFixture)

/// Guards against a stop that ends with its last call, while clients still read their responses.
BOOST_AUTO_TEST_CASE(a_stop_waits_for_replies_that_are_still_being_delivered) {
    fleet.runFor(knobs.stop.drain_time + 1s);
    BOOST_TEST((ended == TimePoint{}));
    has_delivered = true;
    fleet.runFor(100ms);
    BOOST_TEST((ended > began + knobs.stop.drain_time + 1s));
}

/// Guards against a stop that waits for a client that never reads.
BOOST_AUTO_TEST_CASE(a_stop_ends_at_its_limit_whatever_is_left) {
    fleet.runFor(knobs.stop.max_time - 100ms);
    BOOST_TEST((ended == TimePoint{}));
    fleet.runFor(200ms);
    BOOST_TEST((ended > TimePoint{}));
}

/// Guards against a second stop that begins the first one anew.
BOOST_AUTO_TEST_CASE(a_second_stop_changes_nothing) {
    fleet.runFor(knobs.stop.drain_time + 500ms);
    bool has_second_ended = false;
    fleet.node(0)->stop({[] {}, [] { return true; }, [&] { has_second_ended = true; }});
    fleet.runFor(knobs.stop.max_time - knobs.stop.drain_time - 600ms);
    BOOST_TEST((ended == TimePoint{}));
    fleet.runFor(200ms);
    BOOST_TEST((ended > TimePoint{}));
    BOOST_TEST(!has_second_ended);
}

BOOST_AUTO_TEST_SUITE_END()
