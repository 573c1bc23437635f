#include "src/quota/shard_lease_manager.h"

#include <boost/test/unit_test.hpp>

#include "sim/control_store.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

constexpr double kRate = 20;
constexpr double kBurst = 400;
constexpr std::uint64_t kIncarnation = 50;
constexpr Duration kSettleTime = 1s;  ///< Until the node has claimed the shards.
/// Until the leases are claimed again under a raised incarnation; much less than the burst accrues meanwhile.
constexpr Duration kReclaimTime = 9s;

wire::NodeRecord selfRecord() {
    wire::NodeRecord record;
    record.set_name("n1");
    record.set_zone("north");
    record.set_incarnation(kIncarnation);
    return record;
}

struct ManagerFixture {
    ManagerFixture() {
        wire::RouteTable contents;
        contents.set_version(1);
        auto* tenant = contents.add_tenants();
        tenant->set_name("house");
        tenant->set_rate_per_s(kRate);
        tenant->set_burst(kBurst);
        table.adopt(contents);
    }
    /// Leaves a lease on each shard that an earlier process of this node holds.
    void leaveLeasesOf(std::uint64_t incarnation) {
        for (std::uint32_t shard = 0; shard < quota::kShardCount; ++shard) {
            store.putLease({quota::leaseNameOf(shard), "n1", incarnation, 0}, [](bool) {});
        }
        time.advance(10s);
    }
    /// @return the tokens that the shards of the tenant grant at once.
    std::uint32_t grantAll() {
        std::uint32_t granted = 0;
        for (std::uint32_t shard = 0; shard < quota::kShardCount; ++shard) {
            if (auto* it = manager->grantableShard(shard); it != nullptr) {
                granted += it->grant(time.clock.now(), table.contents().tenants(0), 1000, 0).granted();
            }
        }
        return granted;
    }
    void start() {
        manager = std::make_unique<quota::ShardLeaseManager>(time.clock, log, store, directory, table,
                                                             quota::ShardLeaseManagerKnobs{});
        manager->start();
        time.advance(kSettleTime);
    }

    tests::VirtualTime time;
    tests::RecordingLog log;
    sim::ControlStoreModel model{time.queue};
    sim::SimControlStore store{model, time.clock};
    fleet::NodeDirectory directory{time.clock, selfRecord()};
    policy::RouteTable table;
    std::unique_ptr<quota::ShardLeaseManager> manager;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_quota_shard_lease_manager, ManagerFixture)

/// Guards against a tenant's burst that is granted again by each process of a node that restarts.
BOOST_AUTO_TEST_CASE(a_restarted_owner_grants_what_has_accrued_since_its_start) {
    leaveLeasesOf(kIncarnation - 1);
    start();
    BOOST_TEST(manager->grantingCount() == quota::kShardCount);
    const auto granted = grantAll();
    BOOST_TEST(granted > 0U);
    BOOST_TEST(granted <= kRate * toSeconds(kSettleTime));
}

/// Guards against the same burst where the node's incarnation is raised above one that others remember.
BOOST_AUTO_TEST_CASE(an_owner_whose_incarnation_is_raised_does_not_grant_its_burst_again) {
    start();
    time.advance(10s);
    BOOST_TEST(grantAll() > 0U);
    auto remembered = selfRecord();
    remembered.set_incarnation(kIncarnation + 5);
    directory.merge(remembered);
    time.advance(kReclaimTime);
    BOOST_TEST(manager->grantingCount() == quota::kShardCount);
    BOOST_TEST(grantAll() <= kRate * toSeconds(kReclaimTime));
    BOOST_TEST(directory.self().incarnation() > kIncarnation);
}

BOOST_AUTO_TEST_SUITE_END()
