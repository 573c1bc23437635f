/// @file
/// Counts the instances of a service according to a node's directory.
#pragma once

#include <cstddef>
#include <string>

#include "src/fleet/node_directory.h"

namespace dewcrank::fleet {

/// Instances of one service; draining ones and those that have announced their exit are not counted.
struct Replicas {
    std::size_t up = 1;           ///< Ready, at reachable nodes; includes this node's own instance if it is ready.
    std::size_t unavailable = 0;  ///< Others: crashed, at an unreachable node, or at a node that is stopping.
    std::size_t position = 0;     ///< Index of this node among those up, ordered by node name.
};

/// Counts the instances of a service; linear in the number of its nodes.
[[nodiscard]] Replicas replicasOf(const NodeDirectory& directory, const std::string& service);

}  // namespace dewcrank::fleet
