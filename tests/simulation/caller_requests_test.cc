/// Requests of callers reach the instance of their route whatever their path, method and body are: no node takes one
/// for a message of another node.

#include <boost/test/unit_test.hpp>
#include <string>

#include "sim/sidecar_fleet.h"
#include "src/relay/relay_wire.h"
#include "tests/support/fleets.h"

using namespace dewcrank;

namespace {

constexpr std::size_t kHost = 0;   ///< Machine with an instance of "browse".
constexpr std::size_t kEntry = 3;  ///< Machine without one, so that requests for it are relayed.
constexpr std::uint64_t kPrice = 149900;

const std::string kMessagePaths[] = {fleet::kGossipPath.data(), quarantine::kExchangePath.data(),
                                     quota::kQuotaPath.data()};

/// Fleet with a route for the prefix of the nodes' own paths.
struct CallerFixture {
    CallerFixture() {
        fleet.setExtraRoutes({{"/fleet/", "browse"}});
        version = fleet.putTable("browse", "desk", "leaf");
        fleet.runFor(4s);
    }
    void expectNoViolations() {
        for (const auto& violation : fleet.violations()) {
            BOOST_TEST(false, violation.invariant << ": " << violation.detail);
        }
    }
    sim::SidecarFleet fleet{1, tests::callingServices()};
    std::uint64_t version = 0;
};

/// A caller's request as an entry relays it.
HttpRequest relayed(sim::SidecarFleet& fleet, const std::string& path, const std::string& body) {
    relay::RelayRequest call;
    call.request.method = "POST";
    call.request.path = path;
    call.request.headers.set(HeaderNames{}.request_id, "r-" + path);
    call.request.body = body;
    call.instance = fleet.instance(kHost).id();
    call.route = "/fleet/";
    call.deadline = fleet.queue().now() + 1s;
    call.max_wait = 500ms;
    return relay::toHttp(std::move(call), {"m3", fleet.node(kHost)->table().version()}, fleet.queue().now());
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(simulation_caller_requests, CallerFixture)

/// Guards against requests that are lost, since the relay takes them for messages by their path.
BOOST_AUTO_TEST_CASE(requests_on_the_paths_of_messages_are_run) {
    std::size_t sent = 0;
    for (std::string path : kMessagePaths) {
        for (const char* suffix : {"", "?x=1", "/", "/%2e"}) {
            for (const bool is_get : {true, false}) {
                fleet.send(kEntry, path + suffix, is_get);
                ++sent;
            }
        }
    }
    fleet.runFor(3s);
    BOOST_TEST(fleet.countResponses(200) == sent);
    expectNoViolations();
}

/// Guards against a caller's body that takes effect as a message: here one that would replace the table of all nodes
///.
BOOST_AUTO_TEST_CASE(a_body_that_reads_as_a_message_is_only_a_body) {
    wire::Gossip body;
    body.set_sender("booking-17");
    body.set_sender_address("Recife");
    body.mutable_table()->set_version(kPrice);
    body.set_store_era(kPrice);
    for (const auto& path : kMessagePaths) {
        int status = 0;
        fleet.node(kHost)->handleNodeRequest(
            relayed(fleet, path, body.SerializeAsString()),
            [&](const HttpResponse& response) { status = relay::fromHttp(response).result.response.status; });
        fleet.runFor(2s);
        BOOST_TEST(status == 200, path);
    }
    for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
        BOOST_TEST(fleet.node(machine)->table().version() == version);
        BOOST_TEST(fleet.node(machine)->table().newestSeen() == version);
        BOOST_TEST(fleet.node(machine)->storeEra() < kPrice);
        BOOST_TEST((fleet.node(machine)->directory().find("booking-17") == nullptr));
    }
}

/// Guards against relayed calls at the port of the heartbeats, where only messages are expected.
BOOST_AUTO_TEST_CASE(a_message_handler_runs_no_call) {
    const auto runs = fleet.runs().size();
    const auto response = fleet.node(kHost)->handleMessage(relayed(fleet, "/fleet/x", ""));
    fleet.runFor(1s);
    BOOST_TEST(response.status == 404);
    BOOST_TEST(fleet.runs().size() == runs);
}

BOOST_AUTO_TEST_SUITE_END()
