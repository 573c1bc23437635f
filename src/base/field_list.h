/// @file
/// Several values in one header: in a fixed order, parted by blanks. A header for each would cost
/// more to write and to read than what they say.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dewcrank {

/// Writes values one after the other. Texts may hold any bytes: what is not a visible character of
/// ASCII is written as `%` and two hexadecimal digits.
class FieldWriter {
public:
    FieldWriter& add(std::string_view text);
    FieldWriter& add(std::int64_t number);
    [[nodiscard]] std::string take() { return std::move(text_); }

private:
    void begin();
    std::string text_;
};

/// Reads them back. Values that are missing read as empty texts and zeros, and further ones are
/// left alone: a later version may add to the end.
class FieldReader {
public:
    explicit FieldReader(std::string_view list) : left_(list) {}
    std::string text();
    std::int64_t number();

private:
    std::string_view next();
    std::string_view left_;
};

}  // namespace dewcrank
