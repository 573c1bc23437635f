/// @file
/// Codec for several values in one HTTP header: positional fields, separated by single spaces.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dewcrank {

/// Encodes a field list. Strings may hold any bytes: everything but visible ASCII is percent-encoded as `%` and two
/// hexadecimal digits.
class FieldWriter {
public:
    FieldWriter& add(std::string_view text);
    FieldWriter& add(std::int64_t number);
    /// @return the encoded list; leaves the writer empty.
    [[nodiscard]] std::string take() { return std::move(text_); }

private:
    void addSeparator();
    std::string text_;
};

/// Decodes a field list. Missing fields read as an empty string or 0, and surplus fields are ignored, so that a later
/// version may append fields.
class FieldReader {
public:
    /// @param list must outlive the reader.
    explicit FieldReader(std::string_view list) : remaining_(list) {}
    std::string text();     ///< Decodes the next field as a string.
    std::int64_t number();  ///< Decodes the next field as a decimal number; 0 if the field is not one.

private:
    std::string_view next();
    std::string_view remaining_;
};

}  // namespace dewcrank
