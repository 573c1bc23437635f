#include "src/entry/access_check.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace dewcrank;

namespace {

constexpr TimePoint kNow(100s);

wire::RouteTable tableOf(std::uint64_t version) {
    wire::RouteTable table;
    table.set_version(version);
    auto* closed = table.add_routes();
    closed->set_name("closed");
    auto* open = table.add_routes();
    open->set_name("open");
    open->set_is_open(true);
    auto* tenant = table.add_tenants();
    tenant->set_name("house");
    tenant->add_keys("k1");
    tenant->add_keys("k2");
    return table;
}

Headers headersOf(const std::vector<std::string>& authorizations) {
    Headers headers;
    headers.add("x-tenant", "forged");
    for (const auto& value : authorizations) {
        headers.add("Authorization", value);
    }
    return headers;
}

struct AccessFixture {
    AccessFixture() {
        table.adopt(tableOf(3));
        lease.onRead(kNow);
    }
    entry::Access check(const char* route, std::optional<std::string_view> key, Duration age = 0s) {
        const auto& routes = table.contents().routes();
        return entry::checkAccess(kNow + age, table, lease, routes[route == std::string("open") ? 1 : 0], key, {});
    }
    policy::RouteTable table{7};
    policy::TableLease lease{{5s, 0.04, {}}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_entry_access_check, AccessFixture)

BOOST_AUTO_TEST_CASE(a_key_is_one_authorization_of_the_scheme) {
    struct Case {
        std::vector<std::string> lines;
        const char* expected;  ///< Null: no key.
    };
    const Case cases[] = {
        {{}, nullptr},
        {{"Bearer k1"}, "k1"},
        {{"bearer   k1  "}, "k1"},
        {{"Bearer "}, ""},
        {{"Bearer"}, nullptr},
        {{"Basic k1"}, nullptr},
        {{"Bearerk1"}, nullptr},
        {{"Bearer k1", "Bearer k2"}, nullptr},
        {{"Basic a", "Bearer k1"}, nullptr},
    };
    for (const auto& entry : cases) {
        const auto headers = headersOf(entry.lines);
        const auto key = entry::callerKey(headers, "Bearer");
        BOOST_TEST(key.has_value() == (entry.expected != nullptr));
        if (key && entry.expected != nullptr) {
            BOOST_TEST(*key == entry.expected);
        }
    }
}

BOOST_AUTO_TEST_CASE(which_requests_are_admitted) {
    struct Case {
        const char* route;
        std::optional<std::string_view> key;
        Duration age;  ///< Of the route table.
        int status;    ///< 0: admitted.
        const char* tenant;
    };
    const Case cases[] = {
        {"closed", "k1", 0s, 0, "house"}, {"closed", "k2", 4s, 0, "house"}, {"closed", "k3", 0s, 401, ""},
        {"closed", "", 0s, 401, ""},      {"closed", {}, 0s, 401, ""},      {"closed", "k1", 5s, 503, ""},
        {"closed", "k3", 5s, 503, ""},    {"closed", {}, 5s, 503, ""},      {"open", {}, 0s, 0, ""},
        {"open", {}, 60s, 0, ""},         {"open", "k3", 0s, 0, ""},        {"open", "k1", 0s, 0, "house"},
        {"open", "k1", 60s, 0, ""},
    };
    for (const auto& entry : cases) {
        const auto access = check(entry.route, entry.key, entry.age);
        BOOST_TEST((access.rejection ? access.rejection->status : 0) == entry.status, entry.route);
        BOOST_TEST((access.tenant ? access.tenant->name() : "") == entry.tenant, entry.route);
        if (entry.status == 503) {
            BOOST_TEST((access.rejection->retry_after > 0s));
        }
    }
}

/// Guards against a final denial of a new key (401 instead of 503) while the node lacks the latest route table.
BOOST_AUTO_TEST_CASE(a_node_that_is_behind_catches_up_before_it_denies) {
    table.onVersionSeen(4);
    BOOST_TEST(check("closed", "k3").rejection->status == 503);
    BOOST_TEST(!check("closed", "k1").rejection);
    table.adopt(tableOf(4));
    BOOST_TEST(check("closed", "k3").rejection->status == 401);
}

BOOST_AUTO_TEST_CASE(without_tenants_no_key_is_required) {
    wire::RouteTable open;
    open.set_version(9);
    open.add_routes()->set_name("closed");
    table.adopt(open);
    const auto access = check("closed", {}, 60s);
    BOOST_TEST(!access.rejection);
    auto headers = headersOf({"Bearer k1"});
    entry::replaceKeyWithTenant(table, {}, nullptr, &headers);
    BOOST_TEST(headers.get("Authorization") == "Bearer k1");
    BOOST_TEST(!headers.has("x-tenant"));
}

BOOST_AUTO_TEST_CASE(instances_see_the_tenant_and_no_key) {
    auto headers = headersOf({"Basic a", "Bearer k1", "bearer k2"});
    entry::replaceKeyWithTenant(table, {}, table.tenantOf("k1").get(), &headers);
    BOOST_TEST(headers.get("x-tenant") == "house");
    for (const auto& line : headers.lines()) {
        BOOST_TEST(line.value.find("k1") == std::string::npos);
        BOOST_TEST(line.value.find("k2") == std::string::npos);
    }
    BOOST_TEST(headers.get("Authorization") == "Basic a");
}

BOOST_AUTO_TEST_SUITE_END()
