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
constexpr const char* kLimitsRow = "limits/callers";

std::string cellName(const std::string& row, const std::string& column) {
    return row + "." + column;
}

std::string describeMismatch(const std::string& value, const std::string& allowed) {
    return "got '" + value + "', allowed: " + allowed;
}

template <typename Message>
std::vector<ColumnInfo> describeColumns(const std::vector<Column<Message>>& columns) {
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
Result<void> setColumn(Message* message, const std::vector<Column<Message>>& columns, const std::string& row,
                       const std::string& column, const std::string& value) {
    const auto found =
        std::find_if(columns.begin(), columns.end(), [&](const auto& candidate) { return column == candidate.name; });
    if (found == columns.end()) {
        return stepError(kStep, cellName(row, column), "there is no such column");
    }
    Message changed = *message;
    if (!found->set(&changed, value)) {
        const auto shown = found->is_secret ? "(redacted)" : value;
        return stepError(kStep, cellName(row, column), describeMismatch(shown, found->allowed));
    }
    *message = changed;
    return {};
}

std::string rowName(const std::string& row) {
    const auto slash = row.find('/');
    return slash == std::string::npos ? "" : row.substr(slash + 1);
}

/// @return the message of that name in a repeated field; null if there is none.
template <typename Messages>
auto* findByName(Messages* messages, const std::string& name) {
    const auto found =
        std::find_if(messages->begin(), messages->end(), [&](const auto& message) { return message.name() == name; });
    return found == messages->end() ? nullptr : &*found;
}

template <typename Messages>
bool removeByName(Messages* messages, const std::string& name) {
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

bool routesTo(const wire::Route& route, const std::string& service) {
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
        return describeColumns(routeColumns());
    }
    if (type == kService) {
        return describeColumns(serviceColumns());
    }
    if (type == kTenant) {
        return describeColumns(tenantColumns());
    }
    return type == kLimits ? describeColumns(limitColumns()) : std::vector<ColumnInfo>();
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
    rows[kLimitsRow] = cellsOf(table.limits(), limitColumns());
    return rows;
}

Result<void> setCell(wire::RouteTable* table, const std::string& row, const std::string& column,
                     const std::string& value) {
    const auto name = rowName(row);
    if (row == kLimitsRow) {
        return setColumn(table->mutable_limits(), limitColumns(), row, column, value);
    }
    if (rowTypeOf(row) == kRoute) {
        auto* route = findByName(table->mutable_routes(), name);
        return route == nullptr ? noSuchRow(row) : setColumn(route, routeColumns(), row, column, value);
    }
    if (rowTypeOf(row) == kService) {
        auto* service = findByName(table->mutable_services(), name);
        return service == nullptr ? noSuchRow(row) : setColumn(service, serviceColumns(), row, column, value);
    }
    if (rowTypeOf(row) == kTenant) {
        auto* tenant = findByName(table->mutable_tenants(), name);
        return tenant == nullptr ? noSuchRow(row) : setColumn(tenant, tenantColumns(), row, column, value);
    }
    return noSuchRow(row);
}

Result<void> putRow(wire::RouteTable* table, const std::string& row, const RowCells& cells) {
    const auto type = rowTypeOf(row);
    const auto name = rowName(row);
    const bool is_known_type = type == kRoute || type == kService || type == kTenant;
    if (row != kLimitsRow && (!is_known_type || name.empty())) {
        return stepError(kStep, row, "rows are route/NAME, service/NAME, tenant/NAME and limits/callers");
    }
    if (type == kRoute && findByName(table->mutable_routes(), name) == nullptr) {
        auto* route = table->add_routes();
        route->set_name(name);
        route->set_max_attempts(1);
    } else if (type == kService && findByName(table->mutable_services(), name) == nullptr) {
        table->add_services()->set_name(name);
    } else if (type == kTenant && findByName(table->mutable_tenants(), name) == nullptr) {
        table->add_tenants()->set_name(name);
    }
    for (const auto& [column, value] : cells) {
        BOOST_LEAF_CHECK(setCell(table, row, column, value));
    }
    return {};
}

Result<void> removeRow(wire::RouteTable* table, const std::string& row) {
    const auto name = rowName(row);
    if (rowTypeOf(row) == kRoute && removeByName(table->mutable_routes(), name)) {
        return {};
    }
    if (rowTypeOf(row) == kTenant && removeByName(table->mutable_tenants(), name)) {
        return {};
    }
    if (rowTypeOf(row) != kService || findByName(table->mutable_services(), name) == nullptr) {
        return noSuchRow(row);
    }
    for (const auto& route : table->routes()) {
        if (routesTo(route, name)) {
            return stepError(kStep, row, "route/" + route.name() + " goes to it");
        }
    }
    removeByName(table->mutable_services(), name);
    return {};
}

namespace {

/// Each key identifies one tenant.
Result<void> checkTenants(const wire::RouteTable& table) {
    std::map<std::string_view, std::string_view> owners;
    for (const auto& tenant : table.tenants()) {
        const auto row = std::string(kTenant) + "/" + tenant.name();
        for (const auto& key : tenant.keys()) {
            const auto [found, is_new] = owners.emplace(key, tenant.name());
            if (!is_new) {
                return stepError(
                    kStep, cellName(row, "keys"),
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
                return stepError(kStep, cellName(row, column.name), describeMismatch(value, column.allowed));
            }
        }
        for (const auto& part : route.parts()) {
            const auto& services = table.services();
            if (std::none_of(services.begin(), services.end(),
                             [&](const auto& service) { return service.name() == part.service(); })) {
                return stepError(kStep, cellName(row, "services"), "there is no service/" + part.service());
            }
        }
    }
    return {};
}

}  // namespace dewcrank::policy
