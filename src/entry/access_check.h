/// @file
/// Authentication of callers by API key. Pure functions without I/O.
#pragma once

#include <optional>
#include <string_view>

#include "src/base/header_names.h"
#include "src/base/http_message.h"
#include "src/policy/route_table.h"
#include "src/policy/table_lease.h"

namespace dewcrank::entry {

/// Response of this node itself to a request that does not become a call.
struct Rejection {
    int status = 0;           ///< HTTP status code.
    const char* reason = "";  ///< Body of the response, and log key `reason`.
    Duration retry_after{};   ///< For `Retry-After`; zero: the header is left out.
};

/// Result of the check.
struct Access {
    policy::TenantPtr tenant;            ///< Null without a valid key.
    std::optional<Rejection> rejection;  ///< Set if the request must be rejected.
};

/// Constants of the check.
struct AccessKnobs {
    Duration catch_up_time = 500ms;  ///< `retry_after` while the route table is stale and a newer one is fetched.
};

/// Extracts the API key from the `Authorization` header. @param scheme expected authentication scheme, e.g. "Bearer".
/// @return nothing if the header is missing, repeated or has another scheme.
std::optional<std::string_view> callerKey(const Headers& headers, std::string_view scheme);

/// Checks a caller's key. A key is required if the table has tenants and the route is not open. Keys are accepted only
/// while the table's lease is valid. An unknown key gets 401 only if no newer table is known to exist, else 503.
/// @param key nothing if the request has none.
/// @return the tenant or a rejection; neither if the request is admitted without a key.
Access checkAccess(TimePoint now, const policy::RouteTable& table, const policy::TableLease& lease,
                   const wire::Route& route, std::optional<std::string_view> key, const AccessKnobs& knobs);

/// Removes the key from the headers, so that no instance receives it, and replaces the tenant header of the caller by
/// the tenant's name. @param tenant null: the tenant header is only removed.
void replaceKeyWithTenant(const policy::RouteTable& table, const HeaderNames& names, const wire::Tenant* tenant,
                          Headers* headers);

}  // namespace dewcrank::entry
