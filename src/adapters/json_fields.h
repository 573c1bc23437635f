/// @file
/// Fields of JSON documents that others write, read strictly: what is missing, of another type or out of range is an
/// error that names the field.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace dewcrank::adapters {

/// All throw std::invalid_argument with the field's name and what is expected of it.
[[noreturn]] void throwFieldError(const std::string& field, const char* expected);
const nlohmann::json& requireObject(const nlohmann::json& parent, const char* field);
/// Not empty.
std::string requireString(const nlohmann::json& object, const char* field);
/// A whole number from `least` to `most`; a fraction is none, neither is a truth value.
std::uint64_t requireInteger(const nlohmann::json& object, const char* field, std::uint64_t min, std::uint64_t max);
/// Zero or more.
double requireNumber(const nlohmann::json& object, const char* field);

/// Whole numbers stay whole.
nlohmann::json jsonNumber(double value);

/// Runs a translation; a document of another form than it expects gives nothing.
template <typename Value, typename Translate>
std::optional<Value> tryParse(Translate translate) {
    try {
        return translate();
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    } catch (const std::logic_error&) {
        return std::nullopt;
    }
}

/// The items of a list that can be read: one of another writer leaves the others usable.
template <typename Value, typename Translate>
std::vector<Value> tryParseItems(const nlohmann::json& items, Translate translate) {
    std::vector<Value> values;
    for (const auto& item : items) {
        if (auto value = tryParse<Value>([&] { return translate(item); })) {
            values.push_back(std::move(*value));
        }
    }
    return values;
}

}  // namespace dewcrank::adapters
