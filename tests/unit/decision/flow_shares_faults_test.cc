/// Shares of callers while their inputs are missing, old or uneven.

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "src/decision/flow_shares.h"
#include "tests/support/flow_replay.h"

using namespace dewcrank;
using namespace dewcrank::tests;

namespace {

constexpr TimePoint kStart(100s);
constexpr double kRankProbability = 0.5;

decision::FlowRequest requestOf(const std::string& flow, std::uint32_t rank = 0) {
    decision::FlowRequest request;
    request.service = "leaf";
    request.rank = rank;
    request.flow = flow;
    request.slot_time = 0.04;
    return request;
}

struct SharesFixture {
    decision::FlowShare send(const decision::FlowRequest& request) {
        shares.onArrival(now, request);
        return shares.shareOf(now, request, kRankProbability);
    }
    decision::FlowShares shares{decision::FlowSharesKnobs()};
    TimePoint now = kStart;
};

/// @return the share of the requests of the smaller half of the tenants that are refused.
double refusedOfSmallTenants(const ReplayCounts& counts) {
    double requests = 0;
    double refused = 0;
    for (int rank = 44; rank <= 87; ++rank) {
        const auto& count = counts.flows.at("tenant/" + std::to_string(rank));
        requests += count.requests;
        refused += count.requests - count.admitted_first;
    }
    return refused / requests;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_decision_flow_shares_faults)

/// Guards against shares that fail with the owners of the quota shards, with rates that are old, and with nodes that
/// restart: the total stays that of the rank, and small tenants are not refused for a hot one.
BOOST_AUTO_TEST_CASE(faults_change_neither_the_total_nor_the_order_of_shares) {
    const auto second = [](TimePoint now) { return toSeconds(now - kStart); };
    struct Case {
        const char* name;
        ReplayOptions options;
    };
    std::vector<Case> cases(4);
    cases[0].name = "owners go away for 6 s and come back";
    cases[0].options.has_owners = [second](TimePoint now) { return second(now) < 12 || second(now) > 18; };
    cases[1].name = "owners come and go every second";
    cases[1].options.has_owners = [second](TimePoint now) { return static_cast<int>(second(now)) % 2 == 0; };
    cases[2].name = "rates are 10 s old";
    cases[2].options.report_age = 10s;
    cases[3].name = "all nodes restart every 5 s";
    cases[3].options.is_restarting = [second](TimePoint now) { return std::fmod(second(now), 5) < 0.1; };
    auto flows = replayTenants(1500);
    flows[3].per_s *= 6.5;
    for (auto& entry : cases) {
        for (const std::size_t nodes : {1U, 89U}) {
            entry.options.nodes = nodes;
            const auto counts = FlowReplay(flows, entry.options).run();
            const double small = refusedOfSmallTenants(counts);
            BOOST_TEST_MESSAGE(entry.name << ", " << nodes << " nodes: admitted " << counts.admittedShare()
                                          << ", refused of small tenants " << small);
            BOOST_TEST(std::abs(counts.admittedShare() - 0.6) < 0.02, entry.name << ": " << counts.admittedShare());
            BOOST_TEST(small < 0.05, entry.name << ", " << nodes << " nodes: " << small);
            auto without = entry.options;
            without.fair_shares = false;
            BOOST_TEST(refusedOfSmallTenants(FlowReplay(flows, without).run()) > 0.3, entry.name);
        }
    }
}

/// Guards against a node that takes a large tenant for a small one: it sees a sixtieth of the traffic, and few requests
/// of the tenant, whose clients enter at other nodes.
BOOST_FIXTURE_TEST_CASE(a_tenant_that_is_large_over_the_fleet_is_recognized, SharesFixture) {
    auto large = requestOf("tenant/large");
    large.fleet_rate = FleetRate{600, Duration::zero()};
    decision::FlowShare of_large;
    decision::FlowShare of_small;
    for (int step = 0; step < 400; ++step) {
        for (int tenant = 0; tenant < 20; ++tenant) {
            if (step % 20 == tenant) {
                auto small = requestOf("tenant/" + std::to_string(tenant));
                small.fleet_rate = FleetRate{30, Duration::zero()};
                of_small = send(small);
            }
        }
        if (step % 20 == 0) {
            of_large = send(large);
        }
        now += 50ms;
    }
    BOOST_TEST(of_large.probability < 0.3, of_large.probability);
    BOOST_TEST(of_small.probability > 0.45, of_small.probability);
    BOOST_REQUIRE(of_large.fleet_rate_age.has_value());

    large.fleet_rate = std::nullopt;  // Its row has gone from the table, or its owner is away.
    now += 6s;
    BOOST_TEST(!send(large).fleet_rate_age.has_value());
    BOOST_TEST(send(large).probability >= 0.25 * kRankProbability);
}

/// Guards against a tenant that is refused at one rank for what it sends at another one: its fleet-wide rate is that of
/// all its requests.
BOOST_FIXTURE_TEST_CASE(a_fleet_wide_rate_is_divided_among_ranks, SharesFixture) {
    decision::FlowShare of_mixed;
    for (int step = 0; step < 1200; ++step) {
        auto mixed = requestOf("tenant/mixed", step % 40 == 0 ? 2 : 0);
        mixed.fleet_rate = FleetRate{200, Duration::zero()};
        const auto share = send(mixed);
        of_mixed = mixed.rank == 2 ? share : of_mixed;
        auto other = requestOf("tenant/other", 2);
        other.fleet_rate = FleetRate{200, Duration::zero()};
        send(other);
        now += 10ms;
    }
    BOOST_TEST(of_mixed.probability > 0.95, of_mixed.probability);
}

/// Guards against memory that grows with the number of flows, and against a total that differs from the rank's because
/// most flows are evicted before their next request.
BOOST_FIXTURE_TEST_CASE(flows_beyond_the_limit_do_not_change_the_total, SharesFixture) {
    adapters::SeededRandom random(1);
    constexpr int kRequests = 40000;
    for (const std::uint64_t large_flows : {0U, 4U}) {
        double admitted = 0;
        for (int request = 0; request < kRequests; ++request) {
            const bool is_large = large_flows > 0 && random.below(4) > 0;
            const auto flow = is_large ? random.below(large_flows) : 100 + random.below(5000);
            admitted += send(requestOf("tenant/" + std::to_string(flow))).probability;
            now += 1ms;
        }
        BOOST_TEST(shares.flowCount() == 256U);
        BOOST_TEST(std::abs(admitted / kRequests - kRankProbability) < 0.02,
                   large_flows << ": " << admitted / kRequests);
    }
}

/// Guards against the eviction of a flow that is in use.
BOOST_FIXTURE_TEST_CASE(the_least_recently_used_flow_is_evicted, SharesFixture) {
    double rate = 0;
    for (int request = 0; request < 4000; ++request) {
        rate = send(requestOf("tenant/steady")).rate;
        send(requestOf("tenant/" + std::to_string(request)));
        now += 2ms;
    }
    BOOST_TEST(rate > 0.8 * 0.04 * 500, rate);
}

/// Guards against weights that are ignored: a flow of twice the weight is admitted with twice the slot time.
BOOST_FIXTURE_TEST_CASE(shares_are_proportional_to_weights, SharesFixture) {
    double admitted[2] = {0, 0};
    for (int step = 0; step < 20000; ++step) {
        for (const int flow : {0, 1}) {
            auto request = requestOf("tenant/" + std::to_string(flow));
            request.weight = flow + 1;
            admitted[flow] += send(request).probability;
        }
        now += 1ms;
    }
    BOOST_TEST(std::abs(admitted[1] / admitted[0] - 2) < 0.1, admitted[1] / admitted[0]);
}

/// Guards against a cost of each decision that grows with the number of flows: the level is not computed per request.
BOOST_FIXTURE_TEST_CASE(the_level_is_computed_at_an_interval, SharesFixture) {
    for (int flow = 0; flow < 200; ++flow) {
        send(requestOf("tenant/" + std::to_string(flow)));
    }
    now += 1s;
    const double level = send(requestOf("tenant/1")).level;
    for (int request = 0; request < 1000; ++request) {
        BOOST_REQUIRE(send(requestOf("tenant/" + std::to_string(request % 200))).level == level);
        now += 50us;
    }
    now += 100ms;
    BOOST_TEST(send(requestOf("tenant/1")).level != level);
}

BOOST_AUTO_TEST_SUITE_END()
