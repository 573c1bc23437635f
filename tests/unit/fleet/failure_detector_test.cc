#include "src/fleet/failure_detector.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

constexpr Duration kRoundTrip = 1ms;

/// Responds to gossip after kRoundTrip; while `responds` is false, requests time out.
class ScriptedNodes : public HttpTransport {
public:
    explicit ScriptedNodes(Clock& clock) : clock_(clock) {}
    AttemptHandle send(const std::string&, HttpRequest, Duration timeout, Callback callback) override {
        ++sent;
        AttemptResult result;
        result.outcome = responds ? AttemptOutcome::kResponded : AttemptOutcome::kUnknown;
        result.response.status = 200;
        wire::Gossip response;
        response.set_sender("a");  // The sender must be the expected node.
        result.response.body = response.SerializeAsString();
        auto attempt = std::make_unique<Running>();
        attempt->timer = clock_.startTimer(responds ? kRoundTrip : timeout,
                                           [result, callback = std::move(callback)] { callback(result); });
        return attempt;
    }
    bool responds = true;
    int sent = 0;

private:
    struct Running : Attempt {
        TimerHandle timer;
    };
    Clock& clock_;
};

wire::NodeRecord recordOf(const std::string& name, std::uint64_t incarnation) {
    wire::NodeRecord record;
    record.set_name(name);
    record.set_incarnation(incarnation);
    record.set_address(name + ":1");
    return record;
}

struct DetectorFixture {
    DetectorFixture() {
        directory.merge(recordOf("a", 1));
        detector.signalUnresponsive().connect([this](const std::string& name) { unresponsive.push_back(name); });
    }
    [[nodiscard]] bool isSuspected() const { return fleet::NodeDirectory::isSuspected(*directory.find("a")); }

    tests::VirtualTime time;
    adapters::SeededRandom random{1};
    tests::RecordingLog log;
    ScriptedNodes nodes{time.clock};
    policy::RouteTable table;
    policy::TableLease lease{{}};
    fleet::NodeDirectory directory{time.clock, recordOf("self", 1)};
    fleet::Gossip gossip{time.clock, random, log, nodes, directory, table, lease, {}};
    fleet::FailureDetector detector{time.clock, directory, gossip, {}};
    std::vector<std::string> unresponsive;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_fleet_failure_detector, DetectorFixture)

BOOST_AUTO_TEST_CASE(a_node_that_responds_is_not_probed) {
    detector.onCallSent("a");
    for (int response = 0; response < 10; ++response) {
        time.advance(200ms);
        directory.onReached("a");
    }
    detector.onCallEnded("a");
    time.advance(10s);
    BOOST_TEST(nodes.sent == 0);
    BOOST_TEST(unresponsive.empty());
}

BOOST_AUTO_TEST_CASE(a_quiet_node_that_responds_to_its_probe_is_not_suspected) {
    detector.onCallSent("a");
    time.advance(1s);
    BOOST_TEST(nodes.sent >= 2);
    BOOST_TEST(nodes.sent <= 4);
    BOOST_TEST(!isSuspected());
    BOOST_TEST(unresponsive.empty());
}

BOOST_AUTO_TEST_CASE(a_node_that_fails_its_probe_is_unresponsive_while_calls_are_in_flight) {
    nodes.responds = false;
    detector.onCallSent("a");
    time.advance(590ms);
    BOOST_TEST(unresponsive.empty());
    time.advance(20ms);
    BOOST_TEST(unresponsive == std::vector<std::string>{"a"}, boost::test_tools::per_element());
    BOOST_TEST(isSuspected());
}

BOOST_AUTO_TEST_CASE(a_suspected_node_is_probed_ever_less_often_until_it_responds) {
    nodes.responds = false;
    directory.onUnreachable("a");
    time.advance(20s);
    BOOST_TEST(isSuspected());
    BOOST_TEST(nodes.sent >= 8);
    BOOST_TEST(nodes.sent <= 13);
    BOOST_TEST(unresponsive.empty());  // No call is in flight.
    nodes.responds = true;
    time.advance(2500ms);
    BOOST_TEST(!isSuspected());
    const int sent = nodes.sent;
    time.advance(10s);
    BOOST_TEST(nodes.sent == sent);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_is_not_suspected) {
    nodes.responds = false;
    directory.onUnreachable("a");
    directory.merge(recordOf("a", 2));
    BOOST_TEST(!isSuspected());
    time.advance(5s);
    BOOST_TEST(nodes.sent == 0);
}

BOOST_AUTO_TEST_SUITE_END()
