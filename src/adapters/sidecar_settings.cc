#include "src/adapters/sidecar_settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <map>
#include <sstream>

namespace dewcrank::adapters {

namespace {

constexpr const char* kStep = "settings";
constexpr double kMaxMs = 600'000;
constexpr double kMaxSeconds = 3600;
constexpr double kMaxSlack = 1e6;

/// Value of a key as text, with its location in the file.
struct SourceValue {
    std::string location;  ///< "file:line".
    std::string text;
};

/// Parser and printer of one key.
struct SettingKey {
    const char* name;
    bool is_required;
    std::function<Result<void>(SidecarSettings&, const SourceValue&)> read;
    std::function<std::string(const SidecarSettings&)> print;
};

std::string numberText(double number) {
    std::ostringstream text;
    text << number;
    return text.str();
}

Result<double> parseNumber(const SourceValue& source, const char* key, double min, double max) {
    double value = 0;
    const auto& text = source.text;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = result.ec == std::errc() && result.ptr == text.data() + text.size();
    if (!is_number || value < min || value > max) {
        return stepError(
            kStep, source.location,
            std::string(key) + ": '" + text + "' is not a number from " + numberText(min) + " to " + numberText(max));
    }
    return value;
}

SettingKey stringKey(const char* name, std::string SidecarSettings::*member) {
    return {name, true,
            [name, member](SidecarSettings& settings, const SourceValue& source) -> Result<void> {
                if (source.text.empty()) {
                    return stepError(kStep, source.location, std::string(name) + ": must not be empty");
                }
                settings.*member = source.text;
                return {};
            },
            [member](const SidecarSettings& settings) { return settings.*member; }};
}

SettingKey addressKey(const char* name, SocketAddress SidecarSettings::*member) {
    return {name, true,
            [name, member](SidecarSettings& settings, const SourceValue& source) -> Result<void> {
                const auto address = parseSocketAddress(source.text);
                if (!address) {
                    return stepError(
                        kStep, source.location,
                        std::string(name) + ": '" + source.text + "' is not ip:port with a numeric IPv4 address");
                }
                settings.*member = *address;
                return {};
            },
            [member](const SidecarSettings& settings) { return (settings.*member).text(); }};
}

SettingKey optionalAddressKey(const char* name, std::optional<SocketAddress> SidecarSettings::*member) {
    return {name, false,
            [name, member](SidecarSettings& settings, const SourceValue& source) -> Result<void> {
                settings.*member = parseSocketAddress(source.text);
                if (!(settings.*member) && !source.text.empty()) {
                    return stepError(
                        kStep, source.location,
                        std::string(name) + ": '" + source.text + "' is not ip:port with a numeric IPv4 address");
                }
                return {};
            },
            [member](const SidecarSettings& settings) {
                return settings.*member ? (settings.*member)->text() : std::string();
            }};
}

/// Comma-separated addresses; may be empty.
SettingKey addressListKey(const char* name, std::vector<SocketAddress> SidecarSettings::*member) {
    return {name, false,
            [name, member](SidecarSettings& settings, const SourceValue& source) -> Result<void> {
                std::istringstream items(source.text);
                for (std::string item; std::getline(items, item, ',');) {
                    const auto address = parseSocketAddress(item);
                    if (!address) {
                        return stepError(
                            kStep, source.location,
                            std::string(name) + ": '" + item + "' is not ip:port with a numeric IPv4 address");
                    }
                    (settings.*member).push_back(*address);
                }
                return {};
            },
            [member](const SidecarSettings& settings) {
                std::string text;
                for (const auto& address : settings.*member) {
                    text += (text.empty() ? "" : ",") + address.text();
                }
                return text;
            }};
}

SettingKey numberKey(const char* name, double min, double max, const std::function<void(SidecarSettings&, double)>& set,
                     const std::function<double(const SidecarSettings&)>& get) {
    return {name, false,
            [=](SidecarSettings& settings, const SourceValue& source) -> Result<void> {
                if (source.text.empty()) {
                    return {};  // Keeps the default.
                }
                BOOST_LEAF_AUTO(value, parseNumber(source, name, min, max));
                set(settings, value);
                return {};
            },
            [get](const SidecarSettings& settings) { return numberText(get(settings)); }};
}

/// A switch: "true" or a number above 0 is on; "false", 0 or an empty text is off.
SettingKey switchKey(const char* name, bool OverloadFeatures::*member) {
    return {name, false,
            [name, member](SidecarSettings& settings, const SourceValue& source) -> Result<void> {
                auto& is_on = settings.overload.*member;
                if (source.text.empty() || source.text == "true" || source.text == "false") {
                    is_on = source.text == "true";
                    return {};
                }
                double value = 0;
                const auto* const end = source.text.data() + source.text.size();
                const auto result = std::from_chars(source.text.data(), end, value);
                if (result.ec != std::errc() || result.ptr != end || !(value >= 0)) {
                    return stepError(
                        kStep, source.location,
                        std::string(name) + ": '" + source.text + "' is neither true, false nor a number from 0");
                }
                is_on = value > 0;
                return {};
            },
            [member](const SidecarSettings& settings) { return settings.overload.*member ? "true" : "false"; }};
}

Duration milliseconds(double value) {
    return Duration(static_cast<std::int64_t>(value * 1e3));
}

double inMilliseconds(Duration duration) {
    return static_cast<double>(duration.count()) / 1e3;
}

const std::vector<SettingKey>& keys() {
    static const std::vector<SettingKey> all = {
        stringKey("name", &SidecarSettings::name),
        stringKey("zone", &SidecarSettings::zone),
        stringKey("service", &SidecarSettings::service),
        addressKey("listen.callers", &SidecarSettings::callers),
        addressKey("listen.nodes", &SidecarSettings::nodes),
        addressKey("listen.heartbeats", &SidecarSettings::heartbeats),
        addressKey("listen.readiness", &SidecarSettings::readiness),
        optionalAddressKey("listen.nodes_advertised", &SidecarSettings::nodes_advertised),
        optionalAddressKey("listen.metrics", &SidecarSettings::metrics),
        addressKey("instance.address", &SidecarSettings::instance),
        addressKey("store.address", &SidecarSettings::store),
        addressListKey("fleet.seeds", &SidecarSettings::seeds),
        numberKey(
            "instance.heartbeat_ms", 1, kMaxMs,
            [](SidecarSettings& settings, double value) { settings.heartbeat_interval = milliseconds(value); },
            [](const SidecarSettings& settings) { return inMilliseconds(settings.heartbeat_interval); }),
        numberKey(
            "retries.ratio", 0, 1, [](SidecarSettings& settings, double value) { settings.retry_limit.ratio = value; },
            [](const SidecarSettings& settings) { return settings.retry_limit.ratio; }),
        numberKey(
            "retries.slack", 0, kMaxSlack,
            [](SidecarSettings& settings, double value) { settings.retry_limit.slack = value; },
            [](const SidecarSettings& settings) { return settings.retry_limit.slack; }),
        numberKey(
            "retries.window_s", 1, kMaxSeconds,
            [](SidecarSettings& settings, double value) { settings.retry_limit.window = milliseconds(value * 1e3); },
            [](const SidecarSettings& settings) { return inMilliseconds(settings.retry_limit.window) / 1e3; }),
        numberKey(
            "keys.revocation_ms", 0, kMaxMs,
            [](SidecarSettings& settings, double value) { settings.key_revocation = milliseconds(value); },
            [](const SidecarSettings& settings) { return inMilliseconds(settings.key_revocation); }),
        numberKey(
            "stop.grace_s", 1, kMaxSeconds,
            [](SidecarSettings& settings, double value) { settings.stop_grace = milliseconds(value * 1e3); },
            [](const SidecarSettings& settings) { return inMilliseconds(settings.stop_grace) / 1e3; }),
        switchKey("overload.pace_balancing", &OverloadFeatures::pace_balancing),
        switchKey("overload.zone_balancing", &OverloadFeatures::zone_balancing),
        switchKey("overload.call_samples", &OverloadFeatures::call_samples),
        switchKey("overload.retry_admission", &OverloadFeatures::retry_admission),
        switchKey("overload.fair_shares", &OverloadFeatures::fair_shares),
        switchKey("overload.return_priority", &OverloadFeatures::return_priority),
    };
    return all;
}

std::string locationOf(const std::string& file, const toml::node& value) {
    return file + ":" + std::to_string(value.source().begin.line);
}

Result<void> collectValues(const std::string& file, const std::string& prefix, const toml::table& table,
                           std::map<std::string, SourceValue>& values) {
    for (const auto& [name, value] : table) {
        const auto key = prefix + std::string(name.str());
        if (value.is_table()) {
            BOOST_LEAF_CHECK(collectValues(file, key + ".", *value.as_table(), values));
            continue;
        }
        const auto known = std::any_of(keys().begin(), keys().end(),
                                       [&](const SettingKey& candidate) { return key == candidate.name; });
        if (!known) {
            return stepError(kStep, locationOf(file, value), key + ": unknown key");
        }
        SourceValue source{locationOf(file, value), ""};
        if (const auto text = value.value<std::string>()) {
            source.text = *text;
        } else if (const auto flag = value.value_exact<bool>()) {
            source.text = *flag ? "true" : "false";
        } else if (const auto number = value.value<double>()) {
            source.text = numberText(*number);
        } else {
            return stepError(kStep, source.location, key + ": a string, a number or a boolean is expected");
        }
        values[key] = source;
    }
    return {};
}

}  // namespace

Result<SidecarSettings> readSidecarSettings(const std::string& file) {
    toml::table root;
    try {
        root = toml::parse_file(file);
    } catch (const toml::parse_error& error) {
        const auto line = error.source().begin.line;
        return stepError(kStep, file + ":" + std::to_string(line), std::string(error.description()));
    }
    std::map<std::string, SourceValue> values;
    BOOST_LEAF_CHECK(collectValues(file, "", root, values));
    SidecarSettings settings;
    for (const auto& key : keys()) {
        const auto found = values.find(key.name);
        if (found == values.end()) {
            if (key.is_required) {
                return stepError(kStep, file, std::string(key.name) + ": is missing");
            }
            continue;
        }
        BOOST_LEAF_CHECK(key.read(settings, found->second));
    }
    return settings;
}

std::string describeSidecarSettings(const SidecarSettings& settings) {
    std::string text;
    for (const auto& key : keys()) {
        text += std::string(key.name) + " = " + key.print(settings) + "\n";
    }
    return text;
}

}  // namespace dewcrank::adapters
