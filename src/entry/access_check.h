/// @file
/// Who calls, and whether that is to be believed now. Needs no input or output.
#pragma once

#include <optional>
#include <string_view>

#include "src/base/header_names.h"
#include "src/base/http_message.h"
#include "src/policy/route_table.h"
#include "src/policy/table_lease.h"

namespace dewcrank::entry {

/// Why a request gets an answer of this node's own instead of becoming a call.
struct Rejection {
    int status = 0;
    const char* reason = "";
    Duration retry_after{};  ///< When the caller may come back; zero: it need not.
};

/// What a request is let in as.
struct Access {
    policy::TenantPtr tenant;  ///< Null where no key is asked for, and none is shown.
    std::optional<Rejection> rejection;
};

/// Constants of the check.
struct AccessKnobs {
    /// After this a table that is too old, or behind, may have been caught up with: peers and the store are asked for
    /// it meanwhile.
    Duration catch_up_time = 500ms;
};

/// The key that a request shows; nothing if it shows none, or more than one. @param scheme of `Authorization`.
std::optional<std::string_view> callerKey(const Headers& headers, std::string_view scheme);

/// A key is asked for where the table has tenants, but on open routes. It is believed while the table's lease is
/// valid. A key that the table does not hold is only denied if no newer table is known to be in force.
Access checkAccess(TimePoint now, const policy::RouteTable& table, const policy::TableLease& lease,
                   const wire::Route& route, std::optional<std::string_view> key, const AccessKnobs& knobs);

/// Takes the caller's key out of a request, so that no instance sees it, and names its tenant in place of whatever the
/// caller has sent.
void replaceKeyWithTenant(const policy::RouteTable& table, const HeaderNames& names, const wire::Tenant* tenant,
                          Headers* headers);

}  // namespace dewcrank::entry
