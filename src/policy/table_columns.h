/// @file
/// Columns of each type of row: how a cell is parsed, checked and formatted.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "proto/generated/fleet.pb.h"

namespace dewcrank::policy {

/// One column of the rows that are stored as messages of this type.
template <typename Message>
struct Column {
    const char* name;
    std::string allowed;  ///< Describes the allowed values, for error messages.
    const char* meaning;  ///< Describes the column, with its unit.
    std::function<std::string(const Message&)> get;
    std::function<bool(Message*, const std::string&)> set;  ///< Returns false if the value is not allowed.
    bool is_secret = false;                                 ///< True: error messages do not contain the value.
};

/// @return the columns of a type of row, in display order.
const std::vector<Column<wire::Route>>& routeColumns();
const std::vector<Column<wire::ServiceEntry>>& serviceColumns();
const std::vector<Column<wire::Tenant>>& tenantColumns();
const std::vector<Column<wire::CallerLimits>>& limitColumns();

}  // namespace dewcrank::policy
