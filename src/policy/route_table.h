/// @file
/// The route table of a sidecar node: routes by host and path prefix, their services, and tenants.
#pragma once

#include <sigc++/sigc++.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "proto/generated/fleet.pb.h"
#include "src/base/time.h"
#include "src/policy/tenant_index.h"

namespace dewcrank::policy {

/// A route of one version of the table; keeps that version alive.
using RoutePtr = std::shared_ptr<const wire::Route>;
/// A tenant of one version of the table; keeps that version alive.
using TenantPtr = std::shared_ptr<const wire::Tenant>;

/// Number of priorities: from 0, the most urgent, to one less than this.
inline constexpr std::uint32_t kPriorities = 8;
/// Rank by which requests are rejected, the greatest first: by the priority of the tenant, then by that of the route.
/// @param tenant   null counts as priority 0.
/// @return the rank; 0 is rejected last.
std::uint32_t rankOf(const wire::Route& route, const wire::Tenant* tenant);

/// Holds one complete version of the table, and indexes it. Adopted versions only increase.
class RouteTable {
public:
    /// @param key_seed   of the hash of keys; random per process.
    explicit RouteTable(std::uint64_t key_seed = 0) : tenants_(key_seed) {}

    /// Replaces the table if the given one is newer. @return true if it was.
    bool adopt(wire::RouteTable table);
    /// @return the route of the host with the longest matching path prefix; null if there is none.
    /// @param host   as in a Host header; case and port are ignored.
    [[nodiscard]] RoutePtr match(std::string_view host, std::string_view path) const;
    /// True if requests need a key, except on open routes.
    [[nodiscard]] bool hasTenants() const { return table_->tenants_size() > 0; }
    /// @return the tenant that owns a key; null if there is none.
    [[nodiscard]] TenantPtr tenantOf(std::string_view key) const;
    /// @return the tenant of that name; null if there is none.
    [[nodiscard]] const wire::Tenant* tenantNamed(const std::string& name) const;
    /// True if the service has a row of its own, or a route sends requests to it.
    [[nodiscard]] bool referencesService(const std::string& service) const;
    /// Registers the version of a peer's table.
    void onVersionSeen(std::uint64_t version);
    /// True while a newer version than the local one is known to exist.
    [[nodiscard]] bool isStale() const { return newest_seen_ > version(); }
    /// @return the newest known version, local or at a peer.
    [[nodiscard]] std::uint64_t newestSeen() const { return std::max(newest_seen_, version()); }
    [[nodiscard]] std::uint64_t version() const { return table_->version(); }
    /// True once a table was adopted.
    [[nodiscard]] bool isKnown() const { return table_->version() > 0; }
    [[nodiscard]] const wire::RouteTable& contents() const { return *table_; }

    /// Emitted after each adoption.
    sigc::signal<void()>& signalAdopted() { return signal_adopted_; }

private:
    std::shared_ptr<const wire::RouteTable> table_ = std::make_shared<const wire::RouteTable>();
    /// By host in lower case; longest prefix first.
    std::map<std::string, std::vector<const wire::Route*>, std::less<>> by_host_;
    TenantIndex tenants_;  ///< Tenants of `table_`.
    std::map<std::string, const wire::Tenant*, std::less<>> tenants_by_name_;
    std::uint64_t newest_seen_ = 0;
    sigc::signal<void()> signal_adopted_;
};

/// Splits the requests of a route among its parts (services with weights). Uses a low-discrepancy (golden ratio)
/// sequence, so that the weights hold closely over few requests too.
class WeightedSplitter {
public:
    /// @param start   random in [0, 1), so that nodes do not choose the same parts at the same time.
    explicit WeightedSplitter(double start) : position_(start) {}
    /// @return index of the part that the next request is sent to.
    std::size_t next(const wire::Route& route);

private:
    double position_;
};

}  // namespace dewcrank::policy
