#include "src/adapters/json_fields.h"

#include <stdexcept>

namespace dewcrank::adapters {

namespace {

const nlohmann::json& requireField(const nlohmann::json& object, const char* field) {
    if (!object.is_object() || !object.contains(field)) {
        refuseField(field, "a value");
    }
    return object[field];
}

}  // namespace

void refuseField(const std::string& field, const char* expected) {
    throw std::invalid_argument(field + ": " + expected + " is expected");
}

const nlohmann::json& objectIn(const nlohmann::json& parent, const char* field) {
    const auto& value = requireField(parent, field);
    if (!value.is_object()) {
        refuseField(field, "an object");
    }
    return value;
}

std::string textIn(const nlohmann::json& object, const char* field) {
    const auto& value = requireField(object, field);
    if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
        refuseField(field, "a text");
    }
    return value.get<std::string>();
}

std::uint64_t wholeIn(const nlohmann::json& object, const char* field, std::uint64_t min, std::uint64_t max) {
    const auto& value = requireField(object, field);
    const bool is_unsigned = value.is_number_unsigned();
    if (!is_unsigned || value.get<std::uint64_t>() < min || value.get<std::uint64_t>() > max) {
        refuseField(field, "a whole number in its range");
    }
    return value.get<std::uint64_t>();
}

nlohmann::json numberOf(double value) {
    const auto whole = static_cast<std::int64_t>(value);
    return static_cast<double>(whole) == value ? nlohmann::json(whole) : nlohmann::json(value);
}

double numberIn(const nlohmann::json& object, const char* field) {
    const auto& value = requireField(object, field);
    if (!value.is_number() || value.get<double>() < 0) {
        refuseField(field, "a number from 0 on");
    }
    return value.get<double>();
}

}  // namespace dewcrank::adapters
