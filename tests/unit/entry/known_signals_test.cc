#include "src/entry/known_signals.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace dewcrank;

namespace {

wire::InstanceRecord recordOf(const std::string& id, std::uint64_t start_ms) {
    wire::InstanceRecord record;
    record.set_id(id);
    record.set_born_ms(start_ms);
    return record;
}

relay::InstanceNotice noticeOf(std::uint64_t start_ms, bool is_leaving, std::optional<double> limit = {}) {
    return {start_ms, is_leaving, true, limit};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_entry_known_signals)

BOOST_AUTO_TEST_CASE(signals_are_of_one_incarnation) {
    entry::KnownSignals signals;
    signals.onNotice("i1", noticeOf(7, true, 16.3));
    BOOST_TEST(signals.isLeaving(recordOf("i1", 7)));
    BOOST_TEST(signals.rateLimitOf(recordOf("i1", 7)).value() == 16.3);
    BOOST_TEST(!signals.isLeaving(recordOf("i1", 8)));
    BOOST_TEST(!signals.rateLimitOf(recordOf("i1", 8)).has_value());
    BOOST_TEST(!signals.isLeaving(recordOf("i2", 7)));
}

BOOST_AUTO_TEST_CASE(a_limit_ends_when_a_relay_that_knows_says_so_and_leaving_never_does) {
    entry::KnownSignals signals;
    signals.onNotice("i1", noticeOf(7, true, 16.3));
    signals.onNotice("i1", {7, false, false, std::nullopt});  // A relay that has just started.
    BOOST_TEST(signals.rateLimitOf(recordOf("i1", 7)).value() == 16.3);
    signals.onNotice("i1", noticeOf(7, false));
    BOOST_TEST(!signals.rateLimitOf(recordOf("i1", 7)).has_value());
    BOOST_TEST(signals.isLeaving(recordOf("i1", 7)));
}

BOOST_AUTO_TEST_CASE(what_is_remembered_is_bounded) {
    entry::KnownSignals signals;
    for (int number = 0; number < 10000; ++number) {
        signals.onNotice("i" + std::to_string(number), noticeOf(1, true, 1));
    }
    BOOST_TEST(!signals.isLeaving(recordOf("i0", 1)));
    BOOST_TEST(signals.isLeaving(recordOf("i9999", 1)));
}

BOOST_AUTO_TEST_SUITE_END()
