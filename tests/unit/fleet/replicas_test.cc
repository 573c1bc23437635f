#include "src/fleet/replicas.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

wire::NodeRecord recordOf(const std::string& name, wire::InstanceState state) {
    wire::NodeRecord record;
    record.set_name(name);
    record.set_incarnation(1);
    record.set_address(name);
    record.mutable_instance()->set_service("leaf");
    record.mutable_instance()->set_state(state);
    return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_fleet_replicas)

BOOST_AUTO_TEST_CASE(leaving_instances_are_neither_up_nor_unavailable) {
    tests::VirtualTime time;
    fleet::NodeDirectory directory(time.clock, recordOf("c", wire::INSTANCE_READY));
    directory.merge(recordOf("a", wire::INSTANCE_READY));
    directory.merge(recordOf("b", wire::INSTANCE_UNKNOWN));
    directory.merge(recordOf("d", wire::INSTANCE_READY));
    directory.merge(recordOf("e", wire::INSTANCE_DRAINING));
    directory.merge(recordOf("f", wire::INSTANCE_GONE));
    auto replicas = fleet::replicasOf(directory, "leaf");
    BOOST_TEST(replicas.up == 3U);
    BOOST_TEST(replicas.unavailable == 1U);
    BOOST_TEST(replicas.position == 1U);
    directory.onUnreachable("a");
    replicas = fleet::replicasOf(directory, "leaf");
    BOOST_TEST(replicas.up == 2U);
    BOOST_TEST(replicas.unavailable == 2U);
    BOOST_TEST(replicas.position == 0U);
    BOOST_TEST(fleet::replicasOf(directory, "other").up == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
