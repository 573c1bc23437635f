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

struct InstanceFixture {
    tests::VirtualTime time;
    instance::LocalInstance local{time.clock, 8s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_instance_local, InstanceFixture)

BOOST_AUTO_TEST_CASE(a_late_heartbeat_does_not_take_draining_back) {
    local.onHeartbeat(beat("i1", 4));
    BOOST_TEST(local.takesCallsFor("i1"));
    BOOST_TEST(local.onHeartbeat(beat("i1", 6, true)));
    BOOST_TEST(!local.onHeartbeat(beat("i1", 5)));
    BOOST_TEST(!local.takesCallsFor("i1"));
}

BOOST_AUTO_TEST_CASE(an_instance_that_left_never_returns_under_its_id) {
    local.onHeartbeat(beat("i1", 4));
    local.onLeave("i1");
    BOOST_TEST(!local.onHeartbeat(beat("i1", 9)));
    BOOST_TEST(!local.isReady());
    local.onHeartbeat(beat("i2", 1));
    BOOST_TEST(local.takesCallsFor("i2"));
}

BOOST_AUTO_TEST_CASE(leaving_is_kept_though_no_heartbeat_came_before) {
    local.onLeave("i1");
    BOOST_TEST(!local.onHeartbeat(beat("i1", 1)));
    BOOST_TEST(!local.isReady());
}

BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_a_former_instance_is_corrected_by_the_next_of_the_present_one) {
    local.onHeartbeat(beat("new", 1));
    local.onHeartbeat(beat("old", 7));
    local.onHeartbeat(beat("new", 2));
    BOOST_TEST(local.takesCallsFor("new"));
    BOOST_TEST(!local.onHeartbeat(beat("old", 7)));
    BOOST_TEST(local.takesCallsFor("new"));
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

BOOST_AUTO_TEST_CASE(silence_makes_an_instance_unknown_but_answers_keep_it) {
    local.onHeartbeat(beat("i1", 1));
    time.advance(6s);
    local.onAnswered();
    time.advance(6s);
    BOOST_TEST(local.isReady());
    time.advance(20s);
    BOOST_TEST(!local.isReady());
}

BOOST_AUTO_TEST_SUITE_END()
