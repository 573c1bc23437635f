/// @file
/// Tests of the platform's formats: configuration documents, store requests and instance requests.

#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/config_document.h"
#include "platform/instance_requests.h"
#include "platform/object_store.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

const char* const kDocument = R"({"Version":"0000001f","Routes":{
  "r1":{"Host":"a.example","PathPrefix":"/x/","Kind":"unsafe","TimeoutMs":1200,"TargetLatencyMs":1500,"Priority":0,
        "Service":"s1","MaxAttempts":2},
  "r2":{"Host":"a.example","PathPrefix":"/y/","Kind":"download","TimeoutMs":900,"TargetLatencyMs":400,"Priority":2,
        "TrafficSplit":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],"MaxAttempts":1,"New":true}},
  "Services":{"s1":{"HealthPath":"/health","MaxConnections":364}},
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

/// Records requests; a test completes the pending requests in order.
class ScriptedHttp : public HttpTransport {
public:
    struct SentRequest {
        std::string request_line;
        std::string body;
    };
    AttemptHandle send(const std::string&, HttpRequest request, Duration, Callback callback) override {
        sent.push_back({request.method + " " + request.path, request.body});
        pending.push_back(std::move(callback));
        return std::make_unique<Attempt>();
    }
    /// Completes the oldest pending request with a response.
    void respond(int status, const std::string& body) {
        HttpResponse response;
        response.status = status;
        response.body = body;
        const auto callback = std::move(pending.front());
        pending.erase(pending.begin());
        callback({AttemptOutcome::kResponded, response, ""});
    }
    /// Completes the oldest pending request without a response.
    void timeOut() {
        const auto callback = std::move(pending.front());
        pending.erase(pending.begin());
        callback({AttemptOutcome::kUnknown, {}, "timeout"});
    }
    std::vector<SentRequest> sent;
    std::vector<Callback> pending;
};

struct StoreFixture {
    tests::VirtualTime time;
    ScriptedHttp http;
    platform::ObjectStore store{http, time.clock, "10.0.0.1:1"};
};

class RecordingListener : public InstanceListener {
public:
    bool onHeartbeat(const instance::Heartbeat& heartbeat) override {
        heartbeats.push_back(heartbeat);
        return heartbeat.service != "elsewhere";
    }
    void onInstanceLeave(const std::string& id, std::uint64_t start_ms) override {
        left_ids.push_back(id);
        left_start_times.push_back(start_ms);
    }
    std::string heartbeatAddress() override { return heartbeat_address; }
    std::vector<instance::Heartbeat> heartbeats;
    std::vector<std::string> left_ids;
    std::vector<std::uint64_t> left_start_times;
    std::string heartbeat_address;
};

HttpRequest post(const std::string& path, const std::string& body) {
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    return request;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_platform)

BOOST_AUTO_TEST_CASE(the_response_to_a_heartbeat_names_the_address_for_further_ones) {
    const auto request = post("/dewcrank/Instances.Heartbeat/i1",
                              R"({"Address":"a:1","Info":{"Service":"s","Version":"v","Zone":"z","Slots":1},)"
                              R"("Status":{"State":"ready","CallSeq":1,"ColdLeftMs":0}})");
    RecordingListener listener;
    platform::InstanceRequests requests;
    BOOST_TEST(requests.handle(request, listener).body == "{}");
    listener.heartbeat_address = "10.0.0.1:7620";
    BOOST_TEST(requests.handle(request, listener).body == R"({"BeatAddr":"10.0.0.1:7620"})");
}

BOOST_AUTO_TEST_CASE(a_configuration_becomes_a_table) {
    const auto table = platform::readConfigDocument(nlohmann::json::parse(kDocument));
    BOOST_TEST(table.version() == 0x1fU);
    BOOST_TEST(table.routes_size() == 2);
    BOOST_TEST(!table.routes(0).is_repeatable());
    BOOST_TEST(table.routes(0).parts(0).service() == "s1");
    BOOST_TEST(table.routes(1).is_repeatable());
    BOOST_TEST(table.routes(1).parts(1).weight() == 10U);
    BOOST_TEST(table.limits().idle_timeout_ms() == 15000U);
}

/// Guards against a request of an unknown kind that is run again after a failure.
BOOST_AUTO_TEST_CASE(only_safe_requests_and_downloads_are_repeatable) {
    for (const auto& [kind, is_repeatable] : std::vector<std::pair<std::string, bool>>{
             {"safe", true}, {"download", true}, {"unsafe", false}, {"new", false}}) {
        auto document = nlohmann::json::parse(kDocument);
        document["Routes"]["r1"]["Kind"] = kind;
        const auto table = platform::readConfigDocument(document);
        BOOST_TEST(table.routes(0).is_repeatable() == is_repeatable, kind);
        const auto written = platform::writeConfigDocument(table, document);
        BOOST_TEST(written["Routes"]["r1"]["Kind"] == kind);
    }
}

BOOST_AUTO_TEST_CASE(tenants_of_a_configuration_are_read_and_written_back) {
    auto document = nlohmann::json::parse(kDocument);
    document["Tenants"] = nlohmann::json::parse(
        R"({"a":{"ApiKeys":["k1","k2"],"Priority":0,"RatePerS":20,"Burst":25,"Else":1},"b":{"ApiKeys":["k3"]}})");
    document["Routes"].begin().value()["Anonymous"] = true;
    const auto table = platform::readConfigDocument(document);
    BOOST_TEST(table.routes(0).is_open());
    BOOST_TEST(!table.routes(1).is_open());
    BOOST_TEST(table.tenants_size() == 2);
    BOOST_TEST(table.tenants(0).keys(1) == "k2");
    BOOST_TEST(table.tenants(0).has_priority());
    BOOST_TEST(table.tenants(0).burst() == 25);
    BOOST_TEST(!table.tenants(1).has_priority());
    BOOST_TEST(table.tenants(1).rate_per_s() == 0);
    auto changed = table;
    changed.mutable_tenants(0)->add_keys("k4");
    const auto written = platform::writeConfigDocument(changed, document);
    BOOST_TEST(written["Tenants"]["a"].dump() ==
               R"({"ApiKeys":["k1","k2","k4"],"Burst":25,"Else":1,"Priority":0,"RatePerS":20})");
    BOOST_TEST(platform::readConfigDocument(written).SerializeAsString() == changed.SerializeAsString());
}

BOOST_FIXTURE_TEST_CASE(leases_are_written_under_their_revision, StoreFixture) {
    std::optional<std::vector<LeaseRecord>> leases;
    store.readLeases([&](std::optional<std::vector<LeaseRecord>> read) { leases = std::move(read); });
    http.respond(200,
                 R"({"items":[{"Metadata":{"Name":"shard-1","Revision":7},"Spec":{"Holder":"n1","Incarnation":3}}],
                         "More":false,"At":9})");
    BOOST_TEST(leases->at(0).name == "shard-1");
    BOOST_TEST(leases->at(0).holder == "n1");
    BOOST_TEST(leases->at(0).incarnation == 3U);
    BOOST_TEST(leases->at(0).revision == 7U);
    int done = 0;
    store.putLease(leases->at(0), [&](bool is_done) { done += is_done ? 1 : 0; });
    BOOST_TEST(http.sent.back().request_line.starts_with("PUT "));
    http.respond(409, "{}");
    store.putLease({"shard-2", "n1", 3, 0}, [&](bool is_done) { done += is_done ? 1 : 0; });
    BOOST_TEST(http.sent.back().request_line.starts_with("POST "));
    http.respond(200, "{}");
    BOOST_TEST(done == 1);
    store.readLeases([&](std::optional<std::vector<LeaseRecord>> read) { leases = std::move(read); });
    http.respond(200, R"({"items":[{"Metadata":{}}]})");  // A malformed entry is skipped.
    BOOST_REQUIRE(leases.has_value());
    BOOST_TEST(leases->empty());
    store.readLeases([&](std::optional<std::vector<LeaseRecord>> read) { leases = std::move(read); });
    http.respond(200, R"({"things":[]})");
    BOOST_TEST(!leases.has_value());
}

BOOST_FIXTURE_TEST_CASE(the_table_is_read_then_watched, StoreFixture) {
    std::optional<TableRead> read;
    const auto on_read = [&](std::optional<TableRead> result) { read = std::move(result); };
    store.readTable(on_read);
    http.respond(200, R"({"items":[{"Metadata":{"Name":"main","Revision":4},"Spec":)" + std::string(kDocument) +
                          R"(}],"More":false,"At":12})");
    BOOST_TEST(read->revision == 12U);
    BOOST_TEST(read->table->version() == 0x1fU);
    store.watchTable(12, 25s, on_read);
    BOOST_TEST(http.sent.back().request_line.find("?Watch=12&WaitMs=25000") != std::string::npos);
    http.respond(200, R"({"events":[],"At":15})");
    BOOST_TEST(read->revision == 15U);
    BOOST_TEST(!read->table.has_value());
    store.watchTable(15, 25s, on_read);
    http.respond(410, "");
    BOOST_TEST(read->revision == 0U);
}

BOOST_FIXTURE_TEST_CASE(rejections_timeouts_and_malformed_responses_yield_nothing, StoreFixture) {
    const char* const bodies[] = {"", "{", "[]", R"({"items":[{}],"At":1})", R"({"items":3,"At":"x"})"};
    for (const auto* body : bodies) {
        bool is_called = false;
        store.readTable([&](const std::optional<TableRead>& read) {
            is_called = true;
            BOOST_TEST(!read.has_value(), body);
        });
        http.respond(200, body);
        BOOST_TEST(is_called);
    }
    for (const int status : {429, 503, 404}) {
        store.readTable([&](const std::optional<TableRead>& read) { BOOST_TEST(!read.has_value()); });
        http.respond(status, "{}");
    }
    store.listNodes(Freshness::kNewest,
                    [](const std::optional<std::vector<NodeAddress>>& nodes) { BOOST_TEST(!nodes.has_value()); });
    http.timeOut();
}

BOOST_FIXTURE_TEST_CASE(announcing_a_node_is_idempotent, StoreFixture) {
    const NodeAddress node{"n1", "z", "10.0.0.2:5"};
    int done = 0;
    const auto count = [&](bool is_done) { done += is_done ? 1 : 0; };
    store.announce(node, count);
    http.respond(200, "{}");
    store.announce(node, count);
    http.respond(409, R"({"Metadata":{"Name":"n1","Revision":3},"Spec":{"Zone":"z","Address":"10.0.0.2:5"}})");
    BOOST_TEST(done == 2);
    BOOST_TEST(http.pending.empty());  // The store holds the same entry: no PUT.
    store.announce(node, count);
    http.respond(409, R"({"Metadata":{"Name":"n1","Revision":3},"Spec":{"Zone":"z","Address":"10.0.0.9:5"}})");
    BOOST_TEST(http.sent.back().request_line.starts_with("PUT "));
    BOOST_TEST(http.sent.back().body.find("\"Revision\":3") != std::string::npos);
    http.respond(200, "{}");
    BOOST_TEST(done == 3);
}

BOOST_FIXTURE_TEST_CASE(a_list_of_several_pages_is_read_whole, StoreFixture) {
    std::size_t count = 0;
    store.listNodes(Freshness::kNewest,
                    [&](const std::optional<std::vector<NodeAddress>>& nodes) { count = nodes->size(); });
    http.respond(200, R"({"items":[{"Metadata":{"Name":"a"},"Spec":{"Address":"1.1.1.1:1"}}],"More":true,"At":1})");
    BOOST_TEST(http.sent.back().request_line.ends_with("?after=a"));
    http.respond(200, R"({"items":[{"Metadata":{"Name":"b"},"Spec":{"Address":"1.1.1.2:1"}}],"More":false,"At":1})");
    BOOST_TEST(count == 2U);
}

BOOST_AUTO_TEST_CASE(heartbeats_and_leaving_are_translated_and_bad_ones_refused) {
    platform::InstanceRequests requests;
    RecordingListener listener;
    const std::string body = R"({"Address":"1.1.1.1:1","Info":{"Service":"s","Version":"v1","Zone":"z","Slots":44},)"
                             R"("Status":{"State":"draining","CallSeq":4,"ColdLeftMs":150}})";
    BOOST_TEST(requests.handle(post("/dewcrank/Instances.Heartbeat/i-1", body), listener).status == 200);
    BOOST_REQUIRE(listener.heartbeats.size() == 1U);
    BOOST_TEST(listener.heartbeats[0].id == "i-1");
    BOOST_TEST(listener.heartbeats[0].is_draining);
    BOOST_TEST((listener.heartbeats[0].cold_left == 150ms));
    BOOST_TEST(requests.handle(post("/dewcrank/Instances.Leave/i-1", ""), listener).status == 200);
    BOOST_TEST(listener.left_ids.size() == 1U);
    BOOST_TEST(requests.handle(post("/dewcrank/Instances.Heartbeat/i-1", "{"), listener).status == 400);
    BOOST_TEST(requests.handle(post("/dewcrank/Instances.Heartbeat/i-1", "{}"), listener).status == 400);
    BOOST_TEST(requests.handle(post("/other", ""), listener).status == 404);
    BOOST_TEST(listener.heartbeats.size() == 1U);
}

/// Guards against invalid fields that reach the listener, and against errors that do not name the invalid field.
BOOST_AUTO_TEST_CASE(heartbeats_of_other_writers_are_refused_by_the_name_of_the_field) {
    using Json = nlohmann::json;
    const Json valid = {{"Address", "1.1.1.1:1"},
                        {"born", 1'700'000'000'123ULL},
                        {"Info", {{"Service", "s"}, {"Version", "v1"}, {"Zone", "z"}, {"Slots", 44}}},
                        {"Status", {{"State", "ready"}, {"CallSeq", 4}, {"ColdLeftMs", 150}}}};
    const std::vector<std::pair<std::string, std::vector<Json>>> fields = {
        {"/Address", {1, nullptr, Json::array()}},
        {"/born", {"1700000000123", 1.5, -1, nullptr, Json::object(), true}},
        {"/Info", {nullptr, "x", Json::array()}},
        {"/Info/Service", {1, nullptr, "", "elsewhere"}},
        {"/Info/Version", {1, nullptr}},
        {"/Info/Zone", {1, nullptr}},
        {"/Info/Slots", {-1, 1.5, "44", nullptr, true, 0, 4'000'000'000ULL, 1e300}},
        {"/Status", {nullptr, 3}},
        {"/Status/State", {"asleep", "", "Ready", 1, nullptr}},
        {"/Status/CallSeq", {-1, 0.5, "4", nullptr, false, 1e300}},
        {"/Status/ColdLeftMs", {"0", nullptr, Json::object(), -1}},
    };
    platform::InstanceRequests requests;
    RecordingListener listener;
    const auto send_heartbeat = [&](const Json& body) {
        return requests.handle(post("/dewcrank/Instances.Heartbeat/i-1", body.dump()), listener);
    };
    BOOST_TEST(send_heartbeat(valid).status == 200);
    BOOST_TEST(listener.heartbeats.at(0).start_ms == 1'700'000'000'123U);
    const auto check_rejected = [&](const std::string& field, const Json& body) {
        const auto response = send_heartbeat(body);
        const auto name = field.substr(field.rfind('/') + 1);
        BOOST_TEST_CONTEXT(body.dump() << " -> " << response.body) {
            BOOST_TEST(response.status == 400);
            BOOST_TEST(response.body.find(name) != std::string::npos);
        }
    };
    for (const auto& [field, values] : fields) {
        const Json::json_pointer pointer(field);
        for (const auto& value : values) {
            auto body = valid;
            body[pointer] = value;
            check_rejected(field, body);
        }
        if (field != "/born") {  // Optional.
            auto body = valid;
            body[pointer.parent_pointer()].erase(pointer.back());
            check_rejected(field, body);
        }
    }
    BOOST_TEST(requests.handle(post("/dewcrank/Instances.Heartbeat/", valid.dump()), listener).status == 400);
    // Guards against an id that makes this node's record unreadable for other nodes.
    const auto unreadable = requests.handle(post("/dewcrank/Instances.Heartbeat/i-\xff\xfe", valid.dump()), listener);
    BOOST_TEST(unreadable.status == 400);
    BOOST_TEST(unreadable.body.find("id: a text in UTF-8") != std::string::npos, unreadable.body);
    BOOST_TEST(requests.handle(post("/dewcrank/Instances.Leave/i-\xff\xfe", "{}"), listener).status == 400);
}

BOOST_AUTO_TEST_CASE(a_leave_request_names_the_incarnation) {
    platform::InstanceRequests requests;
    RecordingListener listener;
    const auto leave = [&](const std::string& body) {
        return requests.handle(post("/dewcrank/Instances.Leave/i-1", body), listener).status;
    };
    BOOST_TEST(leave("") == 200);
    BOOST_TEST(leave("{}") == 200);
    BOOST_TEST(leave(R"({"born":17})") == 200);
    const std::vector<std::uint64_t> expected{0, 0, 17};
    BOOST_TEST(listener.left_start_times == expected, boost::test_tools::per_element());
    for (const char* body : {R"({"born":"17"})", R"({"born":1.5})", R"({"born":-1})", "[]", "{", "\xff"}) {
        BOOST_TEST(leave(body) == 400, body);
    }
    BOOST_TEST(listener.left_ids.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(one_bad_entry_of_a_list_leaves_the_others, StoreFixture) {
    std::optional<std::vector<NodeAddress>> nodes;
    store.listNodes(Freshness::kNewest, [&](const std::optional<std::vector<NodeAddress>>& read) { nodes = read; });
    http.respond(200, R"({"items":[3,{},{"Metadata":{"Name":7},"Spec":{"Address":"1.1.1.1:1"}},)"
                      R"({"Metadata":{"Name":"a"},"Spec":{"Zone":"z","Address":"1.1.1.1:1"}},)"
                      R"({"Metadata":{"Name":"b"},"Spec":{"Zone":4,"Address":"1.1.1.2:1"}},)"
                      R"({"Metadata":{"Name":"c"},"Spec":{"Zone":"z","Address":"nowhere"}},)"
                      R"({"Metadata":{"Name":"d"},"Spec":"x"},null],"More":false,"At":1})");
    BOOST_REQUIRE(nodes.has_value());
    BOOST_REQUIRE(nodes->size() == 1U);
    BOOST_TEST(nodes->front().name == "a");
    std::optional<TableRead> table;
    store.readTable([&](std::optional<TableRead> read) { table = std::move(read); });
    http.respond(200, R"({"items":[3,{"Metadata":{"Name":"other"},"Spec":1},{"Metadata":{"Name":"main","Revision":4},)"
                      R"("Spec":)" +
                          std::string(kDocument) + R"(}],"More":false,"At":12})");
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table->table->version() == 0x1fU);
    std::optional<std::vector<LeaseRecord>> leases;
    store.readLeases([&](std::optional<std::vector<LeaseRecord>> read) { leases = std::move(read); });
    http.respond(200, R"({"items":[7,{"Metadata":{"Name":"shard-1","Revision":4},"Spec":{"Holder":3}},)"
                      R"({"Metadata":{"Name":"shard-2","Revision":9},"Spec":{"Holder":"n1","Incarnation":3}}]})");
    BOOST_REQUIRE(leases.has_value());
    BOOST_REQUIRE(leases->size() == 2U);
    BOOST_TEST(leases->at(0).holder.empty());  // Malformed, so the lease is free.
    BOOST_TEST(leases->at(0).revision == 4U);
    BOOST_TEST(leases->at(1).holder == "n1");
}

BOOST_AUTO_TEST_SUITE_END()
