/// @file
/// Structured log: one event, one line of key=value pairs.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dewcrank {

/// One event with its fields, in order.
class Event {
public:
    struct Field {
        std::string key;
        std::string value;
    };

    explicit Event(std::string_view name) : name_(name) {}

    Event& with(std::string_view key, std::string_view value) {
        fields_.push_back({std::string(key), std::string(value)});
        return *this;
    }
    Event& with(std::string_view key, const char* value) { return with(key, std::string_view(value)); }
    template <typename Number>
    requires std::is_arithmetic_v<Number> Event& with(std::string_view key, Number value) {
        return with(key, std::string_view(std::to_string(value)));
    }

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }
    /// The event as `event=name key=value ...`; values with blanks are quoted.
    [[nodiscard]] std::string line() const;

private:
    std::string name_;
    std::vector<Field> fields_;
};

class EventLog {
public:
    virtual ~EventLog() = default;
    virtual void write(const Event& event) = 0;
    /// False if an event of this name would not be kept now, which is counted as if it had been
    /// written: asked before an event that is frequent is put together.
    [[nodiscard]] virtual bool takes(std::string_view) { return true; }
};

}  // namespace dewcrank
