#include "src/entry/relay_selector.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "src/adapters/seeded_random.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

wire::NodeRecord recordOf(const std::string& name, const std::string& zone) {
    wire::NodeRecord record;
    record.set_name(name);
    record.set_incarnation(1);
    record.set_zone(zone);
    record.set_address(name + ":1");
    record.mutable_instance()->set_service("desk");
    record.mutable_instance()->set_id("i-" + name);
    record.mutable_instance()->set_slots(20);
    record.mutable_instance()->set_state(wire::INSTANCE_READY);
    return record;
}

/// @return the record of the local node, whose instance belongs to another service.
wire::NodeRecord selfRecord() {
    auto record = recordOf("self", "north");
    record.mutable_instance()->set_service("other");
    return record;
}

struct SelectorFixture {
    SelectorFixture() {
        for (const char* name : {"a", "b", "c"}) {
            directory.merge(recordOf(name, "north"));
        }
    }
    /// @return the number of calls per relay. Calls to `failing` fail, all others succeed.
    std::map<std::string, int> chosenCounts(int calls, const std::string& failing) {
        std::map<std::string, int> chosen;
        for (int call = 0; call < calls; ++call) {
            const auto target = selector.choose("desk", {});
            ++chosen[target.node];
            selector.onOutcome(target.node, target.node == failing);
            time.advance(5ms);
        }
        return chosen;
    }

    tests::VirtualTime time;
    adapters::SeededRandom random{1};
    fleet::NodeDirectory directory{time.clock, selfRecord()};
    entry::RelaySelector selector{time.clock, random, directory, {}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_entry_relay_selector, SelectorFixture)

BOOST_AUTO_TEST_CASE(equal_relays_of_the_own_zone_get_equal_shares) {
    directory.merge(recordOf("far", "east"));
    const auto chosen = chosenCounts(3000, "");
    for (const char* name : {"a", "b", "c"}) {
        BOOST_TEST(chosen.at(name) > 900);
    }
    BOOST_TEST(!chosen.contains("far"));
}

BOOST_AUTO_TEST_CASE(a_relay_whose_calls_fail_gets_few_and_its_share_again_when_they_succeed) {
    const auto failing = chosenCounts(2000, "b");
    BOOST_TEST(failing.at("b") < 100);
    BOOST_TEST(failing.at("b") > 0);
    time.advance(10s);
    const auto recovered = chosenCounts(2000, "");
    BOOST_TEST(recovered.at("b") > 400);
}

BOOST_AUTO_TEST_CASE(a_suspected_relay_is_chosen_only_if_there_is_no_other) {
    directory.onUnreachable("a");
    directory.onUnreachable("b");
    BOOST_TEST(chosenCounts(50, "").at("c") == 50);
    directory.onUnreachable("c");
    BOOST_TEST(!selector.hasReachableRelay("desk", {}));
    BOOST_TEST(!selector.choose("desk", {}).node.empty());
}

// Guards against a limited instance that attracts load because few requests run there.
BOOST_AUTO_TEST_CASE(a_relay_at_its_rate_limit_is_chosen_last_and_asked_again_after_a_while) {
    const relay::QueueLoad busy{10, 0, 19, 50ms};
    selector.onLoad("b", busy);
    selector.onLoad("c", busy);
    selector.onLoad("a", {0, 0, 19, 50ms, 2, 400ms});
    BOOST_TEST(!chosenCounts(20, "").contains("a"));
    const relay::QueueLoad full{19, 10, 19, 50ms};
    selector.onLoad("b", full);
    selector.onLoad("c", full);
    time.advance(400ms);
    selector.onLoad("b", full);
    selector.onLoad("c", full);
    BOOST_TEST(selector.choose("desk", {}).node == "a");  // Its rate lets a request through.
    time.advance(6s);
    selector.onLoad("b", busy);
    selector.onLoad("c", busy);
    BOOST_TEST(selector.choose("desk", {}).node == "a");  // The report is old: the limit may have ended.
}

BOOST_AUTO_TEST_CASE(a_relay_whose_instance_is_leaving_is_not_chosen_though_its_record_says_ready) {
    selector.onNotice("i-a", {0, true, false, std::nullopt});
    BOOST_TEST(!chosenCounts(200, "").contains("a"));
    BOOST_TEST(selector.relayCount("desk") == 2U);
    selector.onNotice("i-b", {0, true, false, std::nullopt});
    selector.onNotice("i-c", {0, true, false, std::nullopt});
    BOOST_TEST(selector.choose("desk", {}).node.empty());
    BOOST_TEST(!selector.hasRelay("desk"));
    BOOST_TEST(!selector.hasReachableRelay("desk", {}));
}

BOOST_AUTO_TEST_CASE(a_target_carries_the_limit_that_this_node_was_told) {
    selector.onNotice("i-a", {0, false, true, 16.3});
    const auto target = selector.choose("desk", {"b", "c"});
    BOOST_TEST(target.known_rate_limit.value() == 16.3);
    BOOST_TEST(!selector.choose("desk", {"a", "c"}).known_rate_limit.has_value());
}

// Guards against a service whose instances are all counted as down, and are in no use though they are up.
BOOST_AUTO_TEST_CASE(instances_in_an_unknown_state_are_probed_only_if_there_is_no_other) {
    const auto setState = [this](const std::string& name, wire::InstanceState state) {
        auto record = recordOf(name, "north");
        record.set_sequence(directory.find(name)->record.sequence() + 1);
        record.mutable_instance()->set_state(state);
        directory.merge(record);
    };
    setState("a", wire::INSTANCE_UNKNOWN);
    setState("b", wire::INSTANCE_UNKNOWN);
    BOOST_TEST(chosenCounts(200, "").at("c") == 200);
    setState("c", wire::INSTANCE_DRAINING);
    const auto probed = chosenCounts(200, "");
    BOOST_TEST(probed.at("a") > 50);
    BOOST_TEST(probed.at("b") > 50);
    BOOST_TEST(!probed.contains("c"));
    BOOST_TEST(selector.choose("desk", {}).is_probe);
    BOOST_TEST(selector.relayCount("desk") == 0U);
    directory.onUnreachable("a");  // Its node does not respond either.
    BOOST_TEST(chosenCounts(20, "").at("b") == 20);
    BOOST_TEST(selector.choose("desk", {"b"}).node.empty());
}

// Guards against a relay that looks idle while it may use only a few slots of an instance that has just returned.
BOOST_AUTO_TEST_CASE(a_relay_that_may_use_few_slots_counts_as_full_when_these_are_in_use) {
    selector.onLoad("a", {4, 0, 4, 50ms});
    selector.onLoad("b", {12, 0, 19, 50ms});
    selector.onLoad("c", {12, 0, 19, 50ms});
    BOOST_TEST(selector.choose("desk", {}).node != "a");
}

BOOST_AUTO_TEST_SUITE_END()
