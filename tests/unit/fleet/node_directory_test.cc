#include "src/fleet/node_directory.h"

#include <boost/test/unit_test.hpp>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

wire::NodeRecord recordOf(const std::string& name, std::uint64_t incarnation, std::uint64_t sequence) {
    wire::NodeRecord record;
    record.set_name(name);
    record.set_incarnation(incarnation);
    record.set_sequence(sequence);
    record.set_address(name + ":1");
    return record;
}

struct DirectoryFixture {
    tests::VirtualTime time;
    fleet::NodeDirectory directory{time.clock, recordOf("self", 5, 1)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_fleet_node_directory, DirectoryFixture)

BOOST_AUTO_TEST_CASE(the_later_record_wins_whatever_the_order_of_arrival) {
    BOOST_TEST(directory.merge(recordOf("a", 1, 4)));
    BOOST_TEST(!directory.merge(recordOf("a", 1, 3)));
    BOOST_TEST(!directory.merge(recordOf("a", 1, 4)));
    BOOST_TEST(directory.merge(recordOf("a", 2, 0)));
    BOOST_TEST(!directory.merge(recordOf("a", 1, 9)));
    BOOST_TEST(directory.find("a")->record.incarnation() == 2U);
}

/// Guards against a restarted node whose records are ignored because other nodes hold a higher incarnation.
BOOST_AUTO_TEST_CASE(a_node_continues_after_a_later_incarnation_that_others_know) {
    int changes = 0;
    directory.signalSelfChanged().connect([&] { ++changes; });
    BOOST_TEST(!directory.merge(recordOf("self", 8, 2)));
    BOOST_TEST(directory.self().incarnation() == 9U);
    BOOST_TEST(changes == 1);
    BOOST_TEST(!directory.merge(recordOf("self", 3, 7)));
    BOOST_TEST(directory.self().incarnation() == 9U);
}

// Leaves in records of earlier processes ----------------------------------------

wire::NodeRecord recordWithLeaves(std::uint64_t incarnation, std::uint64_t sequence,
                                  const std::vector<std::string>& ids) {
    auto record = recordOf("a", incarnation, sequence);
    for (const auto& id : ids) {
        record.add_leaves()->set_id(id);
    }
    return record;
}

/// Guards against a leave that is forgotten with the process that acknowledged it, also if the node restarts twice.
BOOST_AUTO_TEST_CASE(leaves_of_earlier_processes_are_kept_until_the_present_one_has_them) {
    directory.merge(recordWithLeaves(1, 4, {"i1", "i2"}));
    BOOST_TEST(directory.formerLeaves("a").empty());
    directory.merge(recordWithLeaves(2, 0, {}));
    BOOST_TEST(directory.formerLeaves("a").size() == 2U);
    directory.merge(recordWithLeaves(3, 0, {"i3"}));
    BOOST_TEST(directory.formerLeaves("a").size() == 2U);
    directory.merge(recordWithLeaves(3, 1, {"i3", "i2"}));
    BOOST_REQUIRE(directory.formerLeaves("a").size() == 1U);
    BOOST_TEST(directory.formerLeaves("a").front().id() == "i1");
    directory.merge(recordWithLeaves(3, 2, {"i3", "i2", "i1"}));
    BOOST_TEST(directory.formerLeaves("a").empty());
}

BOOST_AUTO_TEST_CASE(a_message_shows_a_restart_before_the_record_does) {
    directory.merge(recordWithLeaves(1, 4, {"i1"}));
    BOOST_TEST(!directory.onIncarnationSeen("a", 1));
    BOOST_TEST(directory.formerLeaves("a").empty());
    BOOST_TEST(directory.onIncarnationSeen("a", 2));
    BOOST_TEST(!directory.onIncarnationSeen("a", 2));
    BOOST_TEST(directory.formerLeaves("a").size() == 1U);
    BOOST_TEST(!directory.onIncarnationSeen("unknown", 2));
    for (std::uint64_t incarnation = 2; incarnation < 100; ++incarnation) {
        directory.merge(recordWithLeaves(incarnation, 0, {"i" + std::to_string(incarnation)}));
    }
    BOOST_TEST(directory.formerLeaves("a").size() <= fleet::kMaxFormerLeaves);
}

BOOST_AUTO_TEST_CASE(a_failed_contact_makes_a_node_suspected_until_it_is_reached) {
    std::vector<std::string> reported;
    directory.signalSuspected().connect([&](const std::string& name) { reported.push_back(name); });
    directory.merge(recordOf("a", 1, 1));
    BOOST_TEST(!directory.isSuspected(*directory.find("a")));
    directory.onUnreachable("a");
    BOOST_TEST(directory.isSuspected(*directory.find("a")));
    time.advance(60s);
    BOOST_TEST(directory.isSuspected(*directory.find("a")));
    directory.onReached("a");
    BOOST_TEST(!directory.isSuspected(*directory.find("a")));
    BOOST_TEST((directory.find("a")->last_contact == time.clock.now()));
    BOOST_TEST(reported == std::vector<std::string>{"a"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_is_not_suspected) {
    directory.merge(recordOf("a", 1, 1));
    directory.onUnreachable("a");
    directory.merge(recordOf("a", 2, 1));
    BOOST_TEST(!directory.isSuspected(*directory.find("a")));
}

BOOST_AUTO_TEST_CASE(directories_have_the_same_hash_just_when_they_hold_the_same) {
    fleet::NodeDirectory other(time.clock, recordOf("other", 1, 1));
    directory.merge(recordOf("a", 1, 2));
    directory.merge(other.self());
    other.merge(directory.self());
    BOOST_TEST(directory.hash() != other.hash());
    other.merge(recordOf("a", 1, 1));
    BOOST_TEST(directory.hash() != other.hash());
    other.merge(recordOf("a", 1, 2));
    BOOST_TEST(directory.hash() == other.hash());
    other.updateSelf({}, {}, true);
    BOOST_TEST(directory.hash() != other.hash());
}

BOOST_AUTO_TEST_CASE(the_difference_of_two_directories_is_just_what_is_missing) {
    fleet::NodeDirectory other(time.clock, recordOf("other", 1, 1));
    directory.merge(recordOf("a", 1, 2));
    directory.merge(recordOf("b", 1, 1));
    other.merge(recordOf("a", 1, 1));
    other.merge(recordOf("c", 1, 1));
    const auto difference = other.differenceTo(directory.digest());
    BOOST_TEST(difference.newer.size() == 2U);  // other, c
    BOOST_TEST(difference.older.size() == 3U);  // a, b, self
    for (const auto& record : difference.newer) {
        directory.merge(record);
    }
    for (const auto& name : difference.older) {
        other.merge(*directory.record(name));
    }
    BOOST_TEST(other.differenceTo(directory.digest()).newer.empty());
    BOOST_TEST(other.differenceTo(directory.digest()).older.empty());
}

BOOST_AUTO_TEST_CASE(a_cold_instance_warms_up_as_time_passes) {
    auto record = recordOf("a", 1, 1);
    record.mutable_instance()->set_cold_left_ms(800);
    directory.merge(record);
    time.advance(300ms);
    BOOST_TEST((directory.coldLeft(*directory.find("a"), time.clock.now()) == 500ms));
    time.advance(1s);
    BOOST_TEST((directory.coldLeft(*directory.find("a"), time.clock.now()) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(others_are_found_by_the_service_of_their_instance_through_every_change) {
    const auto with = [](const std::string& name, std::uint64_t sequence, const std::string& service) {
        auto record = recordOf(name, 1, sequence);
        record.mutable_instance()->set_service(service);
        return record;
    };
    const auto names = [&](const std::string& service) {
        std::vector<std::string> found;
        for (const auto* node : directory.othersWithService(service)) {
            found.push_back(node->record.name());
        }
        return found;
    };
    directory.addAddress("a", "north", "a:1");
    BOOST_TEST(names("desk").empty());
    BOOST_TEST(directory.otherInstanceCount() == 0U);
    directory.merge(with("a", 1, "desk"));
    directory.merge(with("b", 1, "desk"));
    directory.merge(with("c", 1, "leaf"));
    BOOST_TEST(names("desk") == (std::vector<std::string>{"a", "b"}), boost::test_tools::per_element());
    BOOST_TEST(directory.otherInstanceCount() == 3U);
    directory.merge(with("a", 2, "leaf"));
    BOOST_TEST(names("desk") == std::vector<std::string>{"b"}, boost::test_tools::per_element());
    BOOST_TEST(names("leaf") == (std::vector<std::string>{"a", "c"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_hash_follows_the_records_and_not_the_order_in_which_they_came) {
    fleet::NodeDirectory other{time.clock, recordOf("self", 5, 1)};
    BOOST_TEST(directory.hash() == other.hash());
    directory.merge(recordOf("a", 1, 1));
    directory.merge(recordOf("a", 1, 2));
    directory.merge(recordOf("b", 3, 1));
    BOOST_TEST(directory.hash() != other.hash());
    other.merge(recordOf("b", 3, 1));
    other.merge(recordOf("a", 1, 2));
    BOOST_TEST(directory.hash() == other.hash());
}

/// Guards against calls to a node superseded at its address: a delayed rumor or message must not make the node
/// reachable again.
BOOST_AUTO_TEST_CASE(a_node_whose_address_another_one_has_is_not_reachable) {
    std::vector<std::string> conflicts;
    directory.signalAddressConflict().connect([&](const std::string& previous, const std::string& claimant) {
        conflicts.push_back(previous + " " + claimant);
    });
    const auto at = [](const std::string& name, std::uint64_t incarnation, std::uint64_t sequence,
                       const char* address) {
        auto record = recordOf(name, incarnation, sequence);
        record.set_address(address);
        return record;
    };
    const auto isReachable = [&](const char* name) { return fleet::NodeDirectory::isReachable(*directory.find(name)); };
    directory.merge(at("old", 9, 1, "x:1"));
    directory.merge(at("new", 2, 1, "x:1"));  // The clock of `new` is behind, so its incarnation is lower.
    BOOST_TEST(conflicts == std::vector<std::string>{"old new"}, boost::test_tools::per_element());
    BOOST_TEST(isReachable("old"));
    directory.onSuperseded("old");
    BOOST_TEST(!isReachable("old"));
    directory.merge(at("old", 9, 2, "x:1"));  // A delayed rumor.
    directory.onMessageReceived("old");       // A delayed message.
    BOOST_TEST(!isReachable("old"));
    directory.onReached("old");  // The node has regained its address.
    BOOST_TEST(isReachable("old"));
    directory.onSuperseded("old");
    directory.merge(at("old", 10, 1, "x:1"));  // A new incarnation.
    BOOST_TEST(isReachable("old"));
    directory.onSuperseded("old");
    directory.merge(at("old", 10, 2, "y:1"));  // Another address.
    BOOST_TEST(isReachable("old"));
    directory.merge(at("former", 7, 1, "self:1"));
    BOOST_TEST(!isReachable("former"));  // This node's own address.
}

BOOST_AUTO_TEST_SUITE_END()
