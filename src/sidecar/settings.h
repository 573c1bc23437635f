/// @file
/// Configuration of a sidecar node.
#pragma once

#include <string>
#include <vector>

#include "src/base/disabled_mechanisms.h"
#include "src/base/header_names.h"
#include "src/base/overload_features.h"
#include "src/base/time.h"
#include "src/entry/access_check.h"
#include "src/entry/entry_call.h"
#include "src/fleet/failure_detector.h"
#include "src/fleet/gossip.h"
#include "src/fleet/node_directory.h"
#include "src/instance/heartbeat_check.h"
#include "src/policy/table_lease.h"
#include "src/quarantine/exchange.h"
#include "src/quota/quota_client.h"
#include "src/quota/shard_lease_manager.h"
#include "src/relay/relay_service.h"
#include "src/sidecar/call_admission.h"
#include "src/sidecar/graceful_stop.h"
#include "src/sidecar/peer_discovery.h"
#include "src/sidecar/table_refresher.h"
#include "src/sidecar/table_watcher.h"

namespace dewcrank::sidecar {

/// Constants of all parts of a sidecar node.
struct Knobs {
    fleet::GossipKnobs gossip;
    fleet::FailureDetectorKnobs failure_detector;
    entry::SelectorKnobs selector;
    entry::EntryKnobs entry;
    CallAdmissionKnobs admission;
    decision::BottleneckKnobs bottlenecks;
    relay::RelayKnobs relay;
    quarantine::QuarantineKnobs quarantine;
    quarantine::ExchangeKnobs quarantine_exchange;
    policy::TableLeaseKnobs table_lease;
    PeerDiscoveryKnobs peer_discovery;
    TableWatcherKnobs table_watcher;
    TableRefresherKnobs table_refresher;
    entry::AccessKnobs access;
    quota::ShardLeaseManagerKnobs quota_shards;
    quota::QuotaClientKnobs quota_client;
    /// The state of an instance is unknown after this time without a heartbeat or a response.
    Duration instance_timeout = 8s;
    StopKnobs stop;
    instance::HeartbeatCheckKnobs heartbeat_check;
    /// Number of other nodes that have an instance's leave before it is acknowledged.
    std::size_t leave_copies = 2;
    /// A leave is acknowledged after this time even without them: an instance waits for a second.
    Duration leave_copy_limit = 400ms;
    OverloadFeatures overload;
    DisabledMechanisms disabled;  ///< Tests only.
};

/// Settings of one node, fixed until the process ends.
struct Settings {
    std::string name;
    std::string zone;
    std::string address;             ///< "ip:port" for calls from other nodes.
    std::string instance_address;    ///< "ip:port" of the local instance.
    std::string service;             ///< Service of the local instance.
    std::uint64_t incarnation = 0;   ///< Grows with each start of the process.
    std::vector<std::string> seeds;  ///< "ip:port" of other nodes; may be out of date.
    HeaderNames header_names;
    Knobs knobs;
};

}  // namespace dewcrank::sidecar
