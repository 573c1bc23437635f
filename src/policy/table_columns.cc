#include "src/policy/table_columns.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>

#include "src/policy/route_table.h"
#include "src/policy/tenant_index.h"

namespace dewcrank::policy {

namespace {

constexpr std::uint32_t kMaxMs = 600'000;
constexpr std::uint32_t kMaxBytes = 1U << 30U;
constexpr std::uint32_t kMaxAttempts = 10;
constexpr std::uint32_t kLowestPriority = kPriorities - 1;
constexpr std::uint32_t kMaxConnections = 100'000;
constexpr std::uint32_t kMaxWeight = 10'000;
constexpr double kMaxTokens = 1e9;

/// Parses an integer; returns nothing if the text is none or its value is out of range.
std::optional<std::uint32_t> parseNumber(std::string_view text, std::uint32_t min, std::uint32_t max) {
    std::uint32_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool is_number = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return is_number && number >= min && number <= max ? std::optional(number) : std::nullopt;
}

template <typename Message>
Column<Message> numberColumn(const char* name, std::uint32_t min, std::uint32_t max, const char* meaning,
                             std::uint32_t (Message::*get)() const, void (Message::*set)(std::uint32_t)) {
    return {name, "a whole number from " + std::to_string(min) + " to " + std::to_string(max), meaning,
            [get](const Message& message) { return std::to_string((message.*get)()); },
            [=](Message* message, const std::string& value) {
                const auto number = parseNumber(value, min, max);
                if (number) {
                    (message->*set)(*number);
                }
                return number.has_value();
            }};
}

bool isValidPrefix(const std::string& text) {
    return !text.empty() && text.front() == '/' && text.back() == '/';
}

bool isHost(const std::string& text) {
    return !text.empty() && text.find_first_of(" \t/:") == std::string::npos;
}

std::string formatParts(const wire::Route& route) {
    if (route.parts_size() == 1) {
        return route.parts(0).service();
    }
    std::string text;
    for (const auto& part : route.parts()) {
        text += (text.empty() ? "" : " ") + part.service() + ":" + std::to_string(part.weight());
    }
    return text;
}

/// Parses a service, or services with weights: "desk" or "desk:90 browse:10".
bool parseParts(wire::Route* route, const std::string& value) {
    wire::Route parsed;
    std::istringstream words(value);
    std::string word;
    while (words >> word) {
        const auto colon = word.find(':');
        auto* part = parsed.add_parts();
        part->set_service(word.substr(0, colon));
        part->set_weight(1);
        if (colon != std::string::npos) {
            const auto weight = parseNumber(std::string_view(word).substr(colon + 1), 0, kMaxWeight);
            if (!weight) {
                return false;
            }
            part->set_weight(*weight);
        }
        if (part->service().empty()) {
            return false;
        }
    }
    const auto& parts = parsed.parts();
    if (std::none_of(parts.begin(), parts.end(), [](const auto& part) { return part.weight() > 0; })) {
        return false;
    }
    route->mutable_parts()->Swap(parsed.mutable_parts());
    return true;
}

std::string formatNumber(double number) {
    std::ostringstream text;
    text << number;
    return text.str();
}

Column<wire::Tenant> tokensColumn(const char* name, const char* meaning, double (wire::Tenant::*get)() const,
                                  void (wire::Tenant::*set)(double)) {
    return {name, "a number from 0 to " + formatNumber(kMaxTokens), meaning,
            [get](const wire::Tenant& it) { return formatNumber((it.*get)()); },
            [set](wire::Tenant* it, const std::string& value) {
                double number = 0;
                const auto end = value.data() + value.size();
                const auto result = std::from_chars(value.data(), end, number);
                const bool is_allowed =
                    result.ec == std::errc() && result.ptr == end && number >= 0 && number <= kMaxTokens;
                if (is_allowed) {
                    (it->*set)(number);
                }
                return is_allowed;
            }};
}

std::string formatKeys(const wire::Tenant& tenant) {
    std::string text;
    for (const auto& key : tenant.keys()) {
        text += (text.empty() ? "" : " ") + keyFingerprint(key);
    }
    return text;
}

/// Replaces the keys. New keys are given in full, existing ones by their fingerprints.
bool parseKeys(wire::Tenant* tenant, const std::string& value) {
    wire::Tenant parsed;
    std::istringstream words(value);
    std::string word;
    while (words >> word) {
        if (word.front() != kFingerprintPrefix) {
            parsed.add_keys(word);
            continue;
        }
        const auto& present = tenant->keys();
        const auto known =
            std::find_if(present.begin(), present.end(), [&](const auto& key) { return keyFingerprint(key) == word; });
        if (known == present.end()) {
            return false;
        }
        parsed.add_keys(*known);
    }
    tenant->mutable_keys()->Swap(parsed.mutable_keys());
    return true;
}

}  // namespace

const std::vector<Column<wire::Route>>& routeColumns() {
    using wire::Route;
    static const std::vector<Column<Route>> columns = {
        {"host", "a host name", "Host header of the requests", [](const Route& it) { return it.host(); },
         [](Route* it, const std::string& value) {
             it->set_host(value);
             return isHost(value);
         }},
        {"prefix", "a path that begins and ends with a slash", "path prefix of the requests",
         [](const Route& it) { return it.prefix(); },
         [](Route* it, const std::string& value) {
             it->set_prefix(value);
             return isValidPrefix(value);
         }},
        {"services", "a service, or services with weights: 'desk:90 browse:10'", "services that handle the requests",
         formatParts, parseParts},
        {"repeatable", "true or false",
         "true: requests are idempotent, so that a failed one may be run again at another instance",
         [](const Route& it) { return std::string(it.is_repeatable() ? "true" : "false"); },
         [](Route* it, const std::string& value) {
             it->set_is_repeatable(value == "true");
             return value == "true" || value == "false";
         }},
        numberColumn<Route>("priority", 0, kLowestPriority, "0 is refused last", &Route::priority,
                            &Route::set_priority),
        numberColumn<Route>("attempts", 1, kMaxAttempts, "maximum number of instances that a request is sent to",
                            &Route::max_attempts, &Route::set_max_attempts),
        numberColumn<Route>("timeout_ms", 1, kMaxMs, "milliseconds until a request times out", &Route::timeout_ms,
                            &Route::set_timeout_ms),
        {"open", "true or false", "true: requests need no key, also where the table has tenants",
         [](const Route& it) { return std::string(it.is_open() ? "true" : "false"); },
         [](Route* it, const std::string& value) {
             it->set_is_open(value == "true");
             return value == "true" || value == "false";
         }},
        numberColumn<Route>("objective_ms", 1, kMaxMs,
                            "milliseconds within which a response meets the latency objective", &Route::objective_ms,
                            &Route::set_objective_ms),
    };
    return columns;
}

const std::vector<Column<wire::ServiceEntry>>& serviceColumns() {
    using wire::ServiceEntry;
    static const std::vector<Column<ServiceEntry>> columns = {
        {"health_path", "a path that begins with a slash",
         "path of the health check; a healthy instance responds with 200 to GET",
         [](const ServiceEntry& it) { return it.health_path(); },
         [](ServiceEntry* it, const std::string& value) {
             it->set_health_path(value);
             return value.starts_with('/');
         }},
        numberColumn<ServiceEntry>("connections", 1, kMaxConnections, "maximum number of connections to an instance",
                                   &ServiceEntry::max_connections, &ServiceEntry::set_max_connections),
    };
    return columns;
}

const std::vector<Column<wire::Tenant>>& tenantColumns() {
    using wire::Tenant;
    static const std::vector<Column<Tenant>> columns = {
        {"keys", "new keys, and existing ones by their #fingerprints, separated by spaces",
         "API keys of this tenant; displayed as fingerprints only", formatKeys, parseKeys, true},
        {"priority", "a whole number from 0 to " + std::to_string(kLowestPriority) + ", or -",
         "priority of its requests, in place of that of their routes; -: that of their routes",
         [](const Tenant& it) { return it.has_priority() ? std::to_string(it.priority()) : std::string("-"); },
         [](Tenant* it, const std::string& value) {
             const auto number = parseNumber(value, 0, kLowestPriority);
             number ? it->set_priority(*number) : it->clear_priority();
             return number.has_value() || value == "-";
         }},
        tokensColumn("rate_per_s", "requests a second over all nodes; 0: no limit", &Tenant::rate_per_s,
                     &Tenant::set_rate_per_s),
        tokensColumn("burst", "requests that may exceed the rate at once", &Tenant::burst, &Tenant::set_burst),
    };
    return columns;
}

const std::vector<Column<wire::CallerLimits>>& limitColumns() {
    using Limits = wire::CallerLimits;
    static const std::vector<Column<Limits>> columns = {
        numberColumn<Limits>("header_bytes", 1, kMaxBytes, "maximum bytes of a request's header section",
                             &Limits::header_bytes, &Limits::set_header_bytes),
        numberColumn<Limits>("body_bytes", 1, kMaxBytes, "maximum bytes of a request's body", &Limits::body_bytes,
                             &Limits::set_body_bytes),
        numberColumn<Limits>("header_timeout_ms", 1, kMaxMs,
                             "milliseconds until an incomplete header section times out", &Limits::header_timeout_ms,
                             &Limits::set_header_timeout_ms),
        numberColumn<Limits>("idle_timeout_ms", 1, kMaxMs, "milliseconds until an idle connection is closed",
                             &Limits::idle_timeout_ms, &Limits::set_idle_timeout_ms),
    };
    return columns;
}

}  // namespace dewcrank::policy
