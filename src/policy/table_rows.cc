#include "src/policy/table_rows.h"

#include <algorithm>

#include "src/policy/table_columns.h"
#include "src/policy/tenant_index.h"

namespace dewcrank::policy {

namespace {

constexpr const char* kStep = "table";
constexpr const char* kRoute = "route";
constexpr const char* kService = "service";
constexpr const char* kTenant = "tenant";
constexpr const char* kLimits = "limits";
constexpr const char* kOnlyLimits = "limits/callers";

std::string cellPlace(const std::string& row, const std::string& column) {
    return row + "." + column;
}

std::string gotAndAllowed(const std::string& value, const std::string& allowed) {
    return "got '" + value + "', allowed: " + allowed;
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
                return stepError(
                    kStep, cellPlace(row, "keys"),
                    keyFingerprint(key) + " is a key of tenant/" + std::string(found->second) + " already");
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
