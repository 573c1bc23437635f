/// @file
/// Strict access to fields of JSON documents from external systems. A field that is missing, has another type or is out
/// of range causes an error that names the field.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dewcrank::adapters {

/// Throws std::invalid_argument with the name of the field and the expected value, as all require functions do.
[[noreturn]] void throwFieldError(const std::string& field, const char* expected);
/// @return the text, which is no part of a document; one that is empty or not UTF-8 is an error.
std::string requireText(const char* field, std::string_view text);
/// @return the object in a field.
const nlohmann::json& requireObject(const nlohmann::json& parent, const char* field);
/// @return the string in a field; an empty string is an error.
std::string requireString(const nlohmann::json& object, const char* field);
/// @return the integer in a field, from `min` to `max`; fractions and booleans are errors.
std::uint64_t requireInteger(const nlohmann::json& object, const char* field, std::uint64_t min, std::uint64_t max);
/// As requireInteger(). @return `fallback` if there is no such field.
std::uint64_t optionalInteger(const nlohmann::json& object, const char* field, std::uint64_t fallback,
                              std::uint64_t max);
/// As requireInteger() and optionalInteger(), for numbers of 32 bits.
std::uint32_t requireUint32(const nlohmann::json& object, const char* field);
std::uint32_t optionalUint32(const nlohmann::json& object, const char* field, std::uint32_t fallback);
/// @return the number that a text field holds in hexadecimal digits.
std::uint64_t requireHexadecimal(const nlohmann::json& object, const char* field);
/// @return the number in a field; a negative number is an error.
double requireNumber(const nlohmann::json& object, const char* field);

/// @return a JSON integer if the value is integral, else a JSON floating point number.
nlohmann::json jsonNumber(double value);

/// Runs a parser function. @return its result, or nothing if the document has an unexpected form.
template <typename Value, typename Parse>
std::optional<Value> tryParse(Parse parse) {
    try {
        return parse();
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    } catch (const std::logic_error&) {
        return std::nullopt;
    }
}

/// Parses the items of a list. @return the parsed items; invalid ones are skipped.
template <typename Value, typename Parse>
std::vector<Value> tryParseItems(const std::vector<nlohmann::json>& items, Parse parse) {
    std::vector<Value> values;
    for (const auto& item : items) {
        if (auto value = tryParse<Value>([&] { return parse(item); })) {
            values.push_back(std::move(*value));
        }
    }
    return values;
}

}  // namespace dewcrank::adapters
