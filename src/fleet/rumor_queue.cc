#include "src/fleet/rumor_queue.h"

#include <algorithm>
#include <utility>

namespace dewcrank::fleet {

std::vector<std::string> RumorQueue::next(std::size_t limit) const {
    std::vector<std::pair<std::uint32_t, const std::string*>> order;
    order.reserve(rumors_.size());
    for (const auto& [name, rumor] : rumors_) {
        order.emplace_back(rumor.sends, &name);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<std::string> names;
    for (std::size_t i = 0; i < std::min(limit, order.size()); ++i) {
        names.push_back(*order[i].second);
    }
    return names;
}

void RumorQueue::onSent(const std::string& name) {
    const auto it = rumors_.find(name);
    if (it != rumors_.end() && ++it->second.sends >= knobs_.max_sends) {
        rumors_.erase(it);
    }
}

void RumorQueue::onAlreadyKnown(const std::string& name) {
    const auto it = rumors_.find(name);
    if (it != rumors_.end() && ++it->second.already_known >= knobs_.max_already_known) {
        rumors_.erase(it);
    }
}

}  // namespace dewcrank::fleet
