#include "src/policy/route_table.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>

using namespace dewcrank;

namespace {

void addRoute(wire::RouteTable* table, const char* name, const char* host, const char* prefix) {
    auto* route = table->add_routes();
    route->set_name(name);
    route->set_host(host);
    route->set_prefix(prefix);
}

wire::RouteTable tableOf(std::uint64_t version) {
    wire::RouteTable table;
    table.set_version(version);
    addRoute(&table, "wide", "a.example", "/x/");
    addRoute(&table, "narrow", "a.example", "/x/y/");
    addRoute(&table, "other", "b.example", "/x/");
    return table;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_policy_route_table)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
    policy::RouteTable table;
    BOOST_TEST(table.adopt(tableOf(3)));
    const struct {
        const char* host;
        const char* path;
        const char* expected;  ///< Empty: no route.
    } cases[] = {
        {"a.example", "/x/1", "wide"},
        {"a.example", "/x/y/1", "narrow"},
        {"A.Example:8080", "/x/y/", "narrow"},
        {"b.example", "/x/y/1", "other"},
        {"a.example", "/x", ""},
        {"a.example", "/z/", ""},
        {"c.example", "/x/", ""},
        {"", "/x/", ""},
        {"a.example", "/x/y?q=/x/", "wide"},
    };
    for (const auto& entry : cases) {
        const auto route = table.match(entry.host, entry.path);
        BOOST_TEST((route == nullptr ? "" : route->name()) == entry.expected, entry.host << entry.path);
    }
}

BOOST_AUTO_TEST_CASE(versions_only_grow) {
    policy::RouteTable table;
    int adopted = 0;
    table.signalAdopted().connect([&] { ++adopted; });
    BOOST_TEST(!table.isKnown());
    BOOST_TEST(table.adopt(tableOf(3)));
    BOOST_TEST(!table.adopt(tableOf(3)));
    BOOST_TEST(!table.adopt(tableOf(2)));
    BOOST_TEST(table.version() == 3U);
    BOOST_TEST(table.adopt(tableOf(9)));
    BOOST_TEST(adopted == 2);
}

BOOST_AUTO_TEST_CASE(parts_get_their_weights_also_over_few_requests) {
    wire::Route route;
    const std::map<std::string, int> weights = {{"a", 90}, {"b", 9}, {"c", 1}};
    for (const auto& [service, weight] : weights) {
        auto* part = route.add_parts();
        part->set_service(service);
        part->set_weight(static_cast<std::uint32_t>(weight));
    }
    for (const double start : {0.0, 0.3, 0.77}) {
        policy::WeightedSplitter splitter(start);
        std::map<std::string, int> counts;
        constexpr int kRequests = 300;
        for (int count = 0; count < kRequests; ++count) {
            ++counts[route.parts(static_cast<int>(splitter.next(route))).service()];
        }
        for (const auto& [service, weight] : weights) {
            const double expected = weight * kRequests / 100.0;
            BOOST_TEST(std::abs(counts[service] - expected) <= 4, service << " " << counts[service]);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
