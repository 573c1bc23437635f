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

instance::Heartbeat lived(const std::string& id, std::uint64_t born_ms, std::uint64_t sequence,
                          bool is_draining = false) {
    auto heartbeat = beat(id, sequence, is_draining);
    heartbeat.born_ms = born_ms;
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

// Lives under one id ------------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_later_life_under_the_same_id_replaces_the_former_one) {
    local.onHeartbeat(lived("i1", 1000, 40));
    BOOST_TEST(local.onHeartbeat(lived("i1", 1200, 1)));
    BOOST_TEST(local.record().born_ms() == 1200U);
    BOOST_TEST(!local.onHeartbeat(lived("i1", 1000, 41)));
    BOOST_TEST(!local.onHeartbeat(lived("i1", 1000, 90, true)));
    BOOST_TEST(local.takesCallsFor("i1"));
    BOOST_TEST(local.onHeartbeat(lived("i1", 1200, 2)));
}

BOOST_AUTO_TEST_CASE(a_later_life_comes_back_where_the_former_one_has_left) {
    local.onHeartbeat(lived("i1", 1000, 40));
    local.onLeave("i1", 1000);
    BOOST_TEST(!local.isReady());
    BOOST_TEST(!local.onHeartbeat(lived("i1", 1000, 41)));
    BOOST_TEST(local.onHeartbeat(lived("i1", 1300, 1)));
    BOOST_TEST(local.takesCallsFor("i1"));
    local.onLeave("i1", 1000);  // Held up on its way.
    BOOST_TEST(local.takesCallsFor("i1"));
    local.onLeave("i1", 1300);
    BOOST_TEST(!local.isReady());
}

BOOST_AUTO_TEST_CASE(an_earlier_life_under_another_id_changes_nothing) {
    local.onHeartbeat(lived("new", 2000, 1));
    BOOST_TEST(!local.onHeartbeat(lived("old", 1000, 70)));
    BOOST_TEST(!local.onHeartbeat(lived("old", 1000, 71, true)));
    BOOST_TEST(local.takesCallsFor("new"));
}

/// The clock of its machine has been set back while it was away.
BOOST_AUTO_TEST_CASE(a_life_that_seems_earlier_is_taken_once_the_present_one_has_ended_and_it_goes_on) {
    local.onHeartbeat(lived("i1", 5000, 40));
    local.onUnreachable();
    BOOST_TEST(!local.onHeartbeat(lived("i1", 3000, 1)));
    BOOST_TEST(!local.onHeartbeat(lived("i1", 3000, 2)));  // At the same time: both were held up.
    time.advance(1500ms);
    BOOST_TEST(local.onHeartbeat(lived("i1", 3000, 3)));
    BOOST_TEST(local.takesCallsFor("i1"));
    BOOST_TEST(local.record().born_ms() == 3000U);
}

BOOST_AUTO_TEST_CASE(who_does_not_say_when_it_was_born_changes_nothing_of_one_that_does) {
    local.onHeartbeat(lived("i1", 1000, 4));
    BOOST_TEST(!local.onHeartbeat(lived("i1", 0, 9, true)));
    BOOST_TEST(local.takesCallsFor("i1"));
}

BOOST_AUTO_TEST_CASE(a_leave_that_names_no_life_ends_the_one_that_is_there) {
    local.onHeartbeat(lived("i1", 1000, 4));
    local.onLeave("i1", 0);
    BOOST_TEST(!local.isReady());
    BOOST_TEST(!local.onHeartbeat(lived("i1", 1000, 5)));
    BOOST_TEST(local.onHeartbeat(lived("i1", 1001, 1)));
    BOOST_TEST(local.isReady());
}

BOOST_AUTO_TEST_CASE(what_is_remembered_of_former_lives_is_bounded) {
    for (std::uint64_t life = 1; life <= 10'000; ++life) {
        local.onHeartbeat(lived("i" + std::to_string(life), life, 1));
        local.onLeave("i" + std::to_string(life), life);
    }
    BOOST_TEST(local.knownIncarnations() <= 100U);
    BOOST_TEST(!local.onHeartbeat(lived("i10000", 10'000, 2)));
    BOOST_TEST(!local.onHeartbeat(lived("i9990", 9990, 2)));
}

BOOST_AUTO_TEST_SUITE_END()
