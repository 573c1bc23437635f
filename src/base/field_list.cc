#include "src/base/field_list.h"

#include <charconv>

namespace dewcrank {

namespace {

constexpr char kSeparator = ' ';
constexpr char kEscape = '%';
constexpr int kHexadecimal = 16;
constexpr std::size_t kEscapeDigits = 2;
constexpr std::string_view kDigits = "0123456789abcdef";
/// Stands for an empty text.
constexpr std::string_view kEmpty = "%";

bool isPlain(char character) {
    return character > ' ' && character < '\x7f' && character != kEscape;
}

}  // namespace

void FieldWriter::begin() {
    if (!text_.empty()) {
        text_ += kSeparator;
    }
}

FieldWriter& FieldWriter::add(std::string_view text) {
    begin();
    if (text.empty()) {
        text_ += kEmpty;
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
    begin();
    text_ += std::to_string(number);
    return *this;
}

std::string_view FieldReader::next() {
    const auto end = left_.find(kSeparator);
    const auto field = left_.substr(0, end);
    left_ = end == std::string_view::npos ? std::string_view() : left_.substr(end + 1);
    return field;
}

std::string FieldReader::text() {
    const auto field = next();
    std::string text;
    for (std::size_t at = 0; at < field.size(); ++at) {
        if (field[at] != kEscape) {
            text += field[at];
            continue;
        }
        const auto digits = field.substr(at + 1, kEscapeDigits);
        int value = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), value, kHexadecimal);
        if (!digits.empty()) {
            text += static_cast<char>(value);
        }
        at += digits.size();
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
