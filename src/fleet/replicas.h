/// @file
/// The instances of a service, as one node's directory has them.
#pragma once

#include <cstddef>
#include <string>

#include "src/fleet/node_directory.h"

namespace dewcrank::fleet {

/// Those that have not said that they leave.
struct Replicas {
    std::size_t up = 1;           ///< Ready, behind nodes that are reached. This node's own included, if it is.
    std::size_t unavailable = 0;  ///< All others: ended without a word, unreachable, or beside a node that is stopping.
    std::size_t position = 0;  ///< Of this node's among those up, by the names of nodes: the same count at all of them.
};

/// Costs a walk over the nodes of the service.
[[nodiscard]] Replicas replicasOf(const NodeDirectory& directory, const std::string& service);

}  // namespace dewcrank::fleet
