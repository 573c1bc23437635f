#include "src/base/field_list.h"

#include <charconv>

namespace dewcrank {

namespace {

constexpr char kSeparator = ' ';
constexpr char kEscape = '%';
constexpr int kHexadecimal = 16;
constexpr std::size_t kEscapeDigits = 2;
constexpr std::string_view kDigits = "0123456789abcdef";
/// Encodes an empty string.
constexpr std::string_view kEmptyString = "%";

bool isPlain(char character) {
    return character > ' ' && character < '\x7f' && character != kEscape;
}

}  // namespace

void FieldWriter::addSeparator() {
    if (!text_.empty()) {
        text_ += kSeparator;
    }
}

FieldWriter& FieldWriter::add(std::string_view text) {
    addSeparator();
    if (text.empty()) {
        text_ += kEmptyString;
    }
    for (const char character : text) {
        if (isPlain(character)) {
            text_ += character;
            continue;
        }
        const auto value = static_cast<unsigned char>(character);
        text_ += kEscape;
        text_ += kDigits[value / kHexadecimal];
        text_ += kDigits[value % kHexadecimal];
    }
    return *this;
}

FieldWriter& FieldWriter::add(std::int64_t number) {
    addSeparator();
    text_ += std::to_string(number);
    return *this;
}

std::string_view FieldReader::next() {
    const auto end = remaining_.find(kSeparator);
    const auto field = remaining_.substr(0, end);
    remaining_ = end == std::string_view::npos ? std::string_view() : remaining_.substr(end + 1);
    return field;
}

std::string FieldReader::text() {
    const auto field = next();
    std::string text;
    for (std::size_t i = 0; i < field.size(); ++i) {
        if (field[i] != kEscape) {
            text += field[i];
            continue;
        }
        const auto digits = field.substr(i + 1, kEscapeDigits);
        int value = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), value, kHexadecimal);
        if (!digits.empty()) {
            text += static_cast<char>(value);
        }
        i += digits.size();
    }
    return text;
}

std::int64_t FieldReader::number() {
    const auto field = next();
    std::int64_t number = 0;
    std::from_chars(field.data(), field.data() + field.size(), number);
    return number;
}

}  // namespace dewcrank
