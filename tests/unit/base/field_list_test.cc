#include "src/base/field_list.h"

#include <boost/test/unit_test.hpp>

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_base_field_list)

/// Guards against values that break the header or change in an encoding round trip.
BOOST_AUTO_TEST_CASE(texts_of_any_bytes_and_numbers_come_back_as_they_were) {
    const std::string texts[] = {"plain", "", "with blank", "100%", "line\r\nheader: x", std::string("\0\xff", 2), "%"};
    FieldWriter writer;
    for (const auto& text : texts) {
        writer.add(text);
    }
    writer.add(-5).add(INT64_MAX);
    const auto list = writer.take();
    for (const char character : list) {
        BOOST_TEST((character >= ' ' && character < '\x7f'));
    }
    FieldReader reader(list);
    for (const auto& text : texts) {
        BOOST_TEST(reader.text() == text);
    }
    BOOST_TEST(reader.number() == -5);
    BOOST_TEST(reader.number() == INT64_MAX);
}

/// Guards against failures on lists of other versions and on malformed fields.
BOOST_AUTO_TEST_CASE(what_is_missing_or_is_no_number_reads_as_nothing) {
    FieldReader reader("a x %4");
    BOOST_TEST(reader.text() == "a");
    BOOST_TEST(reader.number() == 0);
    BOOST_TEST(reader.text() == "\x04");
    BOOST_TEST(reader.text().empty());
    BOOST_TEST(reader.number() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
