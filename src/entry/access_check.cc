#include "src/entry/access_check.h"

#include <algorithm>
#include <string>
#include <vector>

#include "src/base/http_status.h"

namespace dewcrank::entry {

namespace {

constexpr std::string_view kAuthorization = "authorization";
constexpr std::string_view kBlanks = " \t";

/// @return the credentials after the scheme; nothing if the value has another scheme.
std::optional<std::string_view> credentialsIn(std::string_view value, std::string_view scheme) {
    const auto end = value.find_first_of(kBlanks);
    if (end == std::string_view::npos || !sameHeaderName(value.substr(0, end), scheme)) {
        return std::nullopt;
    }
    const auto begin = value.find_first_not_of(kBlanks, end);
    const auto last = value.find_last_not_of(kBlanks);
    return begin == std::string_view::npos ? std::string_view() : value.substr(begin, last - begin + 1);
}

}  // namespace

std::optional<std::string_view> callerKey(const Headers& headers, std::string_view scheme) {
    std::optional<std::string_view> key;
    for (const auto& line : headers.lines()) {
        if (!sameHeaderName(line.name, kAuthorization)) {
            continue;
        }
        if (key) {
            return std::nullopt;
        }
        key = credentialsIn(line.value, scheme);
        if (!key) {
            return std::nullopt;
        }
    }
    return key;
}

Access checkAccess(TimePoint now, const policy::RouteTable& table, const policy::TableLease& lease,
                   const wire::Route& route, std::optional<std::string_view> key, const AccessKnobs& knobs) {
    Access access;
    if (!table.hasTenants()) {
        return access;
    }
    const bool is_fresh = lease.isValid(now);
    access.tenant = key && is_fresh ? table.tenantOf(*key) : nullptr;
    if (route.is_open() || access.tenant != nullptr) {
        return access;
    }
    if (!is_fresh) {
        access.rejection = Rejection{kHttpServiceUnavailable, "table-too-old", knobs.catch_up_time};
    } else if (table.isStale()) {
        access.rejection = Rejection{kHttpServiceUnavailable, "table-behind", knobs.catch_up_time};
    } else {
        access.rejection = Rejection{kHttpUnauthorized, key ? "unknown-key" : "no-key", {}};
    }
    return access;
}

void replaceKeyWithTenant(const policy::RouteTable& table, const HeaderNames& names, const wire::Tenant* tenant,
                          Headers* headers) {
    headers->remove(names.tenant);
    if (tenant != nullptr) {
        headers->set(names.tenant, tenant->name());
    }
    if (!table.hasTenants()) {
        return;
    }
    std::vector<std::string> others;
    for (const auto& line : headers->lines()) {
        if (sameHeaderName(line.name, kAuthorization) && !credentialsIn(line.value, names.auth_scheme)) {
            others.push_back(line.value);
        }
    }
    headers->remove(kAuthorization);
    for (auto& value : others) {
        headers->add("Authorization", std::move(value));
    }
}

}  // namespace dewcrank::entry
