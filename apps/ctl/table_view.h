/// @file
/// The table in the three forms in which it is shown and read: text, JSON and CSV.
#pragma once

#include <map>
#include <string>

#include "proto/generated/fleet.pb.h"
#include "src/base/error.h"
#include "src/policy/table_rows.h"

namespace dewcrank::ctl {

enum class Output { kText, kJson, kCsv };

std::string renderTable(const wire::RouteTable& table, Output output);
/// The columns of all types of rows, with what they may hold.
std::string renderColumns();
/// Reads rows from the JSON or CSV form that `renderTable` writes. Empty cells of CSV are left out. An
/// error names file and line or row.
Result<std::map<std::string, policy::RowCells>> parseRows(const std::string& file, const std::string& text);

}  // namespace dewcrank::ctl
