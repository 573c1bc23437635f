#include "src/policy/route_table.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <numeric>

namespace dewcrank::policy {

namespace {

/// The fractional part of the golden ratio spreads a sequence as evenly as can be.
constexpr double kGoldenFraction = 0.6180339887498949;

std::string lowerCase(std::string_view text) {
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return lower;
}

}  // namespace

bool RouteTable::adopt(wire::RouteTable table) {
    if (table.version() <= table_->version()) {
        return false;
    }
    table_ = std::make_shared<const wire::RouteTable>(std::move(table));
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

std::size_t TrafficDivider::next(const wire::Route& route) {
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
