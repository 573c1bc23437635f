/// @file
/// The route table as rows and columns of text, for operators.
///
/// Rows are `route/NAME`, `service/NAME`, `tenant/NAME` and `limits/callers`.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "proto/generated/fleet.pb.h"
#include "src/base/error.h"

namespace dewcrank::policy {

/// Description of one column.
struct ColumnInfo {
    std::string name;
    std::string allowed;  ///< Values that a cell may hold.
    std::string meaning;  ///< What the column is for, with its unit.
};

/// Cells of one row, by column.
using RowCells = std::map<std::string, std::string>;

/// @return the types of rows in display order: "route", "service", "tenant", "limits".
const std::vector<std::string>& rowTypes();
/// @return the columns of a type in display order; empty for an unknown type.
std::vector<ColumnInfo> columnsOf(std::string_view type);
/// @return the type of a row: its name up to the slash.
std::string_view rowTypeOf(std::string_view row);

/// @return all rows of a table, by name.
std::map<std::string, RowCells> rowsOf(const wire::RouteTable& table);
/// Sets one cell. The error names the row, the column, the given value and the allowed ones.
Result<void> setCell(wire::RouteTable* table, const std::string& row, const std::string& column,
                     const std::string& value);
/// Adds a row with the given cells, or sets these cells of an existing row.
Result<void> putRow(wire::RouteTable* table, const std::string& row, const RowCells& cells);
/// Removes a row. It is an error if there is no such row, or if a route sends requests to the service.
Result<void> removeRow(wire::RouteTable* table, const std::string& row);
/// Checks the whole table: each route has valid cells and existing services, and each key has one tenant.
Result<void> checkTable(const wire::RouteTable& table);

}  // namespace dewcrank::policy
