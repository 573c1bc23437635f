/// @file
/// The platform's store, as a sidecar node uses it: the table, and which nodes there are.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "proto/generated/fleet.pb.h"
#include "src/base/time.h"

namespace dewcrank {

/// Where a node is reached.
struct NodeAddress {
    std::string name;
    std::string zone;
    std::string address;  ///< "ip:port" for calls from other nodes.
    friend bool operator==(const NodeAddress&, const NodeAddress&) = default;
};

/// An answer to a read of the table.
struct TableRead {
    /// The newest table; none if there is none yet, or nothing new.
    std::optional<wire::RouteTable> table;
    /// Revision of the store to go on from; 0: the history is lost, read anew.
    std::uint64_t revision = 0;
};

/// All callbacks run later on the loop, exactly once; they get nothing when the store did not
/// answer in time or refused.
class ControlStore {
public:
    virtual ~ControlStore() = default;
    using TableCallback = std::function<void(std::optional<TableRead>)>;
    using NodesCallback = std::function<void(std::optional<std::vector<NodeAddress>>)>;
    using DoneCallback = std::function<void(bool)>;

    virtual void readTable(TableCallback callback) = 0;
    /// Waits for a change after `revision`, for `wait` at most.
    virtual void watchTable(std::uint64_t revision, Duration wait, TableCallback callback) = 0;
    /// Makes this node known. Calling it again does no harm.
    virtual void announce(const NodeAddress& node, DoneCallback callback) = 0;
    virtual void listNodes(NodesCallback callback) = 0;
    /// Takes a node off the list; it is not coming back.
    virtual void withdraw(const std::string& name, DoneCallback callback) = 0;
};

}  // namespace dewcrank
