/// @file
/// Ranks the nodes of a zone, to select the few that act for all, such as polling the store.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "src/fleet/node_directory.h"

namespace dewcrank::fleet {

/// This node's position among the reachable nodes of its zone that are not stopping, ordered by falling rank. Nodes may
/// disagree on it: two nodes at the same position duplicate work, and a failed node is replaced by its successor.
class ZoneRanking {
public:
    explicit ZoneRanking(const NodeDirectory& directory) : directory_(directory) {}

    /// Up to `limit` nodes that rank above this one, the highest first. Costs as much as the result and the
    /// inactive nodes that are skipped.
    [[nodiscard]] std::vector<const KnownNode*> predecessors(std::size_t limit) const;
    /// The node that ranks directly above this one; null if this one is the first.
    [[nodiscard]] const KnownNode* predecessor() const;
    /// The first node of any zone; null if that is this node, or if there is none.
    [[nodiscard]] const KnownNode* first(const std::string& zone) const;

private:
    [[nodiscard]] static bool isActive(const KnownNode& node) {
        return NodeDirectory::isReachable(node) && !node.record.is_stopping();
    }
    [[nodiscard]] std::uint64_t ownRank() const { return NodeDirectory::rankOf(directory_.self().name()); }

    const NodeDirectory& directory_;
};

}  // namespace dewcrank::fleet
