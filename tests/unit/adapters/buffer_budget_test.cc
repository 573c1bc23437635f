#include "src/adapters/buffer_budget.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;
using adapters::BufferBudget;

namespace {

constexpr std::size_t kPart = 2 * BufferBudget::kMinCounted;

struct FakeReader : BufferBudget::Reader {
    void setPaused(bool is_paused_now) override { is_paused = is_paused_now; }
    bool is_paused = false;
};

struct BudgetFixture {
    BufferBudget budget{3 * kPart};
    FakeReader first;
    FakeReader second;
    FakeReader third;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_adapters_buffer_budget, BudgetFixture)

/// Guards against messages that wait for each other for good, each with a part of the budget.
BOOST_AUTO_TEST_CASE(the_first_message_is_read_to_its_end_and_the_next_one_follows) {
    budget.set(first, kPart);
    budget.set(second, kPart);
    budget.set(third, kPart);
    BOOST_TEST(!second.is_paused);
    budget.set(third, 2 * kPart);
    BOOST_TEST(!first.is_paused);
    BOOST_TEST(second.is_paused);
    BOOST_TEST(third.is_paused);
    budget.set(first, 4 * kPart);
    BOOST_TEST(!first.is_paused);
    budget.set(first, 0);
    BOOST_TEST(!second.is_paused);
    BOOST_TEST(!third.is_paused);
    budget.set(second, 3 * kPart);
    BOOST_TEST(!second.is_paused);
    BOOST_TEST(third.is_paused);
    budget.set(second, 0);
    budget.set(third, 0);
    BOOST_TEST(!third.is_paused);
    BOOST_TEST(budget.held() == 0U);
    BOOST_TEST(budget.pauses() == 3U);
}

/// Guards against small messages that wait for large ones.
BOOST_AUTO_TEST_CASE(a_small_message_is_never_held_up) {
    budget.set(first, 100 * kPart);
    budget.set(second, BufferBudget::kMinCounted - 1);
    BOOST_TEST(!second.is_paused);
    BOOST_TEST(budget.held() == 100 * kPart);
}

BOOST_AUTO_TEST_SUITE_END()
