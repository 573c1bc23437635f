#include "src/fleet/zone_ranking.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

wire::NodeRecord recordOf(const std::string& name, const std::string& zone) {
    wire::NodeRecord record;
    record.set_name(name);
    record.set_zone(zone);
    record.set_address(name + ":1");
    record.set_incarnation(1);
    return record;
}

struct RankingFixture {
    RankingFixture() {
        for (int number = 0; number < 40; ++number) {
            directory.merge(recordOf("n" + std::to_string(number), number % 2 == 0 ? "north" : "east"));
        }
    }
    [[nodiscard]] std::size_t predecessorCount() const { return ranking.predecessors(100).size(); }

    tests::VirtualTime time;
    fleet::NodeDirectory directory{time.clock, recordOf("self", "north")};
    fleet::ZoneRanking ranking{directory};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_fleet_zone_ranking, RankingFixture)

BOOST_AUTO_TEST_CASE(nodes_of_other_zones_are_not_predecessors) {
    std::size_t greater = 0;
    for (const auto& [name, node] : directory.others()) {
        const bool is_near = node.record.zone() == "north";
        greater += is_near && node.rank > fleet::NodeDirectory::rankOf("self") ? 1 : 0;
    }
    BOOST_TEST(greater > 0U);
    BOOST_TEST(predecessorCount() == greater);
    BOOST_TEST(ranking.predecessors(2).size() == 2U);
    BOOST_TEST(directory.zoneCount() == 2U);
}

BOOST_AUTO_TEST_CASE(suspected_and_stopping_nodes_are_skipped_until_they_are_back) {
    const auto before = predecessorCount();
    const auto first = ranking.predecessors(1).front()->record.name();
    const auto nearest = ranking.predecessor()->record.name();
    BOOST_TEST(first != nearest);
    directory.onUnreachable(first);
    BOOST_TEST(predecessorCount() == before - 1);
    BOOST_TEST(ranking.predecessors(1).front()->record.name() != first);
    auto stopping = recordOf(nearest, "north");
    stopping.set_sequence(1);
    stopping.set_is_stopping(true);
    directory.merge(stopping);
    BOOST_TEST(predecessorCount() == before - 2);
    BOOST_TEST(ranking.predecessor()->record.name() != nearest);
    directory.onReached(first);
    BOOST_TEST(predecessorCount() == before - 1);
}

BOOST_AUTO_TEST_CASE(a_node_that_moves_to_another_zone_leaves_this_one) {
    const auto before = predecessorCount();
    auto moved = recordOf(ranking.predecessors(1).front()->record.name(), "west");
    moved.set_sequence(1);
    directory.merge(moved);
    BOOST_TEST(predecessorCount() == before - 1);
    BOOST_TEST(directory.zoneCount() == 3U);
}

BOOST_AUTO_TEST_CASE(each_zone_has_one_first_node_which_suspicion_replaces) {
    const auto* first = ranking.first("east");
    BOOST_TEST(first->record.zone() == "east");
    for (const auto& [name, node] : directory.others()) {
        BOOST_TEST((node.record.zone() != "east" || node.rank <= first->rank));
    }
    const auto former = first->record.name();
    directory.onUnreachable(former);
    BOOST_TEST(ranking.first("east")->record.name() != former);
    BOOST_TEST(ranking.first("south") == nullptr);
    BOOST_TEST((directory.zones() == std::vector<std::string>{"east", "north"}));
}

BOOST_AUTO_TEST_CASE(a_node_that_is_first_in_its_zone_knows_no_node_before_it) {
    std::size_t first_nodes = 0;
    for (const char* name : {"n1", "n2", "n3"}) {
        fleet::NodeDirectory own(time.clock, recordOf(name, "north"));
        for (const char* other : {"n1", "n2", "n3"}) {
            if (std::string(other) != name) {
                own.merge(recordOf(other, "north"));
            }
        }
        first_nodes += fleet::ZoneRanking(own).first("north") == nullptr ? 1 : 0;
    }
    BOOST_TEST(first_nodes == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
