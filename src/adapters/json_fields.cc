#include "src/adapters/json_fields.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace dewcrank::adapters {

namespace {

constexpr int kHexadecimalBase = 16;
constexpr std::uint32_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
/// Every integer up to this one has a floating point number of its own.
constexpr double kMaxExactInteger = 9007199254740992;

const nlohmann::json& requireField(const nlohmann::json& object, const char* field) {
    if (!object.is_object() || !object.contains(field)) {
        throwFieldError(field, "a value");
    }
    return object[field];
}

}  // namespace

void throwFieldError(const std::string& field, const char* expected) {
    throw std::invalid_argument(field + ": " + expected + " is expected");
}

std::string requireText(const char* field, std::string_view text) {
    std::string copy(text);
    try {
        static_cast<void>(nlohmann::json(copy).dump());  // Throws for bytes that are not UTF-8.
    } catch (const nlohmann::json::type_error&) {
        throwFieldError(field, "a text in UTF-8");
    }
    if (copy.empty()) {
        throwFieldError(field, "a text");
    }
    return copy;
}

const nlohmann::json& requireObject(const nlohmann::json& parent, const char* field) {
    const auto& value = requireField(parent, field);
    if (!value.is_object()) {
        throwFieldError(field, "an object");
    }
    return value;
}

std::string requireString(const nlohmann::json& object, const char* field) {
    const auto& value = requireField(object, field);
    if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
        throwFieldError(field, "a text");
    }
    return value.get<std::string>();
}

std::uint64_t requireInteger(const nlohmann::json& object, const char* field, std::uint64_t min, std::uint64_t max) {
    const auto& value = requireField(object, field);
    const bool is_unsigned = value.is_number_unsigned();
    if (!is_unsigned || value.get<std::uint64_t>() < min || value.get<std::uint64_t>() > max) {
        throwFieldError(field, "a whole number in its range");
    }
    return value.get<std::uint64_t>();
}

std::uint64_t optionalInteger(const nlohmann::json& object, const char* field, std::uint64_t fallback,
                              std::uint64_t max) {
    const bool has_field = object.is_object() && object.contains(field);
    return has_field ? requireInteger(object, field, 0, max) : fallback;
}

std::uint32_t requireUint32(const nlohmann::json& object, const char* field) {
    return static_cast<std::uint32_t>(requireInteger(object, field, 0, kMaxUint32));
}

std::uint32_t optionalUint32(const nlohmann::json& object, const char* field, std::uint32_t fallback) {
    return static_cast<std::uint32_t>(optionalInteger(object, field, fallback, kMaxUint32));
}

std::uint64_t requireHexadecimal(const nlohmann::json& object, const char* field) {
    const auto text = requireString(object, field);
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number, kHexadecimalBase);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        throwFieldError(field, "a hexadecimal number");
    }
    return number;
}

nlohmann::json jsonNumber(double value) {
    const bool is_in_range = std::abs(value) <= kMaxExactInteger;
    const auto integer = is_in_range ? static_cast<std::int64_t>(value) : 0;
    return is_in_range && static_cast<double>(integer) == value ? nlohmann::json(integer) : nlohmann::json(value);
}

double requireNumber(const nlohmann::json& object, const char* field) {
    const auto& value = requireField(object, field);
    if (!value.is_number() || value.get<double>() < 0) {
        throwFieldError(field, "a number from 0 on");
    }
    return value.get<double>();
}

}  // namespace dewcrank::adapters
