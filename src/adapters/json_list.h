/// @file
/// Parses JSON of external systems, with bounds, so that one odd entry of a list leaves the others.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace dewcrank::adapters {

/// Deepest nesting of a document that is accepted. Copies and comparisons of a document recurse.
inline constexpr int kMaxJsonDepth = 64;

/// Parses a document. @throws nlohmann::json::exception if it is no JSON, std::invalid_argument if it is nested deeper
/// than kMaxJsonDepth.
nlohmann::json parseJson(std::string_view text);

/// A document with a list, whose items are apart from it.
struct JsonList {
    nlohmann::json document;            ///< Without the items.
    std::vector<nlohmann::json> items;  ///< Those that are valid, in order.
    std::size_t skipped = 0;            ///< Items that are no JSON, or nested too deep.
};

/// Parses an object with the array `field`. An item that cannot be parsed is skipped.
/// @throws as parseJson() if the rest of the document is invalid, std::invalid_argument if it has no such array.
JsonList parseJsonList(std::string_view text, std::string_view field);

}  // namespace dewcrank::adapters
