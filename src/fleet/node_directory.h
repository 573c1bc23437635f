/// @file
/// The nodes that this node knows, each with the instance beside it.
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

/// A node as known here: its record, and what this node has seen of it.
struct KnownNode {
    std::size_t ordinal = 0;  ///< From 1 on, in the order in which nodes became known: for tables beside the directory.
    wire::NodeRecord record;
    TimePoint received{};             ///< When the record came; its cold time runs from then.
    std::uint64_t table_version = 0;  ///< The newest version it is known to have.
    TimePoint last_contact{};         ///< When it last answered, or spoke.
    std::uint32_t failures = 0;       ///< Contacts that failed in a row; over 0: it is suspected.
    bool is_superseded = false;       ///< Another node has answered at its address since it was last heard there.
    std::uint64_t rank = 0;           ///< By a hash of its name; the greatest of a zone stands first.
};

/// Aggregate: records merge by (incarnation, sequence), so that all nodes end with the same
/// whatever the order in which they hear of them. A node alone writes its own record; one that
/// hears of a later life of itself than its own goes on after it.
class NodeDirectory {
public:
    NodeDirectory(Clock& clock, wire::NodeRecord self);

    [[nodiscard]] const wire::NodeRecord& self() const { return self_; }
    /// Replaces what this node says of its instance and of itself.
    void updateSelf(const wire::InstanceRecord& instance, bool is_stopping);
    /// Replaces what this node says of the shards of quotas that it owns.
    /// @param offered those of them that others may take over.
    void setQuotaShards(const std::vector<std::uint32_t>& shards, const std::vector<std::uint32_t>& offered);
    /// Replaces what this node says of the store: true while its calls to it fail.
    void setStoreUnreachable(bool is_unreachable);
    /// Merges a record. @return true if it was news.
    bool merge(const wire::NodeRecord& record);
    /// A node whose record is not known yet, from the store's list.
    void addAddress(const std::string& name, const std::string& zone, const std::string& address);

    [[nodiscard]] const std::map<std::string, KnownNode>& others() const { return others_; }
    [[nodiscard]] std::size_t otherCount() const { return by_ordinal_.size(); }
    /// One of the others. @param place below `otherCount`.
    [[nodiscard]] const KnownNode& other(std::size_t position) const { return *by_ordinal_[position]; }
    /// The other nodes beside whose instance, whatever its state, a service runs. Costs what is
    /// returned, not the fleet. Valid until the next change of the directory.
    [[nodiscard]] const std::vector<const KnownNode*>& othersWithService(const std::string& service) const;
    /// The other nodes of a zone, by rank. Valid until the next change of the directory.
    [[nodiscard]] const std::vector<const KnownNode*>& othersInZone(const std::string& zone) const;
    /// Zones of which a node is known, this node's own included.
    [[nodiscard]] std::size_t zoneCount() const;
    [[nodiscard]] static std::uint64_t rankOf(const std::string& name);
    /// When any other node last answered, or spoke; nothing if none ever has.
    [[nodiscard]] std::optional<TimePoint> lastContact() const { return last_contact_; }
    /// How many of the other nodes have an instance.
    [[nodiscard]] std::size_t otherInstanceCount() const { return instance_count_; }
    /// The other nodes that say that they own a shard of the quotas.
    [[nodiscard]] const std::vector<const KnownNode*>& shardOwners() const { return shard_owners_; }
    [[nodiscard]] const KnownNode* find(const std::string& name) const;
    /// The number of a node; 0 for this node, and for one that is not known.
    [[nodiscard]] std::size_t ordinalOf(const std::string& name) const;
    /// True if its instance takes calls.
    [[nodiscard]] static bool isServing(const wire::NodeRecord& record) {
        return !record.is_stopping() && record.instance().state() == wire::INSTANCE_READY;
    }
    /// True from a failed contact on until the node has been reached or has started anew.
    [[nodiscard]] static bool isSuspected(const KnownNode& node) { return node.failures > 0; }
    /// False while it is suspected, or another node has its address.
    [[nodiscard]] static bool isReachable(const KnownNode& node) { return !isSuspected(node) && !node.is_superseded; }
    /// How much longer its instance is cold.
    [[nodiscard]] static Duration coldLeft(const KnownNode& node, TimePoint now);

    /// The node itself has answered at its address.
    void onReached(const std::string& name);
    /// The node has spoken. That was perhaps a while ago, before another one got its address.
    void onMessageReceived(const std::string& name);
    /// Another node has answered at a node's address.
    void onSuperseded(const std::string& name);
    void onUnreachable(const std::string& name);
    void onTableVersion(const std::string& name, std::uint64_t version);

    /// The records newer than the digest, and the names in which the digest is newer.
    struct Difference {
        std::vector<wire::NodeRecord> newer;
        std::vector<std::string> older;
    };
    [[nodiscard]] Difference differenceTo(const std::vector<wire::RecordVersion>& digest) const;
    [[nodiscard]] std::vector<wire::RecordVersion> digest() const;
    /// Equal in two directories that hold the same versions of the same records; never 0.
    [[nodiscard]] std::uint64_t hash() const;
    /// The record of a node, this one included; null if unknown.
    [[nodiscard]] const wire::NodeRecord* record(const std::string& name) const;

    /// Emitted with a node's name when its record has changed.
    sigc::signal<void(const std::string&)>& signalChanged() { return signal_changed_; }
    /// Emitted with a node's name at each failed contact with it.
    sigc::signal<void(const std::string&)>& signalSuspected() { return signal_suspected_; }
    /// Emitted with the names of two nodes that claim the same address, as soon as the second claim is known: one of
    /// them has gone, and only an answer from there shows which.
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
    std::vector<const KnownNode*> by_ordinal_;  ///< The same; a node stands at its number less one.
    std::uint64_t hash_;                        ///< Sum over the present records, this node's included.
    Index by_service_;                          ///< Others with an instance, by its service; each list by name.
    Index by_zone_;                             ///< Others whose zone is known; each list by rank.
    std::optional<TimePoint> last_contact_;
    std::vector<const KnownNode*> shard_owners_;
    std::size_t instance_count_ = 0;  ///< All that stand in by_service_.
    sigc::signal<void(const std::string&)> signal_changed_;
    sigc::signal<void(const std::string&)> signal_suspected_;
    sigc::signal<void(const std::string&, const std::string&)> signal_address_conflict_;
    sigc::signal<void()> signal_self_changed_;
    std::map<std::string, std::string> claimant_by_address_;  ///< The node that last claimed an address.
};

}  // namespace dewcrank::fleet
