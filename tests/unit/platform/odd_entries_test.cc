/// Odd entries of other writers in the store: they cost a node neither the other entries nor its process.

#include <boost/test/unit_test.hpp>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "platform/config_store.h"
#include "platform/instance_requests.h"
#include "platform/object_store.h"
#include "src/adapters/json_list.h"
#include "tests/support/fakes.h"
#include "tests/support/mutation.h"

using namespace dewcrank;

namespace {

/// Responds to each request with the same text.
class ConstantHttp : public HttpTransport {
public:
    AttemptHandle send(const std::string&, HttpRequest request, Duration, Callback callback) override {
        paths.push_back(request.method + " " + request.path);
        pending.push_back(std::move(callback));
        return std::make_unique<Attempt>();
    }
    /// Responds to all requests, and to those that follow from the responses.
    void respondToAll(int status, const std::string& body) {
        while (!pending.empty()) {
            respond(status, body);
        }
    }
    /// Responds to the oldest request.
    void respond(int status, const std::string& body) {
        HttpResponse response;
        response.status = status;
        response.body = body;
        const auto callback = std::move(pending.front());
        pending.erase(pending.begin());
        callback({AttemptOutcome::kResponded, response, ""});
    }
    std::vector<std::string> paths;

private:
    std::vector<Callback> pending;
};

struct OddEntriesFixture {
    /// @return the names of the nodes that are listed; "none" if the list could not be read.
    std::string listed(const std::string& body) {
        std::string names = "none";
        store.listNodes(Freshness::kNewest, [&](const std::optional<std::vector<NodeAddress>>& nodes) {
            if (nodes) {
                names.clear();
                for (const auto& node : *nodes) {
                    names += node.name + " ";
                }
            }
        });
        http.respondToAll(200, body);
        return names;
    }
    tests::VirtualTime time;
    ConstantHttp http;
    platform::ObjectStore store{http, time.clock, "10.0.0.1:1"};
};

std::string nodeEntry(const std::string& name, const std::string& address) {
    return R"({"Metadata":{"Name":")" + name + R"(","Revision":1},"Spec":{"Zone":"z","Address":")" + address + "\"}}";
}

std::string listOf(const std::string& items) {
    return R"({"items":[)" + items + R"(],"More":false,"At":7})";
}

std::string nested(std::size_t depth, char open, char close) {
    return std::string(depth, open) + std::string(depth, close);
}

constexpr std::uint64_t kRevision = 12345;  ///< That no odd object has.
constexpr std::size_t kVeryDeep = 400'000;  ///< Levels that fit into an object of the store.

/// Values that another writer may have put where a number or an address is expected.
const std::vector<std::string> kOddValues = {"1e999",
                                             "-1e999",
                                             "1e300",
                                             "-1",
                                             "1.5",
                                             "99999999999999999999999999",
                                             "null",
                                             "true",
                                             "\"\"",
                                             "\"\xff\xfe\"",
                                             "{}",
                                             "[]",
                                             "\"x\"",
                                             "{\"Name\":{\"Name\":[]}}",
                                             nested(kVeryDeep, '[', ']')};

const std::string kTable =
    R"({"Version":"0000000c","Routes":{"r":{"Host":"h","PathPrefix":"/a/","Kind":"safe","Service":"s"}},)"
    R"("Services":{"s":{"HealthPath":"/h"}}})";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_platform_odd_entries, OddEntriesFixture)

/// Guards against a list of nodes that is lost whole, or a process that ends, for one entry that cannot be read.
BOOST_AUTO_TEST_CASE(an_odd_entry_leaves_the_other_nodes) {
    const auto sound = nodeEntry("a", "10.0.0.1:1");
    const auto behind = nodeEntry("b", "10.0.0.2:1");
    for (const auto& value : kOddValues) {
        for (const auto& odd :
             {value, "{\"Metadata\":" + value + "}", "{\"Metadata\":{\"Name\":\"x\"},\"Spec\":" + value + "}",
              "{\"Metadata\":{\"Name\":\"x\"},\"Spec\":{\"Address\":" + value + "}}",
              "{\"Metadata\":{\"Name\":\"x\"},\"Spec\":{\"Address\":\"10.0.0.3:0\",\"Zone\":" + value + "}}"}) {
            const auto before = store.skippedEntries();
            BOOST_TEST(listed(listOf(sound + "," + odd + "," + behind)) == "a b ", odd.substr(0, 80));
            BOOST_TEST(store.skippedEntries() == before + 1, odd.substr(0, 80));
        }
    }
    for (const char* address : {"10.0.0.3:0", "10.0.0.3:65536", "10.0.0.3:-1", "10.0.0.3: 1", "10.0.0.3:1 ", "host:1",
                                "10.0.0.3", ":1", "10.0.0.300:1"}) {
        BOOST_TEST(listed(listOf(sound + "," + nodeEntry("x", address) + "," + behind)) == "a b ", address);
    }
}

/// Guards against a list whose later pages are never read, since the entries at the end of the first one are no nodes.
BOOST_AUTO_TEST_CASE(a_page_that_ends_with_odd_entries_is_followed_by_the_next) {
    std::size_t count = 0;
    store.listNodes(Freshness::kNewest,
                    [&](const std::optional<std::vector<NodeAddress>>& nodes) { count = nodes ? nodes->size() : 0; });
    const auto odd = R"({"Metadata":{"Name":"odd"},"Spec":1},1e999)";
    http.respond(200, R"({"items":[)" + nodeEntry("a", "10.0.0.1:1") + "," + odd + R"(],"More":true,"At":7})");
    BOOST_TEST(http.paths.back() == "GET /dewcrank/objects/dewcrank-nodes?after=odd");
    http.respond(200, listOf(nodeEntry("z", "10.0.0.2:1")));
    BOOST_TEST(count == 2U);
}

/// Guards against a process that ends, or a node that is not listed for good, when its entry holds something else.
BOOST_AUTO_TEST_CASE(an_odd_entry_of_the_own_name_is_replaced_or_refused) {
    const NodeAddress self{"a", "z", "10.0.0.1:1"};
    for (const auto& value : kOddValues) {
        for (const auto& body :
             {value, "{\"Metadata\":" + value + "}", R"({"Metadata":{"Name":"a"},"Spec":)" + value + "}"}) {
            int calls = 0;
            store.announce(self, [&](bool) { ++calls; });
            http.respondToAll(409, body);
            BOOST_TEST(calls == 1, body.substr(0, 80));
        }
    }
    http.paths.clear();
    store.announce(self, [](bool) {});
    http.respondToAll(409, R"({"Metadata":{"Name":"a","Revision":3},"Spec":[1]})");
    BOOST_TEST(http.paths.back() == "PUT /dewcrank/objects/dewcrank-nodes/a");
}

/// Guards against a table or a lease that is read wrongly, or not at all, beside an odd object.
BOOST_AUTO_TEST_CASE(an_odd_object_leaves_the_table_and_the_leases) {
    for (const auto& value : kOddValues) {
        std::uint64_t version = 0;
        store.readTable([&](const std::optional<TableRead>& read) { version = read ? read->table->version() : 0; });
        http.respondToAll(200, listOf(value + R"(,{"Metadata":{"Name":"main","Revision":3},"Spec":)" + kTable + "}"));
        BOOST_TEST(version == 12U, value.substr(0, 80));

        std::size_t leases = 0;
        store.readLeases(
            [&](const std::optional<std::vector<LeaseRecord>>& read) { leases = read ? read->size() : 0; });
        http.respondToAll(
            200, listOf(R"({"Metadata":{"Name":"l","Revision":)" + value + "}}," + value +
                        R"(,{"Metadata":{"Name":"quota-0","Revision":3},"Spec":{"Holder":"a","Incarnation":1}})"));
        BOOST_TEST(leases == 1U, value.substr(0, 80));
    }
}

/// Guards against numbers of a table that read as others than those that stand there.
BOOST_AUTO_TEST_CASE(a_table_with_an_odd_number_is_refused) {
    const auto versionWith = [&](const std::string& from, const std::string& to) {
        auto text = kTable;
        text.replace(text.find(from), from.size(), to);
        std::uint64_t version = 0;
        store.readTable([&](const std::optional<TableRead>& read) { version = read ? read->table->version() : 0; });
        http.respondToAll(200, listOf(R"({"Metadata":{"Name":"main"},"Spec":)" + text + "}"));
        return version;
    };
    BOOST_TEST(versionWith("\"safe\"", "\"safe\",\"TimeoutMs\":500") == 12U);
    for (const char* number : {"-1", "1.5", "1e300", "4294967296", "1e999"}) {
        BOOST_TEST(versionWith("\"safe\"", std::string("\"safe\",\"TimeoutMs\":") + number) == 0U, number);
    }
    for (const char* version : {"\"-1\"", "\"0x1\"", "\" 1\"", "\"\"", "\"10000000000000000\"", "7"}) {
        BOOST_TEST(versionWith("\"0000000c\"", version) == 0U, version);
    }
}

/// Guards against a store's era that reads as the greatest of all, after which no other one counts.
BOOST_AUTO_TEST_CASE(an_odd_era_counts_as_none) {
    for (const char* era : {"-1", "99999999999999999999", "1x", " 1", ""}) {
        HttpResponse response;
        response.headers.set("Store-Era", era);
        BOOST_TEST(platform::storeEra(response) == 0U, era);
    }
    HttpResponse response;
    response.headers.set("Store-Era", "7");
    BOOST_TEST(platform::storeEra(response) == 7U);
}

/// Guards against an operator's command that ends with an exception.
BOOST_AUTO_TEST_CASE(an_odd_configuration_object_is_no_table_for_the_command_line) {
    platform::ConfigStore config(http, "10.0.0.1:1");
    for (const auto& value : kOddValues) {
        for (const auto& body : {value, "{\"Metadata\":" + value + ",\"Spec\":{}}",
                                 "{\"Metadata\":{\"Revision\":" + value + "},\"Spec\":" + value + "}"}) {
            int calls = 0;
            config.read([&](const std::optional<StoredTable>& table) { calls += table ? 100 : 1; });
            http.respondToAll(200, body);
            config.write({}, kRevision, [&](TableWrite result) { calls += result == TableWrite::kWritten ? 100 : 1; });
            http.respondToAll(200, body);
            BOOST_TEST(calls == 2, body.substr(0, 80));
        }
    }
}

/// Guards against heartbeats that end the process.
BOOST_AUTO_TEST_CASE(an_odd_heartbeat_is_refused) {
    struct : InstanceListener {
        bool onHeartbeat(const instance::Heartbeat&) override { return true; }
        void onInstanceLeave(const std::string&, std::uint64_t) override {}
        std::string heartbeatAddress() override { return ""; }
    } listener;
    platform::InstanceRequests requests;
    for (const auto& value : kOddValues) {
        for (const char* path : {"/dewcrank/Instances.Heartbeat/i", "/dewcrank/Instances.Leave/i"}) {
            HttpRequest request;
            request.method = "POST";
            request.path = path;
            request.body = R"({"Address":"a","Info":)" + value + R"(,"born":)" + value + "}";
            BOOST_TEST(requests.handle(request, listener).status == 400, path << " " << value.substr(0, 80));
        }
    }
}

/// Guards against any list that ends the process, and against one that reads otherwise item by item than as a whole.
BOOST_AUTO_TEST_CASE(a_mutated_list_is_read_or_refused) {
    constexpr int kRounds = 5000;
    const auto list = listOf(nodeEntry("a\\\"]", "10.0.0.1:1") + "," + nodeEntry("b", "10.0.0.2:1"));
    tests::Mutator mutator(5, {"\"", "{", "}", "[", "]", ",", ":", "\\", "null", "1e999", "\xff", "items"});
    int read = 0;
    for (int round = 0; round < kRounds; ++round) {
        const auto text = mutator.mutated(list);
        read += listed(text) == "none" ? 0 : 1;
        const auto whole = nlohmann::json::parse(text, nullptr, false);
        if (!whole.is_discarded() && whole.is_object() && whole.contains("items") && whole["items"].is_array()) {
            BOOST_REQUIRE(adapters::parseJsonList(text, "items").items.size() == whole["items"].size());
        }
    }
    BOOST_TEST(read > 0);
    BOOST_TEST(read < kRounds);
}

BOOST_AUTO_TEST_SUITE_END()
