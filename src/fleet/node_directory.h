/// @file
/// Directory of all known nodes of the fleet, each with the record of its local application instance.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "proto/generated/fleet.pb.h"
#include "src/base/time.h"
#include "src/ports/clock.h"

namespace dewcrank::fleet {

/// A node's replicated record, and this node's own observations of it, which are not replicated.
struct KnownNode {
    std::size_t ordinal = 0;          ///< From 1 in order of discovery; indexes tables of other parts.
    wire::NodeRecord record;          ///< Only name, zone and address until the node's own record arrives.
    TimePoint received{};             ///< Arrival of the record; the warm-up time in the record counts from then.
    std::uint64_t table_version = 0;  ///< Newest route table that the node is known to have.
    TimePoint last_contact{};         ///< Last response or message from the node.
    std::uint32_t failures = 0;       ///< Failed contacts since the last successful one; suspected if over 0.
    bool is_superseded = false;       ///< Another node uses its address, and it has not responded there since.
    std::uint64_t rank = 0;           ///< Hash of its name; a zone's nodes are ordered by falling rank.
    /// Leaves in records of its earlier processes that its present process may not know; at most kMaxFormerLeaves.
    std::vector<wire::InstanceLeave> former_leaves;
    std::uint64_t seen_incarnation = 0;  ///< The latest in a message of the node; its record may be of an earlier one.
};

/// Most former leaves that are kept of a node.
inline constexpr std::size_t kMaxFormerLeaves = 8;

/// Holds one record per node. Records merge by (incarnation, sequence): all directories converge, whatever the order of
/// arrival. Only a node itself writes its record; if it receives a newer one of itself, it raises its incarnation.
class NodeDirectory {
public:
    /// @param self this node's own record.
    NodeDirectory(Clock& clock, wire::NodeRecord self);

    [[nodiscard]] const wire::NodeRecord& self() const { return self_; }
    /// Updates the state of the local instance, the leaves of its incarnations, and whether this node is stopping, in
    /// the own record.
    void updateSelf(const wire::InstanceRecord& instance, const std::vector<wire::InstanceLeave>& leaves,
                    bool is_stopping);
    /// Updates the quota shards that this node owns.
    /// @param offered those of them that other nodes may take over.
    void setQuotaShards(const std::vector<std::uint32_t>& shards, const std::vector<std::uint32_t>& offered);
    /// Updates whether this node's calls to the store fail.
    void setStoreUnreachable(bool is_unreachable);
    /// Merges a record. @return true if it was newer than the present one.
    bool merge(const wire::NodeRecord& record);
    /// Adds a node of which only the address is known. Ignored if the directory has the node.
    void addAddress(const std::string& name, const std::string& zone, const std::string& address);

    /// All nodes but this one, by name.
    [[nodiscard]] const std::map<std::string, KnownNode>& others() const { return others_; }
    [[nodiscard]] std::size_t otherCount() const { return by_ordinal_.size(); }
    /// One of the other nodes, in order of discovery. @param index below `otherCount`.
    [[nodiscard]] const KnownNode& other(std::size_t index) const { return *by_ordinal_[index]; }
    /// The other nodes whose local instance runs a service, in any state, by name. Indexed: the cost does not depend on
    /// the size of the fleet. Valid until the next change of the directory.
    [[nodiscard]] const std::vector<const KnownNode*>& othersWithService(const std::string& service) const;
    /// The other nodes of a zone, by falling rank. Valid until the next change of the directory.
    [[nodiscard]] const std::vector<const KnownNode*>& othersInZone(const std::string& zone) const;
    /// The zones with a known node, this node's zone included, in order of their names.
    [[nodiscard]] std::vector<std::string> zones() const;
    [[nodiscard]] std::size_t zoneCount() const { return zones().size(); }
    /// The rank of a node: a hash of its name.
    [[nodiscard]] static std::uint64_t rankOf(const std::string& name);
    /// Last response or message from any other node; empty if there was none.
    [[nodiscard]] std::optional<TimePoint> lastContact() const { return last_contact_; }
    /// Number of other nodes with an instance.
    [[nodiscard]] std::size_t otherInstanceCount() const { return instance_count_; }
    /// The other nodes whose records name them as owners of quota shards.
    [[nodiscard]] const std::vector<const KnownNode*>& shardOwners() const { return shard_owners_; }
    /// Another node by its name; null if unknown.
    [[nodiscard]] const KnownNode* find(const std::string& name) const;
    /// The ordinal of another node; 0 for this node and for unknown ones.
    [[nodiscard]] std::size_t ordinalOf(const std::string& name) const;
    /// True if the node's local instance accepts calls.
    [[nodiscard]] static bool isServing(const wire::NodeRecord& record) {
        return !record.is_stopping() && record.instance().state() == wire::INSTANCE_READY;
    }
    /// True from a failed contact until a successful one or a new incarnation.
    [[nodiscard]] static bool isSuspected(const KnownNode& node) { return node.failures > 0; }
    /// False if the node is suspected or superseded at its address.
    [[nodiscard]] static bool isReachable(const KnownNode& node) { return !isSuspected(node) && !node.is_superseded; }
    /// Remaining warm-up time of the node's instance; zero if the instance is warmed up.
    [[nodiscard]] static Duration coldLeft(const KnownNode& node, TimePoint now);

    /// The node has responded at its address: it is neither suspected nor superseded.
    void onReached(const std::string& name);
    /// A message of the node has arrived. It may be delayed, so that it does not prove that the node has its address.
    void onMessageReceived(const std::string& name);
    /// Another node has responded at the node's address.
    void onSuperseded(const std::string& name);
    /// A contact with the node has failed.
    void onUnreachable(const std::string& name);
    /// Records the incarnation that a message of a node names.
    /// @return whether that shows for the first time that its process is a later one than that of its record.
    bool onIncarnationSeen(const std::string& name, std::uint64_t incarnation);
    /// The leaves that earlier processes of a node have recorded and its present process may not know.
    [[nodiscard]] std::vector<wire::InstanceLeave> formerLeaves(const std::string& name) const;
    /// Records the table version of a node; an older one is ignored.
    void onTableVersion(const std::string& name, std::uint64_t version);

    /// Result of a comparison with another node's digest.
    struct Difference {
        std::vector<wire::NodeRecord> newer;  ///< Records that are newer here, or missing from the digest.
        std::vector<std::string> older;       ///< Names of the nodes whose records are older here, or missing.
    };
    /// Compares the records here with a digest.
    [[nodiscard]] Difference differenceTo(const std::vector<wire::RecordVersion>& digest) const;
    /// The versions of all records, this node's included.
    [[nodiscard]] std::vector<wire::RecordVersion> digest() const;
    /// Hash of all record versions, for a comparison of two directories; never 0.
    [[nodiscard]] std::uint64_t hash() const;
    /// The record of any node, this one included; null if unknown.
    [[nodiscard]] const wire::NodeRecord* record(const std::string& name) const;

    /// Emitted with the name of another node when its record or its `is_superseded` has changed.
    sigc::signal<void(const std::string&)>& signalChanged() { return signal_changed_; }
    /// Emitted with a node's name at each failed contact with it.
    sigc::signal<void(const std::string&)>& signalSuspected() { return signal_suspected_; }
    /// Emitted with the previous and the new claimant when two records have the same address. The response from that
    /// address shows which of the two still exists.
    sigc::signal<void(const std::string&, const std::string&)>& signalAddressConflict() {
        return signal_address_conflict_;
    }
    /// Emitted when this node's own record has changed.
    sigc::signal<void()>& signalSelfChanged() { return signal_self_changed_; }

private:
    using Index = std::map<std::string, std::vector<const KnownNode*>>;
    void refute(const wire::NodeRecord& record);
    void replaceRecord(wire::NodeRecord* record, const wire::NodeRecord& next);
    KnownNode& findOrAdd(const std::string& name);
    void replaceOtherRecord(KnownNode* known, const wire::NodeRecord& next);
    void updateServiceIndex(KnownNode* known, const std::string& previous);
    void updateZoneIndex(KnownNode* known, const std::string& previous);
    void claimAddress(const wire::NodeRecord& record);
    void replaceSelf(const wire::NodeRecord& next);

    Clock& clock_;
    wire::NodeRecord self_;
    std::map<std::string, KnownNode> others_;
    std::vector<const KnownNode*> by_ordinal_;  ///< Pointers into others_; index: ordinal - 1.
    std::uint64_t hash_;                        ///< Sum of the hashes of all record versions, this node's included.
    Index by_service_;                          ///< Other nodes with an instance; each list sorted by name.
    Index by_zone_;                             ///< Other nodes with a known zone; each list by falling rank.
    std::optional<TimePoint> last_contact_;
    std::vector<const KnownNode*> shard_owners_;
    std::size_t instance_count_ = 0;  ///< Total size of the lists of by_service_.
    sigc::signal<void(const std::string&)> signal_changed_;
    sigc::signal<void(const std::string&)> signal_suspected_;
    sigc::signal<void(const std::string&, const std::string&)> signal_address_conflict_;
    sigc::signal<void()> signal_self_changed_;
    std::map<std::string, std::string> claimant_by_address_;  ///< Node of the last record with this address.
};

}  // namespace dewcrank::fleet
