#include "src/fleet/zone_ranking.h"

#include <algorithm>

namespace dewcrank::fleet {

std::vector<const KnownNode*> ZoneRanking::predecessors(std::size_t limit) const {
    std::vector<const KnownNode*> found;
    const auto own = ownRank();
    for (const auto* node : directory_.othersInZone(directory_.self().zone())) {
        if (node->rank < own || found.size() >= limit) {
            break;
        }
        if (isActive(*node)) {
            found.push_back(node);
        }
    }
    return found;
}

const KnownNode* ZoneRanking::first(const std::string& zone) const {
    const auto& nodes = directory_.othersInZone(zone);
    const auto found = std::find_if(nodes.begin(), nodes.end(), [](const auto* node) { return isActive(*node); });
    const bool is_own_zone = zone == directory_.self().zone();
    return found == nodes.end() || (is_own_zone && (*found)->rank < ownRank()) ? nullptr : *found;
}

const KnownNode* ZoneRanking::predecessor() const {
    const auto& nodes = directory_.othersInZone(directory_.self().zone());
    const auto own = ownRank();
    const auto own_position =
        std::partition_point(nodes.begin(), nodes.end(), [own](const auto* node) { return node->rank > own; });
    const auto found = std::find_if(std::make_reverse_iterator(own_position), nodes.rend(),
                                    [](const auto* node) { return isActive(*node); });
    return found == nodes.rend() ? nullptr : *found;
}

}  // namespace dewcrank::fleet
