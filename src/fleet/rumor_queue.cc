#include "src/fleet/rumor_queue.h"

#include <algorithm>
#include <utility>

namespace dewcrank::fleet {

std::vector<std::string> RumorQueue::next(std::size_t most) const {
    std::vector<std::pair<std::uint32_t, const std::string*>> order;
    order.reserve(rumors_.size());
    for (const auto& [name, rumor] : rumors_) {
        order.emplace_back(rumor.told, &name);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<std::string> names;
    for (std::size_t i = 0; i < std::min(most, order.size()); ++i) {
        names.push_back(*order[i].second);
    }
    return names;
}

void RumorQueue::onTold(const std::string& name) {
    const auto it = rumors_.find(name);
    if (it != rumors_.end() && ++it->second.told >= knobs_.most_told) {
        rumors_.erase(it);
    }
}

void RumorQueue::onUseless(const std::string& name) {
    const auto it = rumors_.find(name);
    if (it != rumors_.end() && ++it->second.useless >= knobs_.most_useless) {
        rumors_.erase(it);
    }
}

}  // namespace dewcrank::fleet
