/// @file
/// The settings file of a sidecar node.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/adapters/socket_address.h"
#include "src/base/error.h"
#include "src/base/time.h"
#include "src/decision/repeat_budget.h"

namespace dewcrank::adapters {

/// The settings, checked.
struct SidecarSettings {
    std::string name;
    std::string zone;
    std::string service;  ///< Of the instance beside the node.
    SocketAddress callers;
    SocketAddress nodes;
    std::optional<SocketAddress> nodes_advertised;  ///< Told to other nodes in place of `nodes`.
    SocketAddress heartbeats;
    SocketAddress readiness;
    std::optional<SocketAddress> metrics;  ///< Not served if it is not given.
    SocketAddress instance;
    SocketAddress store;
    std::vector<SocketAddress> seeds;  ///< Heartbeat addresses of other nodes; may be out of date.
    Duration heartbeat_interval = 1500ms;
    decision::RepeatBound retry_limit{0.1, 10, 10s};
    /// A revoked key runs nothing later than this after its revocation; zero: keys are not bound to that.
    Duration key_revocation{};
    Duration stop_grace = 6s;
};

/// Reads a TOML file. An unknown key, a missing one or a value out of its limits is an error
/// that names the file, the line, the key and what is allowed.
Result<SidecarSettings> readSidecarSettings(const std::string& file);
/// The settings in force, a key a line.
std::string describeSidecarSettings(const SidecarSettings& settings);

}  // namespace dewcrank::adapters
