/// @file
/// The columns of each type of row: how a cell is read, checked and shown.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "proto/generated/fleet.pb.h"

namespace dewcrank::policy {

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

const std::vector<Column<wire::Route>>& routeColumns();
const std::vector<Column<wire::ServiceEntry>>& serviceColumns();
const std::vector<Column<wire::Tenant>>& tenantColumns();
const std::vector<Column<wire::CallerLimits>>& limitColumns();

}  // namespace dewcrank::policy
