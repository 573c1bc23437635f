/// @file
/// The table as operators see it: rows and columns of text, with what each cell may hold.
///
/// Rows are `route/NAME` (a kind of request), `service/NAME` and `limits/callers`.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "proto/generated/fleet.pb.h"
#include "src/base/error.h"

namespace dewcrank::policy {

/// One column, for people.
struct ColumnInfo {
    std::string name;
    std::string allowed;  ///< What a cell may hold.
    std::string meaning;  ///< With its unit.
};

/// Cells of one row, by column.
using RowCells = std::map<std::string, std::string>;

/// Types of rows, in the order in which they are shown: "route", "service", "limits".
const std::vector<std::string>& rowTypes();
/// The columns of a type, in the order in which they are shown; empty for an unknown type.
std::vector<ColumnInfo> columnsOf(std::string_view type);
/// The type of a row's name: what stands before the slash.
std::string_view rowTypeOf(std::string_view row);

/// All rows of a table.
std::map<std::string, RowCells> rowsOf(const wire::RouteTable& table);
/// Sets one cell. The error names row and column, what was given and what is allowed.
Result<void> setCell(wire::RouteTable* table, const std::string& row, const std::string& column,
                     const std::string& value);
/// Adds a row with the cells given, or replaces those cells of the one that is there.
Result<void> putRow(wire::RouteTable* table, const std::string& row, const RowCells& cells);
/// Takes a row out. A service that a route goes to stays: that is an error.
Result<void> removeRow(wire::RouteTable* table, const std::string& row);
/// Checks what no cell alone shows: every route has a host, a path and services that are there.
Result<void> checkTable(const wire::RouteTable& table);

}  // namespace dewcrank::policy
