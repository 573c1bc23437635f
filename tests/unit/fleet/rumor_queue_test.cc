#include "src/fleet/rumor_queue.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_fleet_rumor_queue)

BOOST_AUTO_TEST_CASE(a_rumor_is_sent_until_enough_receivers_already_know_it) {
    fleet::RumorQueue queue({2, 16});
    queue.add("a");
    queue.onSent("a");
    queue.onAlreadyKnown("a");
    BOOST_TEST(!queue.empty());
    queue.onAlreadyKnown("a");
    BOOST_TEST(queue.empty());
    queue.onAlreadyKnown("a");  // A late response.
    BOOST_TEST(queue.empty());
}

/// Guards against a rumor that is sent forever to unresponsive nodes.
BOOST_AUTO_TEST_CASE(unresponsive_receivers_end_a_rumor_as_well) {
    fleet::RumorQueue queue({2, 3});
    queue.add("a");
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(!queue.empty());
        queue.onSent("a");
    }
    BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(the_least_sent_rumor_is_first_and_a_new_change_resets_it) {
    fleet::RumorQueue queue({2, 16});
    queue.add("a");
    queue.add("b");
    queue.onSent("a");
    BOOST_TEST(queue.next(1) == std::vector<std::string>{"b"}, boost::test_tools::per_element());
    queue.onSent("b");
    queue.onSent("b");
    queue.add("b");
    BOOST_TEST(queue.next(9) == (std::vector<std::string>{"b", "a"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
