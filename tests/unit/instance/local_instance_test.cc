#include "src/instance/local_instance.h"

#include <boost/test/unit_test.hpp>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

instance::Heartbeat beat(const std::string& id, std::uint64_t sequence, bool is_draining = false) {
    instance::Heartbeat heartbeat;
    heartbeat.id = id;
    heartbeat.service = "browse";
    heartbeat.slots = 10;
    heartbeat.sequence = sequence;
    heartbeat.is_draining = is_draining;
    return heartbeat;
}

instance::Heartbeat beatWithStart(const std::string& id, std::uint64_t start_ms, std::uint64_t sequence,
                                  bool is_draining = false) {
    auto heartbeat = beat(id, sequence, is_draining);
    heartbeat.start_ms = start_ms;
    return heartbeat;
}

struct InstanceFixture {
    tests::VirtualTime time;
    instance::LocalInstance local{time.clock, 8s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_instance_local, InstanceFixture)

BOOST_AUTO_TEST_CASE(a_late_heartbeat_does_not_revert_draining) {
    local.onHeartbeat(beat("i1", 4));
    BOOST_TEST(local.acceptsCallsFor("i1"));
    BOOST_TEST(local.onHeartbeat(beat("i1", 6, true)));
    BOOST_TEST(!local.onHeartbeat(beat("i1", 5)));
    BOOST_TEST(!local.acceptsCallsFor("i1"));
}

BOOST_AUTO_TEST_CASE(an_instance_that_left_never_returns_under_its_id) {
    local.onHeartbeat(beat("i1", 4));
    local.onLeave("i1");
    BOOST_TEST(!local.onHeartbeat(beat("i1", 9)));
    BOOST_TEST(!local.isReady());
    local.onHeartbeat(beat("i2", 1));
    BOOST_TEST(local.acceptsCallsFor("i2"));
}

BOOST_AUTO_TEST_CASE(a_leave_is_kept_even_without_a_heartbeat_before_it) {
    local.onLeave("i1");
    BOOST_TEST(!local.onHeartbeat(beat("i1", 1)));
    BOOST_TEST(!local.isReady());
}

BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_a_former_instance_is_corrected_by_the_next_of_the_present_one) {
    local.onHeartbeat(beat("new", 1));
    local.onHeartbeat(beat("old", 7));
    local.onHeartbeat(beat("new", 2));
    BOOST_TEST(local.acceptsCallsFor("new"));
    BOOST_TEST(!local.onHeartbeat(beat("old", 7)));
    BOOST_TEST(local.acceptsCallsFor("new"));
}

BOOST_AUTO_TEST_CASE(an_instance_that_cannot_be_reached_waits_for_its_next_heartbeat) {
    local.onHeartbeat(beat("i1", 1));
    local.onUnreachable();
    BOOST_TEST(!local.isReady());
    local.onHeartbeat(beat("i1", 2));
    BOOST_TEST(local.isReady());
}

BOOST_AUTO_TEST_CASE(another_instance_at_the_address_ends_the_expected_one) {
    local.onHeartbeat(beat("i1", 1));
    local.onMisdirected("i0");
    BOOST_TEST(local.isReady());
    local.onMisdirected("i1");
    BOOST_TEST(!local.isReady());
}

BOOST_AUTO_TEST_CASE(an_instance_becomes_unknown_without_contact_but_responses_keep_it) {
    local.onHeartbeat(beat("i1", 1));
    time.advance(6s);
    local.onResponse();
    time.advance(6s);
    BOOST_TEST(local.isReady());
    time.advance(20s);
    BOOST_TEST(!local.isReady());
}

// Incarnations with the same id ------------------------------------------------

BOOST_AUTO_TEST_CASE(a_later_incarnation_with_the_same_id_replaces_the_former_one) {
    local.onHeartbeat(beatWithStart("i1", 1000, 40));
    BOOST_TEST(local.onHeartbeat(beatWithStart("i1", 1200, 1)));
    BOOST_TEST(local.record().born_ms() == 1200U);
    BOOST_TEST(!local.onHeartbeat(beatWithStart("i1", 1000, 41)));
    BOOST_TEST(!local.onHeartbeat(beatWithStart("i1", 1000, 90, true)));
    BOOST_TEST(local.acceptsCallsFor("i1"));
    BOOST_TEST(local.onHeartbeat(beatWithStart("i1", 1200, 2)));
}

BOOST_AUTO_TEST_CASE(a_later_incarnation_is_accepted_after_the_former_one_has_left) {
    local.onHeartbeat(beatWithStart("i1", 1000, 40));
    local.onLeave("i1", 1000);
    BOOST_TEST(!local.isReady());
    BOOST_TEST(!local.onHeartbeat(beatWithStart("i1", 1000, 41)));
    BOOST_TEST(local.onHeartbeat(beatWithStart("i1", 1300, 1)));
    BOOST_TEST(local.acceptsCallsFor("i1"));
    local.onLeave("i1", 1000);  // The message was delayed in transit.
    BOOST_TEST(local.acceptsCallsFor("i1"));
    local.onLeave("i1", 1300);
    BOOST_TEST(!local.isReady());
}

BOOST_AUTO_TEST_CASE(an_earlier_incarnation_with_another_id_changes_nothing) {
    local.onHeartbeat(beatWithStart("new", 2000, 1));
    BOOST_TEST(!local.onHeartbeat(beatWithStart("old", 1000, 70)));
    BOOST_TEST(!local.onHeartbeat(beatWithStart("old", 1000, 71, true)));
    BOOST_TEST(local.acceptsCallsFor("new"));
}

/// Guards against ignoring an instance whose host clock was set back while it was down.
BOOST_AUTO_TEST_CASE(an_incarnation_with_an_earlier_start_replaces_one_that_is_down_if_its_heartbeats_continue) {
    local.onHeartbeat(beatWithStart("i1", 5000, 40));
    local.onUnreachable();
    BOOST_TEST(!local.onHeartbeat(beatWithStart("i1", 3000, 1)));
    BOOST_TEST(!local.onHeartbeat(beatWithStart("i1", 3000, 2)));  // Both heartbeats arrive late, at the same time.
    time.advance(1500ms);
    BOOST_TEST(local.onHeartbeat(beatWithStart("i1", 3000, 3)));
    BOOST_TEST(local.acceptsCallsFor("i1"));
    BOOST_TEST(local.record().born_ms() == 3000U);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_without_start_time_does_not_change_an_incarnation_with_one) {
    local.onHeartbeat(beatWithStart("i1", 1000, 4));
    BOOST_TEST(!local.onHeartbeat(beatWithStart("i1", 0, 9, true)));
    BOOST_TEST(local.acceptsCallsFor("i1"));
}

BOOST_AUTO_TEST_CASE(a_leave_without_start_time_applies_to_the_current_incarnation) {
    local.onHeartbeat(beatWithStart("i1", 1000, 4));
    local.onLeave("i1", 0);
    BOOST_TEST(!local.isReady());
    BOOST_TEST(!local.onHeartbeat(beatWithStart("i1", 1000, 5)));
    BOOST_TEST(local.onHeartbeat(beatWithStart("i1", 1001, 1)));
    BOOST_TEST(local.isReady());
}

BOOST_AUTO_TEST_CASE(the_number_of_known_incarnations_is_bounded) {
    for (std::uint64_t incarnation = 1; incarnation <= 10'000; ++incarnation) {
        local.onHeartbeat(beatWithStart("i" + std::to_string(incarnation), incarnation, 1));
        local.onLeave("i" + std::to_string(incarnation), incarnation);
    }
    BOOST_TEST(local.knownIncarnations() <= 100U);
    BOOST_TEST(!local.onHeartbeat(beatWithStart("i10000", 10'000, 2)));
    BOOST_TEST(!local.onHeartbeat(beatWithStart("i9990", 9990, 2)));
}

/// Guards against a delayed heartbeat of a former instance that takes the living one out of service.
BOOST_AUTO_TEST_CASE(an_incarnation_that_is_leaving_does_not_replace_a_ready_one) {
    local.onHeartbeat(beat("new", 1));
    BOOST_TEST(!local.onHeartbeat(beat("old", 7, true)));
    BOOST_TEST(local.acceptsCallsFor("new"));
    BOOST_TEST(local.leaves().size() == 1U);
    local.onUnreachable();
    BOOST_TEST(local.onHeartbeat(beat("old", 8, true)));
    BOOST_TEST((local.record().state() == wire::INSTANCE_DRAINING));
}

// Leaves that an earlier process has acknowledged -------------------------------

/// Guards against a restarted node that takes a late heartbeat for news of an instance that has left.
BOOST_AUTO_TEST_CASE(recovered_leaves_hold_before_and_after_the_first_heartbeat) {
    instance::LocalInstance former{time.clock, 8s};
    former.onHeartbeat(beatWithStart("i1", 100, 4));
    former.onLeave("i1", 100);
    former.onHeartbeat(beatWithStart("i2", 200, 3, true));
    int changes = 0;
    local.signalLeavesChanged().connect([&] { ++changes; });
    local.onHeartbeat(beatWithStart("i2", 200, 2));
    BOOST_TEST(local.acceptsCallsFor("i2"));
    BOOST_TEST(local.restoreLeaves(former.leaves()));
    BOOST_TEST(changes == 1);
    BOOST_TEST((local.record().state() == wire::INSTANCE_DRAINING));
    BOOST_TEST(!local.onHeartbeat(beatWithStart("i1", 100, 5)));
    BOOST_TEST(!local.restoreLeaves(former.leaves()));
    BOOST_TEST(local.leaves().size() == 2U);
    local.onHeartbeat(beatWithStart("i2", 300, 1));
    BOOST_TEST(local.acceptsCallsFor("i2"));
}

/// A draining incarnation that leaves then is reported once, as one that has left; the latest ones are reported.
BOOST_AUTO_TEST_CASE(the_number_of_reported_leaves_is_bounded) {
    for (std::uint64_t count = 1; count <= 100; ++count) {
        local.onHeartbeat(beatWithStart("i" + std::to_string(count), count, 1, true));
        local.onLeave("i" + std::to_string(count), count);
    }
    const auto leaves = local.leaves();
    BOOST_REQUIRE(leaves.size() == instance::kMaxReportedLeaves);
    BOOST_TEST(leaves.back().id() == "i100");
    BOOST_TEST(leaves.back().has_left());
}

// Guards against a heartbeat that still says ready after a response has said that the instance is leaving.
BOOST_AUTO_TEST_CASE(an_instance_that_is_leaving_is_not_made_ready_by_its_heartbeats) {
    local.onHeartbeat(beatWithStart("i1", 100, 4));
    BOOST_TEST(local.onLeaving());
    BOOST_TEST(!local.onLeaving());
    BOOST_TEST(!local.acceptsCallsFor("i1"));
    local.onHeartbeat(beatWithStart("i1", 100, 5));
    BOOST_TEST((local.record().state() == wire::INSTANCE_DRAINING));
    local.onHeartbeat(beatWithStart("i1", 200, 1));
    BOOST_TEST(local.acceptsCallsFor("i1"));
    local.onHeartbeat(beatWithStart("i1", 100, 6));  // A late one of the incarnation that was leaving.
    BOOST_TEST(local.acceptsCallsFor("i1"));
}

// Guards against an instance that responds and is in no use until its next heartbeat.
BOOST_AUTO_TEST_CASE(a_response_makes_an_unknown_instance_ready_again_but_not_a_draining_one) {
    local.onReachable();
    BOOST_TEST(!local.isReady());  // There has been no heartbeat yet.
    local.onHeartbeat(beat("i1", 1));
    local.onUnreachable();
    BOOST_TEST(!local.isReady());
    local.onReachable();
    BOOST_TEST(local.isReady());
    time.advance(9s);
    BOOST_TEST(!local.isReady());
    local.onHeartbeat(beat("i1", 2, true));
    local.onReachable();
    BOOST_TEST((local.record().state() == wire::INSTANCE_DRAINING));
}

BOOST_AUTO_TEST_SUITE_END()
