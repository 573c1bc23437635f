/// @file
/// Structured log: each event is one line of key=value pairs.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dewcrank {

/// A log event: a name and an ordered list of fields.
class Event {
public:
    struct Field {
        std::string key;
        std::string value;
    };

    explicit Event(std::string_view name) : name_(name) {}

    /// Appends a field.
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
    /// The event as `event=name key=value ...`, without a line break. Empty values and values with spaces, quotes or
    /// `=` are quoted.
    [[nodiscard]] std::string line() const;

private:
    std::string name_;
    std::vector<Field> fields_;
};

/// Sink for log events.
class EventLog {
public:
    virtual ~EventLog() = default;
    virtual void write(const Event& event) = 0;
    /// Checked before a frequent event is built. @return false if the rate limit would drop an event of this name now;
    /// the event then counts as dropped.
    [[nodiscard]] virtual bool accepts(std::string_view) { return true; }
};

}  // namespace dewcrank
