#include "src/policy/table_rows.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <sstream>

#include "src/policy/tenant_index.h"

namespace dewcrank::policy {

namespace {

constexpr const char* kStep = "table";
constexpr const char* kRoute = "route";
constexpr const char* kService = "service";
constexpr const char* kTenant = "tenant";
constexpr const char* kLimits = "limits";
constexpr const char* kOnlyLimits = "limits/callers";
constexpr std::uint32_t kLongestMs = 600'000;
constexpr std::uint32_t kMostBytes = 1U << 30U;
constexpr std::uint32_t kMostAttempts = 10;
constexpr std::uint32_t kLeastUrgent = 7;
constexpr std::uint32_t kMostConnections = 100'000;
constexpr std::uint32_t kMostWeight = 10'000;
constexpr double kMostTokens = 1e9;
/// Before the fingerprint of a key that a tenant has already.
constexpr char kFingerprintMark = '#';

std::string cellPlace(const std::string& row, const std::string& column) {
    return row + "." + column;
}

std::string gotAndAllowed(const std::string& value, const std::string& allowed) {
    return "got '" + value + "', allowed: " + allowed;
}

/// Reads a whole number; nothing if the text is none or it is out of the limits.
std::optional<std::uint32_t> numberIn(std::string_view text, std::uint32_t least, std::uint32_t most) {
    std::uint32_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool is_number = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return is_number && number >= least && number <= most ? std::optional(number) : std::nullopt;
}

/// One column of the rows that a message holds.
template <typename Message>
struct Column {
    const char* name;
    std::string allowed;
    const char* meaning;
    std::function<std::string(const Message&)> get;
    std::function<bool(Message*, const std::string&)> set;  ///< False: the value is not allowed.
    bool is_secret = false;                                 ///< Errors do not repeat the value.
};

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
        text += (text.empty() ? "" : " ") + (kFingerprintMark + keyFingerprint(key));
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
        const auto known = std::find_if(present.begin(), present.end(), [&](const auto& key) {
            return kFingerprintMark + keyFingerprint(key) == word;
        });
        if (known == present.end()) {
            return false;
        }
        read.add_keys(*known);
    }
    tenant->mutable_keys()->Swap(read.mutable_keys());
    return true;
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

template <typename Message>
std::vector<ColumnInfo> infosOf(const std::vector<Column<Message>>& columns) {
    std::vector<ColumnInfo> infos;
    infos.reserve(columns.size());
    for (const auto& column : columns) {
        infos.push_back({column.name, column.allowed, column.meaning});
    }
    return infos;
}

template <typename Message>
RowCells cellsOf(const Message& message, const std::vector<Column<Message>>& columns) {
    RowCells cells;
    for (const auto& column : columns) {
        cells[column.name] = column.get(message);
    }
    return cells;
}

template <typename Message>
Result<void> setIn(Message* message, const std::vector<Column<Message>>& columns, const std::string& row,
                   const std::string& column, const std::string& value) {
    const auto found =
        std::find_if(columns.begin(), columns.end(), [&](const auto& candidate) { return column == candidate.name; });
    if (found == columns.end()) {
        return stepError(kStep, cellPlace(row, column), "there is no such column");
    }
    Message changed = *message;
    if (!found->set(&changed, value)) {
        const auto shown = found->is_secret ? "a value that is not shown" : value;
        return stepError(kStep, cellPlace(row, column), gotAndAllowed(shown, found->allowed));
    }
    *message = changed;
    return {};
}

std::string nameIn(const std::string& row) {
    const auto slash = row.find('/');
    return slash == std::string::npos ? "" : row.substr(slash + 1);
}

/// The message of a name in a repeated field; null if there is none.
template <typename Messages>
auto* findIn(Messages* messages, const std::string& name) {
    const auto found =
        std::find_if(messages->begin(), messages->end(), [&](const auto& message) { return message.name() == name; });
    return found == messages->end() ? nullptr : &*found;
}

template <typename Messages>
bool removeIn(Messages* messages, const std::string& name) {
    const auto found =
        std::find_if(messages->begin(), messages->end(), [&](const auto& message) { return message.name() == name; });
    if (found == messages->end()) {
        return false;
    }
    messages->erase(found);
    return true;
}

boost::leaf::error_id noSuchRow(const std::string& row) {
    return stepError(kStep, row, "there is no such row");
}

bool goesTo(const wire::Route& route, const std::string& service) {
    return std::any_of(route.parts().begin(), route.parts().end(),
                       [&](const auto& part) { return part.service() == service; });
}

}  // namespace

const std::vector<std::string>& rowTypes() {
    static const std::vector<std::string> types = {kRoute, kService, kTenant, kLimits};
    return types;
}

std::vector<ColumnInfo> columnsOf(std::string_view type) {
    if (type == kRoute) {
        return infosOf(routeColumns());
    }
    if (type == kService) {
        return infosOf(serviceColumns());
    }
    if (type == kTenant) {
        return infosOf(tenantColumns());
    }
    return type == kLimits ? infosOf(limitColumns()) : std::vector<ColumnInfo>();
}

std::string_view rowTypeOf(std::string_view row) {
    return row.substr(0, row.find('/'));
}

std::map<std::string, RowCells> rowsOf(const wire::RouteTable& table) {
    std::map<std::string, RowCells> rows;
    for (const auto& route : table.routes()) {
        rows[std::string(kRoute) + "/" + route.name()] = cellsOf(route, routeColumns());
    }
    for (const auto& service : table.services()) {
        rows[std::string(kService) + "/" + service.name()] = cellsOf(service, serviceColumns());
    }
    for (const auto& tenant : table.tenants()) {
        rows[std::string(kTenant) + "/" + tenant.name()] = cellsOf(tenant, tenantColumns());
    }
    rows[kOnlyLimits] = cellsOf(table.limits(), limitColumns());
    return rows;
}

Result<void> setCell(wire::RouteTable* table, const std::string& row, const std::string& column,
                     const std::string& value) {
    const auto name = nameIn(row);
    if (row == kOnlyLimits) {
        return setIn(table->mutable_limits(), limitColumns(), row, column, value);
    }
    if (rowTypeOf(row) == kRoute) {
        auto* route = findIn(table->mutable_routes(), name);
        return route == nullptr ? noSuchRow(row) : setIn(route, routeColumns(), row, column, value);
    }
    if (rowTypeOf(row) == kService) {
        auto* service = findIn(table->mutable_services(), name);
        return service == nullptr ? noSuchRow(row) : setIn(service, serviceColumns(), row, column, value);
    }
    if (rowTypeOf(row) == kTenant) {
        auto* tenant = findIn(table->mutable_tenants(), name);
        return tenant == nullptr ? noSuchRow(row) : setIn(tenant, tenantColumns(), row, column, value);
    }
    return noSuchRow(row);
}

Result<void> putRow(wire::RouteTable* table, const std::string& row, const RowCells& cells) {
    const auto type = rowTypeOf(row);
    const auto name = nameIn(row);
    const bool is_known_type = type == kRoute || type == kService || type == kTenant;
    if (row != kOnlyLimits && (!is_known_type || name.empty())) {
        return stepError(kStep, row, "rows are route/NAME, service/NAME, tenant/NAME and limits/callers");
    }
    if (type == kRoute && findIn(table->mutable_routes(), name) == nullptr) {
        auto* route = table->add_routes();
        route->set_name(name);
        route->set_max_attempts(1);
    } else if (type == kService && findIn(table->mutable_services(), name) == nullptr) {
        table->add_services()->set_name(name);
    } else if (type == kTenant && findIn(table->mutable_tenants(), name) == nullptr) {
        table->add_tenants()->set_name(name);
    }
    for (const auto& [column, value] : cells) {
        BOOST_LEAF_CHECK(setCell(table, row, column, value));
    }
    return {};
}

Result<void> removeRow(wire::RouteTable* table, const std::string& row) {
    const auto name = nameIn(row);
    if (rowTypeOf(row) == kRoute && removeIn(table->mutable_routes(), name)) {
        return {};
    }
    if (rowTypeOf(row) == kTenant && removeIn(table->mutable_tenants(), name)) {
        return {};
    }
    if (rowTypeOf(row) != kService || findIn(table->mutable_services(), name) == nullptr) {
        return noSuchRow(row);
    }
    for (const auto& route : table->routes()) {
        if (goesTo(route, name)) {
            return stepError(kStep, row, "route/" + route.name() + " goes to it");
        }
    }
    removeIn(table->mutable_services(), name);
    return {};
}

namespace {

/// A key tells which tenant calls, so it belongs to one.
Result<void> checkTenants(const wire::RouteTable& table) {
    std::map<std::string_view, std::string_view> owners;
    for (const auto& tenant : table.tenants()) {
        const auto row = std::string(kTenant) + "/" + tenant.name();
        for (const auto& key : tenant.keys()) {
            const auto [found, is_new] = owners.emplace(key, tenant.name());
            if (!is_new) {
                return stepError(kStep, cellPlace(row, "keys"),
                                 kFingerprintMark + keyFingerprint(key) + " is a key of tenant/" +
                                     std::string(found->second) + " already");
            }
        }
    }
    return {};
}

}  // namespace

Result<void> checkTable(const wire::RouteTable& table) {
    BOOST_LEAF_CHECK(checkTenants(table));
    for (const auto& route : table.routes()) {
        const auto row = std::string(kRoute) + "/" + route.name();
        for (const auto& column : routeColumns()) {
            auto copy = route;
            const auto value = column.get(route);
            if (!column.set(&copy, value)) {
                return stepError(kStep, cellPlace(row, column.name), gotAndAllowed(value, column.allowed));
            }
        }
        for (const auto& part : route.parts()) {
            const auto& services = table.services();
            if (std::none_of(services.begin(), services.end(),
                             [&](const auto& service) { return service.name() == part.service(); })) {
                return stepError(kStep, cellPlace(row, "services"), "there is no service/" + part.service());
            }
        }
    }
    return {};
}

}  // namespace dewcrank::policy
