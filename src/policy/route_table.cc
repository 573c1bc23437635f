#include "src/policy/route_table.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <numeric>

namespace dewcrank::policy {

namespace {

/// Multiples of the golden ratio modulo 1 are spread evenly.
constexpr double kGoldenFraction = 0.6180339887498949;

std::string lowerCase(std::string_view text) {
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return lower;
}

}  // namespace

std::uint32_t rankOf(const wire::Route& route, const wire::Tenant* tenant) {
    const auto tenant_priority = tenant == nullptr ? 0 : std::min(tenant->priority(), kPriorities - 1);
    return tenant_priority * kPriorities + std::min(route.priority(), kPriorities - 1);
}

bool RouteTable::adopt(wire::RouteTable table) {
    if (table.version() <= table_->version()) {
        return false;
    }
    table_ = std::make_shared<const wire::RouteTable>(std::move(table));
    tenants_.build(*table_);
    tenants_by_name_.clear();
    for (const auto& tenant : table_->tenants()) {
        tenants_by_name_[tenant.name()] = &tenant;
    }
    by_host_.clear();
    for (const auto& route : table_->routes()) {
        by_host_[lowerCase(route.host())].push_back(&route);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const wire::Route* left, const wire::Route* right) {
            return left->prefix().size() > right->prefix().size();
        });
    }
    signal_adopted_.emit();
    return true;
}

RoutePtr RouteTable::match(std::string_view host, std::string_view path) const {
    const auto found = by_host_.find(lowerCase(host.substr(0, host.find(':'))));
    if (found == by_host_.end()) {
        return nullptr;
    }
    const auto route = std::find_if(found->second.begin(), found->second.end(), [path](const wire::Route* candidate) {
        return path.starts_with(candidate->prefix());
    });
    return route == found->second.end() ? nullptr : RoutePtr(table_, *route);
}

TenantPtr RouteTable::tenantOf(std::string_view key) const {
    const auto* holder = tenants_.findByKey(key);
    return holder == nullptr ? nullptr : TenantPtr(table_, holder);
}

const wire::Tenant* RouteTable::tenantNamed(const std::string& name) const {
    const auto found = tenants_by_name_.find(name);
    return found == tenants_by_name_.end() ? nullptr : found->second;
}

bool RouteTable::referencesService(const std::string& service) const {
    const auto is_named = [&](const auto& row) { return row.name() == service; };
    const auto is_part = [&](const wire::TrafficPart& part) { return part.service() == service; };
    return std::any_of(table_->services().begin(), table_->services().end(), is_named) ||
           std::any_of(table_->routes().begin(), table_->routes().end(), [&](const wire::Route& route) {
               return std::any_of(route.parts().begin(), route.parts().end(), is_part);
           });
}

void RouteTable::onVersionSeen(std::uint64_t version) {
    newest_seen_ = std::max(newest_seen_, version);
}

std::size_t WeightedSplitter::next(const wire::Route& route) {
    position_ = std::fmod(position_ + kGoldenFraction, 1.0);
    const auto total = std::accumulate(route.parts().begin(), route.parts().end(), 0.0,
                                       [](double sum, const auto& part) { return sum + part.weight(); });
    double left = position_ * total;
    std::size_t index = 0;
    for (const auto& part : route.parts()) {
        left -= part.weight();
        if (left < 0) {
            break;
        }
        ++index;
    }
    return std::min<std::size_t>(index, static_cast<std::size_t>(std::max(1, route.parts_size())) - 1);
}

}  // namespace dewcrank::policy
