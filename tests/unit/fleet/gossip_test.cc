#include "src/fleet/gossip.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>

#include "src/adapters/seeded_random.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

/// Delivers messages between the nodes of a test, and counts messages and bytes.
class FakeNetwork : public HttpTransport {
public:
    explicit FakeNetwork(Clock& clock) : clock_(clock) {}
    AttemptHandle send(const std::string& address, HttpRequest request, Duration, Callback callback) override {
        bytes += request.body.size();
        ++messages;
        auto attempt = std::make_unique<Running>();
        attempt->timer = clock_.startTimer(1ms, [this, address, request, callback = std::move(callback)] {
            AttemptResult result;
            const auto receiver = nodes.find(address);
            if (receiver == nodes.end()) {
                result.outcome = AttemptOutcome::kUnknown;
                callback(result);
                return;
            }
            result.outcome = AttemptOutcome::kResponded;
            result.response = receiver->second->handle(request);
            bytes += result.response.body.size();
            wire::Gossip response;
            response.ParseFromString(result.response.body);
            tables += response.has_table() ? 1 : 0;
            callback(result);
        });
        return attempt;
    }
    std::map<std::string, fleet::Gossip*> nodes;
    std::size_t bytes = 0;
    int messages = 0;
    int tables = 0;  ///< Responses that contained the table.

private:
    struct Running : Attempt {
        TimerHandle timer;
    };
    Clock& clock_;
};

wire::NodeRecord recordOf(const std::string& name) {
    wire::NodeRecord record;
    record.set_name(name);
    record.set_incarnation(1);
    record.set_address(name + ":1");
    return record;
}

struct Node {
    Node(const std::string& name, Clock& clock, FakeNetwork& network)
        : random(std::hash<std::string>()(name)),
          directory(clock, recordOf(name)),
          gossip(clock, random, log, network, directory, table, lease, {}) {
        network.nodes[name + ":1"] = &gossip;
    }
    adapters::SeededRandom random;
    tests::RecordingLog log;
    policy::RouteTable table;
    policy::TableLease lease{{}};
    fleet::NodeDirectory directory;
    fleet::Gossip gossip;
};

struct GossipFixture {
    GossipFixture() {
        left.directory.addAddress("right", "", "right:1");
        right.directory.addAddress("left", "", "left:1");
    }
    /// Runs one exchange. @return the number of bytes sent.
    std::size_t exchange() {
        const auto before = network.bytes;
        left.gossip.exchangeWith("right");
        time.advance(100ms);
        return network.bytes - before;
    }

    tests::VirtualTime time;
    FakeNetwork network{time.clock};
    Node left{"left", time.clock, network};
    Node right{"right", time.clock, network};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_fleet_gossip, GossipFixture)

BOOST_AUTO_TEST_CASE(one_exchange_brings_both_sides_what_they_lack) {
    left.directory.merge(recordOf("a"));
    right.directory.merge(recordOf("b"));
    exchange();
    BOOST_TEST(left.directory.find("b") != nullptr);
    BOOST_TEST(right.directory.find("a") != nullptr);
    BOOST_TEST(left.directory.hash() == right.directory.hash());
}

BOOST_AUTO_TEST_CASE(an_exchange_of_equal_directories_is_small_whatever_their_size) {
    exchange();
    const auto small = exchange();
    for (int count = 0; count < 1000; ++count) {
        left.directory.merge(recordOf("node-" + std::to_string(count)));
    }
    BOOST_TEST(exchange() > 10'000U);
    BOOST_TEST(exchange() == small);
    BOOST_TEST(small < 200U);
}

BOOST_AUTO_TEST_CASE(a_node_that_is_behind_gets_the_table_with_the_exchange) {
    wire::RouteTable table;
    table.set_version(7);
    right.table.adopt(table);
    exchange();
    BOOST_TEST(left.table.version() == 7U);
}

/// Guards against a table that replaces the present one though nobody has asked for it.
BOOST_AUTO_TEST_CASE(a_table_in_a_request_is_ignored) {
    wire::Gossip message;
    message.set_sender("right");
    message.mutable_table()->set_version(7);
    HttpRequest request;
    request.method = "POST";
    request.path = fleet::kGossipPath;
    request.body = message.SerializeAsString();
    BOOST_TEST(left.gossip.handle(request).status == 200);
    BOOST_TEST(left.table.version() == 0U);
}

/// A fleet of kNodes nodes with the table and complete directories, and a starting node that has only their addresses.
struct FleetFixture {
    FleetFixture() {
        wire::RouteTable table;
        table.set_version(7);
        for (int i = 0; i < kNodes; ++i) {
            const auto name = "node-" + std::to_string(i);
            nodes.push_back(std::make_unique<Node>(name, time.clock, network));
            nodes.back()->table.adopt(table);
            starting.directory.addAddress(name, "", name + ":1");
        }
        for (const auto& node : nodes) {
            for (const auto& other : nodes) {
                node->directory.merge(other->directory.self());
            }
        }
        time.advance(3s);  // The nodes stop sending rumors of the table.
        network.messages = 0;
    }
    /// @return the number of nodes whose record of `name` has this sequence number.
    [[nodiscard]] int countNodesWith(const std::string& name, std::uint64_t sequence) const {
        return static_cast<int>(std::count_if(nodes.begin(), nodes.end(), [&](const auto& node) {
            const auto* record = node->directory.record(name);
            return record != nullptr && record->incarnation() > 0 && record->sequence() == sequence;
        }));
    }
    static constexpr int kNodes = 200;
    tests::VirtualTime time;
    FakeNetwork network{time.clock};
    std::vector<std::unique_ptr<Node>> nodes;
    Node starting{"starting", time.clock, network};
};

BOOST_FIXTURE_TEST_CASE(a_starting_node_gets_the_table_a_few_times_and_is_known_to_all, FleetFixture) {
    starting.gossip.announceSelf();
    time.advance(100ms);
    BOOST_TEST(starting.table.version() == 7U);
    time.advance(1s);
    BOOST_TEST(countNodesWith("starting", 0) >=
               kNodes * 0.97);  // The periodic exchange, which would reach the rest, is not started.
    BOOST_TEST(network.tables >= 1);
    BOOST_TEST(network.tables <= 3);
}

/// Guards against a cost per node that grows with the fleet, and against one message per change.
BOOST_FIXTURE_TEST_CASE(a_change_reaches_a_fleet_for_a_few_messages_a_node, FleetFixture) {
    wire::InstanceRecord instance;
    instance.set_id("i1");
    nodes[0]->directory.updateSelf(instance, {}, false);
    time.advance(1s);
    BOOST_TEST(countNodesWith("node-0", 1) >= kNodes * 0.97);
    BOOST_TEST(network.messages <= kNodes * 6);
    network.messages = 0;
    for (int i = 1; i <= 40; ++i) {
        nodes[static_cast<std::size_t>(i)]->directory.updateSelf(instance, {}, false);
    }
    time.advance(1500ms);
    for (int i = 1; i <= 40; ++i) {
        BOOST_TEST(countNodesWith("node-" + std::to_string(i), 1) >= kNodes * 0.9);
    }
    BOOST_TEST(network.messages <= kNodes * 16);
}

/// Guards against nodes that never receive a record because the rumors of the record did not reach them.
BOOST_FIXTURE_TEST_CASE(exchanges_bring_what_rumors_have_missed, FleetFixture) {
    wire::InstanceRecord instance;
    instance.set_id("i1");
    nodes[0]->directory.updateSelf(instance, {}, false);
    for (const auto& node : nodes) {
        node->gossip.start();
    }
    time.advance(4s);
    BOOST_TEST(countNodesWith("node-0", 1) == kNodes);
}

/// Guards against a node that stays without the table because its first requests for the table get no response.
BOOST_FIXTURE_TEST_CASE(an_unresponsive_node_does_not_keep_the_table_from_others, FleetFixture) {
    for (int i = 0; i < 2; ++i) {
        starting.gossip.exchangeWith("node-" + std::to_string(i));  // Table requests without a response yet.
    }
    starting.gossip.onTableVersionSeen("node-5", 7);
    time.advance(10ms);
    BOOST_TEST(starting.table.version() == 7U);
}

BOOST_AUTO_TEST_CASE(a_response_of_another_node_does_not_confirm_the_expected_one) {
    Node other("other", time.clock, network);
    network.nodes["right:1"] = &other.gossip;
    bool has_response = true;
    left.gossip.probe("right", 300ms, [&](bool answered) { has_response = answered; });
    time.advance(100ms);
    BOOST_TEST(!has_response);
    BOOST_TEST(!fleet::NodeDirectory::isReachable(*left.directory.find("right")));
    BOOST_TEST(fleet::NodeDirectory::isReachable(*left.directory.find("other")));
    network.nodes["right:1"] = &right.gossip;
    left.gossip.probe("right", 300ms, [&](bool answered) { has_response = answered; });
    time.advance(100ms);
    BOOST_TEST(has_response);
    BOOST_TEST(fleet::NodeDirectory::isReachable(*left.directory.find("right")));
}

/// Guards against a node that stays reachable at an address that it has lost, in either order of arrival.
BOOST_AUTO_TEST_CASE(an_address_conflict_is_resolved_by_a_probe) {
    Node holder("holder", time.clock, network);
    network.nodes["shared:1"] = &holder.gossip;
    for (const bool is_first : {true, false}) {
        Node asker(is_first ? "asker-1" : "asker-2", time.clock, network);
        for (const char* name : {is_first ? "holder" : "former", is_first ? "former" : "holder"}) {
            auto record = recordOf(name);
            record.set_address("shared:1");
            asker.directory.merge(record);
        }
        time.advance(100ms);
        BOOST_TEST(fleet::NodeDirectory::isReachable(*asker.directory.find("holder")));
        BOOST_TEST(!fleet::NodeDirectory::isReachable(*asker.directory.find("former")));
    }
}

/// Guards against a restarted node that does not learn what its earlier process has acknowledged to its instance,
/// whichever side makes the first contact.
BOOST_AUTO_TEST_CASE(a_restarted_node_is_told_of_its_former_leaves) {
    for (const bool is_asking : {true, false}) {
        const std::string name = is_asking ? "asking" : "asked";
        auto former = recordOf(name);
        former.add_leaves()->set_id("i1");
        right.directory.merge(former);
        Node restarted(name, time.clock, network);
        auto present = recordOf(name);
        present.set_incarnation(2);
        restarted.directory.merge(present);  // Raises its incarnation, as the later clock of a restarted process does.
        std::vector<std::string> recovered;
        restarted.gossip.signalLeavesRecovered().connect([&](const std::vector<wire::InstanceLeave>& leaves) {
            for (const auto& leave : leaves) {
                recovered.push_back(leave.id());
            }
        });
        if (is_asking) {
            restarted.gossip.contact("right:1", [](bool) {});
        } else {
            right.gossip.probe(name, 300ms, [](bool) {});
        }
        time.advance(20ms);
        BOOST_REQUIRE(!recovered.empty());
        BOOST_TEST(recovered.front() == "i1");
        network.nodes.erase(name + ":1");
    }
}

/// Guards against an acknowledgement that only the acknowledging process knows of.
BOOST_FIXTURE_TEST_CASE(copies_of_the_own_record_are_awaited, FleetFixture) {
    auto& node = *nodes[0];
    wire::InstanceLeave leave;
    leave.set_id("i1");
    node.directory.updateSelf({}, {leave}, false);
    int copies = -1;
    node.gossip.awaitCopies(2, 400ms, [&] { copies = countNodesWith("node-0", 1) - 1; });
    time.advance(20ms);
    BOOST_TEST(copies >= 2);
}

BOOST_AUTO_TEST_CASE(copies_are_not_awaited_beyond_the_limit_or_from_nobody) {
    Node alone("alone", time.clock, network);
    int done = 0;
    alone.gossip.awaitCopies(2, 400ms, [&] { ++done; });
    BOOST_TEST(done == 1);
    network.nodes.erase("right:1");
    left.gossip.awaitCopies(1, 400ms, [&] { ++done; });
    time.advance(399ms);
    BOOST_TEST(done == 1);
    time.advance(2ms);
    BOOST_TEST(done == 2);
}

/// Guards against a table age that is derived from a request, since a request may have been delayed for any time.
BOOST_AUTO_TEST_CASE(only_responses_report_the_table_age) {
    right.lease.onRead(time.clock.now());
    time.advance(1s);
    right.gossip.exchangeWith("left");
    time.advance(100ms);
    BOOST_TEST(!left.lease.age(time.clock.now()).has_value());
    const auto asked = time.clock.now();
    left.gossip.exchangeWith("right");
    time.advance(100ms);
    const auto age = left.lease.age(time.clock.now());
    BOOST_TEST(age.has_value());
    BOOST_TEST((age && *age >= time.clock.now() - asked + 1s));
}

BOOST_AUTO_TEST_SUITE_END()
