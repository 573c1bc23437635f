/// @file
/// Formats and parses the route table as text, JSON or CSV.
#pragma once

#include <map>
#include <string>

#include "proto/generated/fleet.pb.h"
#include "src/base/error.h"
#include "src/policy/table_rows.h"

namespace dewcrank::ctl {

enum class OutputFormat { kText, kJson, kCsv };

/// @return the table in the given format.
std::string renderTable(const wire::RouteTable& table, OutputFormat output);
/// @return a text table of the columns of all row types, with their meaning and allowed values.
std::string renderColumns();
/// Parses rows in the JSON or CSV format of `renderTable`. Empty CSV cells are skipped.
/// @param file name of the file, for errors, which also name the line or the row.
Result<std::map<std::string, policy::RowCells>> parseRows(const std::string& file, const std::string& text);

}  // namespace dewcrank::ctl
