/// @file
/// What a sidecar node is told at its start.
#pragma once

#include <string>
#include <vector>

#include "src/base/header_names.h"
#include "src/base/time.h"
#include "src/base/weakening.h"
#include "src/decision/admission.h"
#include "src/entry/access_check.h"
#include "src/entry/entry_call.h"
#include "src/fleet/failure_detector.h"
#include "src/fleet/gossip.h"
#include "src/fleet/node_directory.h"
#include "src/policy/table_lease.h"
#include "src/quarantine/exchange.h"
#include "src/quota/quota_client.h"
#include "src/quota/shard_lease_manager.h"
#include "src/relay/relay_service.h"
#include "src/sidecar/fleet_contacts.h"
#include "src/sidecar/table_follower.h"
#include "src/sidecar/table_refresher.h"

namespace dewcrank::sidecar {

/// Constants of all parts of a sidecar node.
struct Knobs {
    fleet::GossipKnobs gossip;
    fleet::FailureDetectorKnobs failure_detector;
    entry::SelectorKnobs selector;
    entry::EntryKnobs entry;
    decision::AdmissionKnobs admission;
    decision::BottleneckKnobs bottlenecks;
    relay::RelayKnobs relay;
    quarantine::QuarantineKnobs quarantine;
    quarantine::ExchangeKnobs quarantine_exchange;
    policy::TableLeaseKnobs table_lease;
    FleetContactsKnobs fleet_contacts;
    TableFollowerKnobs table_follower;
    TableRefresherKnobs table_refresher;
    entry::AccessKnobs access;
    quota::ShardLeaseManagerKnobs quota_shards;
    quota::QuotaClientKnobs quota_client;
    /// An instance that is silent for longer counts as unknown.
    Duration longest_silence = 8s;
    /// A stopping node goes on serving for this long, until callers have been led elsewhere.
    Duration stop_serving = 2500ms;
    /// A stopping node ends at the latest after this.
    Duration longest_stop = 5500ms;
    Weakening weakening;  ///< Tests only.
};

struct Settings {
    std::string name;
    std::string zone;
    std::string address;           ///< "ip:port" for calls from other nodes.
    std::string instance_address;  ///< "ip:port" of the instance beside the node.
    std::string service;           ///< Of that instance.
    std::uint64_t incarnation = 0;
    std::vector<std::string> seeds;  ///< Addresses at which other nodes may answer; may be out of date.
    HeaderNames header_names;
    Knobs knobs;
};

}  // namespace dewcrank::sidecar
