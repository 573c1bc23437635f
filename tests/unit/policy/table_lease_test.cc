#include "src/policy/table_lease.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

namespace {

constexpr TimePoint kStart(100s);

policy::TableLease leaseOf(Duration revocation) {
    policy::TableLeaseKnobs knobs;
    knobs.revocation = revocation;
    return policy::TableLease(knobs);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_policy_table_lease)

BOOST_AUTO_TEST_CASE(a_lease_without_revocation_time_is_always_valid) {
    auto lease = leaseOf({});
    BOOST_TEST(!lease.isRequired());
    BOOST_TEST(lease.isValid(kStart));
}

BOOST_AUTO_TEST_CASE(a_lease_is_valid_from_the_first_read_until_shortly_before_the_revocation_time) {
    auto lease = leaseOf(5s);
    BOOST_TEST(!lease.isValid(kStart));
    lease.onRead(kStart);
    BOOST_TEST(lease.isValid(kStart + 4700ms));
    BOOST_TEST(!lease.isValid(kStart + 4900ms));
}

/// Guards against a delayed response that confirms the table for too long.
BOOST_AUTO_TEST_CASE(a_read_confirms_the_moment_at_which_it_was_sent) {
    auto lease = leaseOf(5s);
    lease.onRead(kStart);
    lease.onRead(kStart - 3s);  // The read was sent earlier and received later.
    BOOST_TEST(lease.age(kStart + 1s)->count() == Duration(1s).count());
}

BOOST_AUTO_TEST_CASE(a_peers_age_counts_back_from_the_request) {
    struct Case {
        Duration sent_at;
        Duration age;
        std::uint64_t peer_version;
        std::uint64_t own_version;
        Duration expected;  ///< Age 10 s after the start; the last read of the store was at the start.
    };
    const Case cases[] = {
        {4s, 1s, 7, 7, 7s},    // Confirmed at 3 s.
        {4s, 6s, 7, 7, 10s},   // Older than the local confirmation.
        {4s, 1s, 7, 8, 7s},    // The local table is newer, so it contains the peer's versions.
        {4s, 1s, 8, 7, 10s},   // The peer's table is newer: the local table is not confirmed.
        {4s, -1s, 7, 7, 10s},  // A negative age is invalid.
    };
    for (const auto& entry : cases) {
        auto lease = leaseOf(5s);
        lease.onRead(kStart);
        lease.onPeerResponse(kStart + entry.sent_at, entry.age, entry.peer_version, entry.own_version);
        BOOST_TEST(lease.age(kStart + 10s)->count() == entry.expected.count());
    }
}

BOOST_AUTO_TEST_SUITE_END()
