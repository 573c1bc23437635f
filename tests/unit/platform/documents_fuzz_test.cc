/// @file
/// Fuzz tests of the parsers of untrusted input: malformed documents and messages must be rejected, without a crash.

#include <google/protobuf/stubs/logging.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "platform/config_document.h"
#include "platform/instance_requests.h"
#include "src/fleet/gossip.h"
#include "tests/support/fakes.h"
#include "tests/support/mutation.h"

using namespace dewcrank;

namespace {

constexpr int kRounds = 5000;
const std::vector<std::string> kFragments = {"\"", "{", "}", "[", "]", ",", ":", "null", "-1", "1e999", "\"\"", "true"};

struct CountingListener : InstanceListener {
    bool onHeartbeat(const instance::Heartbeat&) override {
        ++heartbeats;
        return true;
    }
    void onInstanceLeave(const std::string&, std::uint64_t) override {}
    std::string heartbeatAddress() override { return ""; }
    int heartbeats = 0;
};

class UnresponsiveTransport : public HttpTransport {
public:
    AttemptHandle send(const std::string&, HttpRequest, Duration, Callback) override {
        return std::make_unique<Attempt>();
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_platform_documents_fuzz)

BOOST_AUTO_TEST_CASE(a_mutated_configuration_is_read_or_refused) {
    const std::string document =
        R"({"Version":"0000000c","Routes":{"r":{"Host":"h","PathPrefix":"/a/","Kind":"safe","Service":"s",)"
        R"("TimeoutMs":500,"MaxAttempts":2,"Priority":1}},"Services":{"s":{"HealthPath":"/h","MaxConnections":9}},)"
        R"("Limits":{"MaxHeaderBytes":100}})";
    tests::Mutator mutator(1, kFragments);
    int rejected = 0;
    for (int round = 0; round < kRounds; ++round) {
        try {
            platform::readConfigDocument(nlohmann::json::parse(mutator.mutated(document)));
        } catch (const nlohmann::json::exception&) {
            ++rejected;
        } catch (const std::logic_error&) {
            ++rejected;
        }
    }
    BOOST_TEST(rejected > 0);
    BOOST_TEST(rejected < kRounds);
}

BOOST_AUTO_TEST_CASE(a_mutated_heartbeat_is_acknowledged_or_refused) {
    const std::string body = R"({"Address":"1.2.3.4:5","Info":{"Service":"s","Version":"v","Zone":"z","Slots":14},)"
                             R"("Status":{"State":"ready","CallSeq":4,"ColdLeftMs":0}})";
    tests::Mutator mutator(2, kFragments);
    platform::InstanceRequests requests;
    CountingListener listener;
    int acknowledged = 0;
    for (int round = 0; round < kRounds; ++round) {
        HttpRequest request;
        request.method = "POST";
        request.path = "/dewcrank/Instances.Heartbeat/i-1";
        request.body = mutator.mutated(body);
        const auto response = requests.handle(request, listener);
        BOOST_REQUIRE(response.status == 200 || response.status == 400);
        acknowledged += response.status == 200 ? 1 : 0;
    }
    BOOST_TEST(acknowledged == listener.heartbeats);
    BOOST_TEST(acknowledged > 0);
}

BOOST_AUTO_TEST_CASE(a_mutated_message_of_a_node_gets_a_response_or_is_refused) {
    google::protobuf::SetLogHandler(nullptr);
    tests::VirtualTime time;
    adapters::SeededRandom random(1);
    tests::RecordingLog log;
    UnresponsiveTransport transport;
    policy::RouteTable table;
    policy::TableLease lease{{}};
    wire::NodeRecord self;
    self.set_name("self");
    fleet::NodeDirectory directory(time.clock, self);
    fleet::Gossip gossip(time.clock, random, log, transport, directory, table, lease, {});
    wire::Gossip message;
    message.set_sender("other");
    message.set_sender_address("1.2.3.4:5");
    message.set_table_version(3);
    message.add_records()->set_name("third");
    message.add_digest()->set_name("fourth");
    tests::Mutator mutator(3, {"\x0a", "\x12\x05", "\xff\xff", "self", "other"});
    for (int round = 0; round < kRounds; ++round) {
        HttpRequest request;
        request.body = mutator.mutated(message.SerializeAsString());
        const auto response = gossip.handle(request);
        BOOST_REQUIRE(response.status == 200 || response.status == 400);
    }
    BOOST_TEST(directory.self().name() == "self");
}

BOOST_AUTO_TEST_SUITE_END()
