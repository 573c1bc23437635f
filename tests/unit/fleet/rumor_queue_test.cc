#include "src/fleet/rumor_queue.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_fleet_rumor_queue)

BOOST_AUTO_TEST_CASE(a_rumor_is_told_until_enough_receivers_knew_it) {
    fleet::RumorQueue queue({2, 16});
    queue.add("a");
    queue.onSent("a");
    queue.onAlreadyKnown("a");
    BOOST_TEST(!queue.empty());
    queue.onAlreadyKnown("a");
    BOOST_TEST(queue.empty());
    queue.onAlreadyKnown("a");  // Of a message that was under way.
    BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(receivers_that_do_not_answer_end_a_rumor_as_well) {
    fleet::RumorQueue queue({2, 3});
    queue.add("a");
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(!queue.empty());
        queue.onSent("a");
    }
    BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(what_was_told_least_goes_first_and_news_begin_again) {
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
