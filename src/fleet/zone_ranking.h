/// @file
/// Which nodes of a zone do what a few of them do for all: they follow the store, and are listed there.
#pragma once

#include <cstddef>
#include <vector>

#include "src/fleet/node_directory.h"

namespace dewcrank::fleet {

/// The standing of this node among those of its zone that it reaches and that go on. Nodes need not agree on it: two
/// that both take the same place do the same work twice, and whoever is found dead has its place taken.
class ZoneRanking {
public:
    explicit ZoneRanking(const NodeDirectory& directory) : directory_(directory) {}

    /// The first nodes that stand before this one. Costs what is returned and the dead among them, not the zone.
    [[nodiscard]] std::vector<const KnownNode*> predecessors(std::size_t limit) const;
    /// The node that stands just before this one; null if this one is the first.
    [[nodiscard]] const KnownNode* predecessor() const;

private:
    [[nodiscard]] static bool isActive(const KnownNode& node) {
        return NodeDirectory::isReachable(node) && !node.record.is_stopping();
    }
    [[nodiscard]] std::uint64_t ownRank() const { return NodeDirectory::rankOf(directory_.self().name()); }

    const NodeDirectory& directory_;
};

}  // namespace dewcrank::fleet
