#include "src/policy/table_rows.h"

#include <boost/test/unit_test.hpp>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

wire::RouteTable tableOf() {
    wire::RouteTable table;
    table.add_services()->set_name("desk");
    table.add_services()->set_name("leaf");
    auto* route = table.add_routes();
    route->set_name("browse");
    route->set_host("fleet.example");
    route->set_prefix("/browse/");
    route->set_max_attempts(2);
    route->set_timeout_ms(1200);
    route->set_objective_ms(1000);
    auto* part = route->add_parts();
    part->set_service("desk");
    part->set_weight(1);
    return table;
}

std::string errorOfCell(const std::string& row, const std::string& column, const std::string& value) {
    auto table = tableOf();
    return tests::errorOf([&] { return policy::setCell(&table, row, column, value); });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_policy_table_rows)

BOOST_AUTO_TEST_CASE(cells_are_checked_and_errors_name_the_allowed_values) {
    struct Case {
        const char* column;
        const char* value;
        const char* error;  ///< Empty: allowed.
    };
    const Case cases[] = {
        {"priority", "0", ""},
        {"priority", "8", "table: route/browse.priority: got '8', allowed: a whole number from 0 to 7"},
        {"priority", "", "table: route/browse.priority: got '', allowed: a whole number from 0 to 7"},
        {"timeout_ms", "1e3", "table: route/browse.timeout_ms: got '1e3', allowed: a whole number from 1 to 600000"},
        {"repeatable", "false", ""},
        {"repeatable", "no", "table: route/browse.repeatable: got 'no', allowed: true or false"},
        {"prefix", "/a/", ""},
        {"prefix", "/a", "table: route/browse.prefix: got '/a', allowed: a path that begins and ends with a slash"},
        {"services", "leaf", ""},
        {"services", "desk:90 leaf:10", ""},
        {"services", "desk:0",
         "table: route/browse.services: got 'desk:0', allowed: a service, or services with "
         "weights: 'desk:90 browse:10'"},
        {"colour", "red", "table: route/browse.colour: there is no such column"},
    };
    for (const auto& entry : cases) {
        BOOST_TEST(errorOfCell("route/browse", entry.column, entry.value) == entry.error, entry.value);
    }
    BOOST_TEST(errorOfCell("route/none", "priority", "1") == "table: route/none: there is no such row");
    BOOST_TEST(errorOfCell("priority", "priority", "1") == "table: priority: there is no such row");
}

BOOST_AUTO_TEST_CASE(a_value_that_is_not_allowed_changes_nothing) {
    auto table = tableOf();
    const auto before = policy::rowsOf(table);
    const auto error = tests::errorOf([&] { return policy::setCell(&table, "route/browse", "services", "desk:x"); });
    BOOST_TEST(error != "");
    BOOST_TEST((policy::rowsOf(table) == before));
}

BOOST_AUTO_TEST_CASE(rows_of_a_table_make_the_same_table_again) {
    auto table = tableOf();
    BOOST_TEST(tests::errorOf([&] { return policy::setCell(&table, "route/browse", "services", "desk:90 leaf:10"); }) ==
               "");
    BOOST_TEST(tests::errorOf([&] { return policy::setCell(&table, "service/desk", "health_path", "/h"); }) == "");
    BOOST_TEST(tests::errorOf([&] { return policy::setCell(&table, "service/desk", "connections", "9"); }) == "");
    wire::RouteTable restored;
    for (auto [row, cells] : policy::rowsOf(table)) {
        std::erase_if(cells, [](const auto& cell) { return cell.second.empty() || cell.second == "0"; });
        BOOST_TEST(tests::errorOf([&] { return policy::putRow(&restored, row, cells); }) == "");
    }
    BOOST_TEST((policy::rowsOf(restored) == policy::rowsOf(table)));
}

BOOST_AUTO_TEST_CASE(a_route_needs_all_its_cells_and_services_that_are_there) {
    auto table = tableOf();
    BOOST_TEST(tests::errorOf([&] { return policy::checkTable(table); }) == "");
    BOOST_TEST(tests::errorOf([&] { return policy::putRow(&table, "route/new", {{"host", "h"}}); }) == "");
    BOOST_TEST(tests::errorOf([&] { return policy::checkTable(table); }).find("route/new.prefix") != std::string::npos);
    BOOST_TEST(tests::errorOf([&] { return policy::removeRow(&table, "route/new"); }) == "");
    BOOST_TEST(tests::errorOf([&] { return policy::setCell(&table, "route/browse", "services", "nobody"); }) == "");
    BOOST_TEST(tests::errorOf([&] { return policy::checkTable(table); }) ==
               "table: route/browse.services: there is no service/nobody");
}

BOOST_AUTO_TEST_CASE(a_service_in_use_cannot_be_removed) {
    auto table = tableOf();
    BOOST_TEST(tests::errorOf([&] { return policy::removeRow(&table, "service/desk"); }) ==
               "table: service/desk: route/browse goes to it");
    BOOST_TEST(tests::errorOf([&] { return policy::removeRow(&table, "service/leaf"); }) == "");
    BOOST_TEST(tests::errorOf([&] { return policy::removeRow(&table, "service/leaf"); }) ==
               "table: service/leaf: there is no such row");
}

BOOST_AUTO_TEST_CASE(tenant_rows_never_contain_full_keys) {
    auto table = tableOf();
    const auto set = [&](const char* column, const std::string& value) {
        return tests::errorOf([&] { return policy::setCell(&table, "tenant/house", column, value); });
    };
    BOOST_TEST(
        tests::errorOf([&] {
            return policy::putRow(&table, "tenant/house", {{"keys", "secret-1 secret-2"}, {"rate_per_s", "2.5"}});
        }) == "");
    BOOST_TEST(table.tenants(0).rate_per_s() == 2.5);
    BOOST_TEST(!table.tenants(0).has_priority());
    const auto shown = policy::rowsOf(table).at("tenant/house");
    BOOST_TEST(shown.at("keys").find("secret") == std::string::npos);
    BOOST_TEST(shown.at("priority") == "-");
    // Removes one key, adds one, and identifies the kept key by its fingerprint.
    const auto first = shown.at("keys").substr(0, shown.at("keys").find(' '));
    BOOST_TEST(set("keys", first + " secret-3") == "");
    BOOST_TEST(table.tenants(0).keys_size() == 2);
    BOOST_TEST(table.tenants(0).keys(0) == "secret-1");
    BOOST_TEST(table.tenants(0).keys(1) == "secret-3");
    const auto rejected = set("keys", "#00000000 secret-4");
    BOOST_TEST(rejected.starts_with("table: tenant/house.keys: "));
    BOOST_TEST(rejected.find("secret-4") == std::string::npos);
    BOOST_TEST(set("priority", "8") ==
               "table: tenant/house.priority: got '8', allowed: a whole number from 0 to 7, or -");
    BOOST_TEST(set("priority", "0") == "");
    BOOST_TEST(table.tenants(0).has_priority());
    BOOST_TEST(set("burst", "-1") == "table: tenant/house.burst: got '-1', allowed: a number from 0 to 1e+09");
    BOOST_TEST(tests::errorOf([&] { return policy::checkTable(table); }) == "");
    BOOST_TEST(tests::errorOf([&] { return policy::putRow(&table, "tenant/other", {{"keys", "secret-3"}}); }) == "");
    const auto shared = tests::errorOf([&] { return policy::checkTable(table); });
    BOOST_TEST(shared.find("tenant/other.keys") != std::string::npos);
    BOOST_TEST(shared.find("secret") == std::string::npos);
    BOOST_TEST(tests::errorOf([&] { return policy::removeRow(&table, "tenant/other"); }) == "");
    BOOST_TEST(tests::errorOf([&] { return policy::checkTable(table); }) == "");
}

BOOST_AUTO_TEST_SUITE_END()
