/// @file
/// Interface of the platform's store as the sidecar nodes use it: the route table, the list of nodes, and the leases.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "proto/generated/fleet.pb.h"
#include "src/base/time.h"

namespace dewcrank {

/// An entry of the store's list of nodes.
struct NodeAddress {
    std::string name;
    std::string zone;
    std::string address;  ///< "ip:port" for calls from other nodes.
    friend bool operator==(const NodeAddress&, const NodeAddress&) = default;
};

/// Result of a read or a watch of the table.
struct TableRead {
    /// The newest table; empty if the store holds none, or if a watch ended without a change.
    std::optional<wire::RouteTable> table;
    /// Store revision from which to watch; 0: the store has lost its history, read the table again.
    std::uint64_t revision = 0;
};

/// A lease: exclusive ownership of a named resource by one node.
struct LeaseRecord {
    std::string name;
    std::string holder;             ///< Name of the owning node; empty: none.
    std::uint64_t incarnation = 0;  ///< Of the owning node.
    std::uint64_t revision = 0;     ///< Store revision of the record's last write; 0: there is no record.
};

/// Consistency of a read.
enum class Freshness {
    kNewest,      ///< Linearizable; the store limits the rate of these calls over all nodes.
    kMaybeStale,  ///< May be seconds old; cheap for the store.
};

/// Asynchronous store client. Each callback runs exactly once, later on the event loop; it receives nothing (or false)
/// if the store did not respond in time or rejected the call.
class ControlStore {
public:
    virtual ~ControlStore() = default;
    using TableCallback = std::function<void(std::optional<TableRead>)>;
    using NodesCallback = std::function<void(std::optional<std::vector<NodeAddress>>)>;
    using DoneCallback = std::function<void(bool)>;
    using LeasesCallback = std::function<void(std::optional<std::vector<LeaseRecord>>)>;

    /// Incremented each time the store is restored from a copy that lacks acknowledged writes, after which it assigns
    /// the lost revisions again. @return the era in the response whose callback is running, else in the last response;
    /// 0 if the store reports none.
    [[nodiscard]] virtual std::uint64_t era() const = 0;
    /// @return entries of the list of nodes that were skipped as invalid, in all lists since the start.
    [[nodiscard]] virtual std::uint64_t skippedEntries() const { return 0; }
    /// Linearizable read: the result includes every write acknowledged before this call.
    virtual void readTable(TableCallback callback) = 0;
    /// Waits up to `wait` for a change of the table after `revision`.
    virtual void watchTable(std::uint64_t revision, Duration wait, TableCallback callback) = 0;
    /// Adds this node to the list of nodes; idempotent.
    virtual void announce(const NodeAddress& node, DoneCallback callback) = 0;
    virtual void listNodes(Freshness freshness, NodesCallback callback) = 0;
    /// Removes a node that shuts down for good from the list of nodes.
    virtual void withdraw(const std::string& name, DoneCallback callback) = 0;
    /// Linearizable read of all leases.
    virtual void readLeases(LeasesCallback callback) = 0;
    /// Compare-and-swap: writes the lease if the record in the store still has `lease.revision`. On a missing response
    /// the write may have happened, or may still happen.
    virtual void putLease(const LeaseRecord& lease, DoneCallback callback) = 0;
};

}  // namespace dewcrank
