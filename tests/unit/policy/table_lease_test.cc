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

BOOST_AUTO_TEST_CASE(without_a_bound_it_is_always_valid) {
    auto lease = leaseOf({});
    BOOST_TEST(!lease.isRequired());
    BOOST_TEST(lease.isValid(kStart));
}

BOOST_AUTO_TEST_CASE(it_is_valid_from_the_first_read_until_shortly_before_the_bound) {
    auto lease = leaseOf(5s);
    BOOST_TEST(!lease.isValid(kStart));
    lease.onRead(kStart);
    BOOST_TEST(lease.isValid(kStart + 4700ms));
    BOOST_TEST(!lease.isValid(kStart + 4900ms));
}

/// An answer may be under way for long: what counts is when it was asked for.
BOOST_AUTO_TEST_CASE(a_read_confirms_the_moment_at_which_it_was_sent) {
    auto lease = leaseOf(5s);
    lease.onRead(kStart);
    lease.onRead(kStart - 3s);  // Sent earlier, answered later.
    BOOST_TEST(lease.age(kStart + 1s)->count() == Duration(1s).count());
}

BOOST_AUTO_TEST_CASE(a_peers_age_counts_back_from_the_question) {
    struct Case {
        Duration asked_at;
        Duration age;
        std::uint64_t theirs;
        std::uint64_t mine;
        Duration expected;  ///< Age 10 s after the start; the own read was at the start.
    };
    const Case cases[] = {
        {4s, 1s, 7, 7, 7s},    // Confirmed at 3 s.
        {4s, 6s, 7, 7, 10s},   // Older than what is known here.
        {4s, 1s, 7, 8, 7s},    // This node has a newer table: it holds what the peer's holds.
        {4s, 1s, 8, 7, 10s},   // The peer's table is newer: says nothing of this node's.
        {4s, -1s, 7, 7, 10s},  // No peer knows the future.
    };
    for (const auto& entry : cases) {
        auto lease = leaseOf(5s);
        lease.onRead(kStart);
        lease.onPeer(kStart + entry.asked_at, entry.age, entry.theirs, entry.mine);
        BOOST_TEST(lease.age(kStart + 10s)->count() == entry.expected.count());
    }
}

BOOST_AUTO_TEST_SUITE_END()
