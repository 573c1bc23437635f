/// @file
/// Settings file of a sidecar node (TOML).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/adapters/socket_address.h"
#include "src/base/error.h"
#include "src/base/overload_features.h"
#include "src/base/time.h"
#include "src/decision/retry_budget.h"

namespace dewcrank::adapters {

/// Validated settings.
struct SidecarSettings {
    std::string name;                               ///< Unique name of the node.
    std::string zone;                               ///< Availability zone of the node.
    std::string service;                            ///< Service of the local instance.
    SocketAddress callers;                          ///< Listens for requests of callers.
    SocketAddress nodes;                            ///< Listens for requests of other nodes.
    std::optional<SocketAddress> nodes_advertised;  ///< Published to other nodes in place of `nodes`.
    SocketAddress heartbeats;                       ///< Listens for heartbeats, and for first contacts of other nodes.
    SocketAddress readiness;                        ///< Listens for readiness probes.
    std::optional<SocketAddress> metrics;           ///< Listens for metrics scrapes; none: not served.
    SocketAddress instance;                         ///< Address of the local instance.
    SocketAddress store;                            ///< Address of the store of the platform.
    std::vector<SocketAddress> seeds;  ///< Heartbeat addresses of other nodes, for the first contact; may be outdated.
    Duration heartbeat_interval = 1500ms;            ///< Interval at which the local instance sends heartbeats.
    decision::RetryLimit retry_limit{0.1, 10, 10s};  ///< Limit of the retries of the service, over all relays.
    /// Maximum time for which requests with a revoked key may still run; zero: not bounded.
    Duration key_revocation{};
    Duration stop_grace = 6s;   ///< Time for calls in flight to complete when the node stops.
    OverloadFeatures overload;  ///< Optional parts of the overload control.
};

/// Reads and validates a TOML file. @return the settings, or an error for an unknown key, a missing key or an invalid
/// value. The error names the file, the line, the key and the valid values.
Result<SidecarSettings> readSidecarSettings(const std::string& file);
/// @return the settings as text, one `key = value` per line.
std::string describeSidecarSettings(const SidecarSettings& settings);

}  // namespace dewcrank::adapters
