#include "src/policy/table_columns.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>

#include "src/policy/route_table.h"
#include "src/policy/tenant_index.h"

namespace dewcrank::policy {

namespace {

constexpr std::uint32_t kLongestMs = 600'000;
constexpr std::uint32_t kMostBytes = 1U << 30U;
constexpr std::uint32_t kMostAttempts = 10;
constexpr std::uint32_t kLeastUrgent = kPriorities - 1;
constexpr std::uint32_t kMostConnections = 100'000;
constexpr std::uint32_t kMostWeight = 10'000;
constexpr double kMostTokens = 1e9;

/// Reads a whole number; nothing if the text is none or it is out of the limits.
std::optional<std::uint32_t> numberIn(std::string_view text, std::uint32_t least, std::uint32_t most) {
    std::uint32_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool is_number = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return is_number && number >= least && number <= most ? std::optional(number) : std::nullopt;
}

template <typename Message>
Column<Message> numberColumn(const char* name, std::uint32_t least, std::uint32_t most, const char* meaning,
                             std::uint32_t (Message::*get)() const, void (Message::*set)(std::uint32_t)) {
    return {name, "a whole number from " + std::to_string(least) + " to " + std::to_string(most), meaning,
            [get](const Message& message) { return std::to_string((message.*get)()); },
            [=](Message* message, const std::string& value) {
                const auto number = numberIn(value, least, most);
                if (number) {
                    (message->*set)(*number);
                }
                return number.has_value();
            }};
}

bool isPrefixOfPaths(const std::string& text) {
    return !text.empty() && text.front() == '/' && text.back() == '/';
}

bool isHost(const std::string& text) {
    return !text.empty() && text.find_first_of(" \t/:") == std::string::npos;
}

std::string partsText(const wire::Route& route) {
    if (route.parts_size() == 1) {
        return route.parts(0).service();
    }
    std::string text;
    for (const auto& part : route.parts()) {
        text += (text.empty() ? "" : " ") + part.service() + ":" + std::to_string(part.weight());
    }
    return text;
}

/// "desk", or "desk:90 browse:10".
bool setParts(wire::Route* route, const std::string& value) {
    wire::Route read;
    std::istringstream words(value);
    std::string word;
    while (words >> word) {
        const auto colon = word.find(':');
        auto* part = read.add_parts();
        part->set_service(word.substr(0, colon));
        part->set_weight(1);
        if (colon != std::string::npos) {
            const auto weight = numberIn(std::string_view(word).substr(colon + 1), 0, kMostWeight);
            if (!weight) {
                return false;
            }
            part->set_weight(*weight);
        }
        if (part->service().empty()) {
            return false;
        }
    }
    const auto& parts = read.parts();
    if (std::none_of(parts.begin(), parts.end(), [](const auto& part) { return part.weight() > 0; })) {
        return false;
    }
    route->mutable_parts()->Swap(read.mutable_parts());
    return true;
}

std::string decimalText(double number) {
    std::ostringstream text;
    text << number;
    return text.str();
}

Column<wire::Tenant> tokensColumn(const char* name, const char* meaning, double (wire::Tenant::*get)() const,
                                  void (wire::Tenant::*set)(double)) {
    return {name, "a number from 0 to " + decimalText(kMostTokens), meaning,
            [get](const wire::Tenant& it) { return decimalText((it.*get)()); },
            [set](wire::Tenant* it, const std::string& value) {
                double number = 0;
                const auto end = value.data() + value.size();
                const auto result = std::from_chars(value.data(), end, number);
                const bool is_allowed =
                    result.ec == std::errc() && result.ptr == end && number >= 0 && number <= kMostTokens;
                if (is_allowed) {
                    (it->*set)(number);
                }
                return is_allowed;
            }};
}

std::string keysText(const wire::Tenant& tenant) {
    std::string text;
    for (const auto& key : tenant.keys()) {
        text += (text.empty() ? "" : " ") + keyFingerprint(key);
    }
    return text;
}

/// The keys that are to be: new ones as they are, present ones by their fingerprints.
bool setKeys(wire::Tenant* tenant, const std::string& value) {
    wire::Tenant read;
    std::istringstream words(value);
    std::string word;
    while (words >> word) {
        if (word.front() != kFingerprintMark) {
            read.add_keys(word);
            continue;
        }
        const auto& present = tenant->keys();
        const auto known =
            std::find_if(present.begin(), present.end(), [&](const auto& key) { return keyFingerprint(key) == word; });
        if (known == present.end()) {
            return false;
        }
        read.add_keys(*known);
    }
    tenant->mutable_keys()->Swap(read.mutable_keys());
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
        {"prefix", "a path that begins and ends with a slash", "begin of the requests' path",
         [](const Route& it) { return it.prefix(); },
         [](Route* it, const std::string& value) {
             it->set_prefix(value);
             return isPrefixOfPaths(value);
         }},
        {"services", "a service, or services with weights: 'desk:90 browse:10'", "where the requests go", partsText,
         setParts},
        {"repeatable", "true or false", "false: a request is sent to an instance once",
         [](const Route& it) { return std::string(it.is_repeatable() ? "true" : "false"); },
         [](Route* it, const std::string& value) {
             it->set_is_repeatable(value == "true");
             return value == "true" || value == "false";
         }},
        numberColumn<Route>("priority", 0, kLeastUrgent, "0 is refused last", &Route::priority, &Route::set_priority),
        numberColumn<Route>("attempts", 1, kMostAttempts, "instances that a request may be sent to",
                            &Route::max_attempts, &Route::set_max_attempts),
        numberColumn<Route>("timeout_ms", 1, kLongestMs, "milliseconds that a request is held at most",
                            &Route::timeout_ms, &Route::set_timeout_ms),
        {"open", "true or false", "true: takes requests without a key where the table has tenants",
         [](const Route& it) { return std::string(it.is_open() ? "true" : "false"); },
         [](Route* it, const std::string& value) {
             it->set_is_open(value == "true");
             return value == "true" || value == "false";
         }},
        numberColumn<Route>("objective_ms", 1, kLongestMs, "milliseconds within which an answer is in time",
                            &Route::objective_ms, &Route::set_objective_ms),
    };
    return columns;
}

const std::vector<Column<wire::ServiceEntry>>& serviceColumns() {
    using wire::ServiceEntry;
    static const std::vector<Column<ServiceEntry>> columns = {
        {"health_path", "a path that begins with a slash", "GET there answers 200 at a sound instance",
         [](const ServiceEntry& it) { return it.health_path(); },
         [](ServiceEntry* it, const std::string& value) {
             it->set_health_path(value);
             return value.starts_with('/');
         }},
        numberColumn<ServiceEntry>("connections", 1, kMostConnections, "connections that an instance takes",
                                   &ServiceEntry::max_connections, &ServiceEntry::set_max_connections),
    };
    return columns;
}

const std::vector<Column<wire::Tenant>>& tenantColumns() {
    using wire::Tenant;
    static const std::vector<Column<Tenant>> columns = {
        {"keys", "new keys, and present ones by their #fingerprints, parted by blanks",
         "whoever shows one of them is this tenant; shown by fingerprint only", keysText, setKeys, true},
        {"priority", "a whole number from 0 to " + std::to_string(kLeastUrgent) + ", or -",
         "of its requests, in place of their routes'; -: their routes'",
         [](const Tenant& it) { return it.has_priority() ? std::to_string(it.priority()) : std::string("-"); },
         [](Tenant* it, const std::string& value) {
             const auto number = numberIn(value, 0, kLeastUrgent);
             number ? it->set_priority(*number) : it->clear_priority();
             return number.has_value() || value == "-";
         }},
        tokensColumn("rate_per_s", "requests a second over all nodes; 0: no limit", &Tenant::rate_per_s,
                     &Tenant::set_rate_per_s),
        tokensColumn("burst", "requests on top of the rate, at once", &Tenant::burst, &Tenant::set_burst),
    };
    return columns;
}

const std::vector<Column<wire::CallerLimits>>& limitColumns() {
    using Limits = wire::CallerLimits;
    static const std::vector<Column<Limits>> columns = {
        numberColumn<Limits>("header_bytes", 1, kMostBytes, "bytes of a request's head", &Limits::header_bytes,
                             &Limits::set_header_bytes),
        numberColumn<Limits>("body_bytes", 1, kMostBytes, "bytes of a request's body", &Limits::body_bytes,
                             &Limits::set_body_bytes),
        numberColumn<Limits>("header_timeout_ms", 1, kLongestMs, "milliseconds that a head may take",
                             &Limits::header_timeout_ms, &Limits::set_header_timeout_ms),
        numberColumn<Limits>("idle_timeout_ms", 1, kLongestMs, "milliseconds that a connection may rest",
                             &Limits::idle_timeout_ms, &Limits::set_idle_timeout_ms),
    };
    return columns;
}

}  // namespace dewcrank::policy
