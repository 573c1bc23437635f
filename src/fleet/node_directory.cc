#include "src/fleet/node_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace dewcrank::fleet {

namespace {

template <typename Left, typename Right>
bool isNewer(const Left& left, const Right& right) {
    return std::make_tuple(left.incarnation(), left.sequence()) >
           std::make_tuple(right.incarnation(), right.sequence());
}

wire::RecordVersion versionOf(const wire::NodeRecord& record) {
    wire::RecordVersion version;
    version.set_name(record.name());
    version.set_incarnation(record.incarnation());
    version.set_sequence(record.sequence());
    return version;
}

std::uint64_t hashOf(const wire::NodeRecord& record) {
    const std::array<std::uint64_t, 2> version{record.incarnation(), record.sequence()};
    return XXH3_64bits_withSeed(version.data(), sizeof version,
                                XXH3_64bits(record.name().data(), record.name().size()));
}

bool isSameIncarnation(const wire::InstanceLeave& left, const wire::InstanceLeave& right) {
    return left.id() == right.id() && left.born_ms() == right.born_ms();
}

/// Adds the leaves of a node's record to the former ones, the latest last; the earliest surplus ones are dropped.
void keepFormerLeaves(KnownNode* known) {
    auto& former = known->former_leaves;
    for (const auto& leave : known->record.leaves()) {
        std::erase_if(former, [&leave](const auto& it) { return isSameIncarnation(it, leave); });
        former.push_back(leave);
    }
    const auto surplus = former.size() - std::min(former.size(), kMaxFormerLeaves);
    former.erase(former.begin(), former.begin() + static_cast<std::ptrdiff_t>(surplus));
}

/// Removes the leaves that a record of the present process has.
void dropKnownLeaves(const wire::NodeRecord& record, std::vector<wire::InstanceLeave>* former) {
    for (const auto& leave : record.leaves()) {
        std::erase_if(*former, [&leave](const auto& it) {
            return isSameIncarnation(it, leave) && (leave.has_left() || !it.has_left());
        });
    }
}

}  // namespace

NodeDirectory::NodeDirectory(Clock& clock, wire::NodeRecord self)
    : clock_(clock), self_(std::move(self)), hash_(hashOf(self_)) {}

/// Replaces a record and updates the hash, a sum that does not depend on the order of the records.
void NodeDirectory::replaceRecord(wire::NodeRecord* record, const wire::NodeRecord& next) {
    hash_ -= record->name().empty() ? 0 : hashOf(*record);
    *record = next;
    hash_ += hashOf(*record);
}

/// Replaces another node's record and updates the indexes.
void NodeDirectory::replaceOtherRecord(KnownNode* known, const wire::NodeRecord& next) {
    const auto old_service = known->record.instance().service();
    const auto old_zone = known->record.zone();
    replaceRecord(&known->record, next);
    std::erase(shard_owners_, known);
    if (next.quota_shards_size() > 0) {
        shard_owners_.push_back(known);
    }
    updateServiceIndex(known, old_service);
    updateZoneIndex(known, old_zone);
}

void NodeDirectory::updateServiceIndex(KnownNode* known, const std::string& previous) {
    const auto& service = known->record.instance().service();
    if (service == previous) {
        return;
    }
    const auto position = [&](std::vector<const KnownNode*>& nodes) {
        return std::lower_bound(nodes.begin(), nodes.end(), known->record.name(),
                                [](const KnownNode* it, const std::string& name) { return it->record.name() < name; });
    };
    if (!previous.empty()) {
        auto& nodes = by_service_[previous];
        nodes.erase(position(nodes));
        --instance_count_;
    }
    if (!service.empty()) {
        auto& nodes = by_service_[service];
        nodes.insert(position(nodes), known);
        ++instance_count_;
    }
}

void NodeDirectory::updateZoneIndex(KnownNode* known, const std::string& previous) {
    const auto& zone = known->record.zone();
    if (zone == previous) {
        return;
    }
    if (!previous.empty()) {
        std::erase(by_zone_[previous], known);
    }
    if (!zone.empty()) {
        known->rank = rankOf(known->record.name());
        auto& nodes = by_zone_[zone];
        const auto position =
            std::find_if(nodes.begin(), nodes.end(), [known](const auto* it) { return it->rank < known->rank; });
        nodes.insert(position, known);
    }
}

void NodeDirectory::updateSelf(const wire::InstanceRecord& instance, const std::vector<wire::InstanceLeave>& leaves,
                               bool is_stopping) {
    auto next = self_;
    *next.mutable_instance() = instance;
    next.mutable_leaves()->Assign(leaves.begin(), leaves.end());
    next.set_is_stopping(is_stopping);
    if (next.SerializeAsString() != self_.SerializeAsString()) {
        replaceSelf(next);
    }
}

void NodeDirectory::setQuotaShards(const std::vector<std::uint32_t>& shards,
                                   const std::vector<std::uint32_t>& offered) {
    auto next = self_;
    next.mutable_quota_shards()->Assign(shards.begin(), shards.end());
    next.mutable_offered_shards()->Assign(offered.begin(), offered.end());
    if (next.SerializeAsString() != self_.SerializeAsString()) {
        replaceSelf(next);
    }
}

void NodeDirectory::setStoreUnreachable(bool is_unreachable) {
    if (is_unreachable != self_.is_store_away()) {
        auto next = self_;
        next.set_is_store_away(is_unreachable);
        replaceSelf(next);
    }
}

void NodeDirectory::replaceSelf(const wire::NodeRecord& next) {
    auto numbered = next;
    numbered.set_sequence(self_.sequence() + 1);
    replaceRecord(&self_, numbered);
    signal_self_changed_.emit();
}

/// Records the node as claimant of its address. Only one of two nodes with the same address can exist, and the records
/// do not show which, as incarnations of different nodes are not comparable. This node keeps its own address.
void NodeDirectory::claimAddress(const wire::NodeRecord& record) {
    if (record.address().empty()) {
        return;
    }
    if (record.address() == self_.address()) {
        findOrAdd(record.name()).is_superseded = true;
        return;
    }
    auto& claimant = claimant_by_address_[record.address()];
    const auto previous = std::exchange(claimant, record.name());
    if (!previous.empty() && previous != record.name()) {
        signal_address_conflict_.emit(previous, record.name());
    }
}

bool NodeDirectory::merge(const wire::NodeRecord& record) {
    if (record.name() == self_.name()) {
        refute(record);
        return false;
    }
    auto& known = findOrAdd(record.name());
    if (!known.record.name().empty() && !isNewer(record, known.record)) {
        return false;
    }
    if (record.incarnation() > known.record.incarnation()) {
        known.failures = 0;
        known.table_version = 0;
        known.is_superseded = false;
        keepFormerLeaves(&known);
    }
    dropKnownLeaves(record, &known.former_leaves);
    const bool has_moved = record.address() != known.record.address();
    known.is_superseded = known.is_superseded && !has_moved;
    replaceOtherRecord(&known, record);
    known.received = clock_.now();
    if (has_moved) {
        claimAddress(record);
    }
    signal_changed_.emit(record.name());
    return true;
}

/// Raises the own incarnation above a received one. An earlier process of this node can have a greater incarnation if
/// its clock was ahead.
void NodeDirectory::refute(const wire::NodeRecord& record) {
    if (isNewer(record, self_)) {
        auto next = self_;
        next.set_incarnation(record.incarnation() + 1);
        replaceRecord(&self_, next);
        signal_self_changed_.emit();
    }
}

bool NodeDirectory::onIncarnationSeen(const std::string& name, std::uint64_t incarnation) {
    const auto found = others_.find(name);
    if (found == others_.end()) {
        return false;
    }
    auto& known = found->second;
    if (incarnation <= std::max(known.record.incarnation(), known.seen_incarnation)) {
        return false;
    }
    known.seen_incarnation = incarnation;
    keepFormerLeaves(&known);
    return true;
}

std::vector<wire::InstanceLeave> NodeDirectory::formerLeaves(const std::string& name) const {
    const auto* known = find(name);
    return known == nullptr ? std::vector<wire::InstanceLeave>() : known->former_leaves;
}

void NodeDirectory::addAddress(const std::string& name, const std::string& zone, const std::string& address) {
    if (name == self_.name() || others_.contains(name)) {
        return;
    }
    wire::NodeRecord record;
    record.set_name(name);
    record.set_zone(zone);
    record.set_address(address);
    auto& known = findOrAdd(name);
    replaceOtherRecord(&known, record);
    known.received = clock_.now();
    claimAddress(record);
}

const std::vector<const KnownNode*>& NodeDirectory::othersWithService(const std::string& service) const {
    static const std::vector<const KnownNode*> none;
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? none : found->second;
}

const std::vector<const KnownNode*>& NodeDirectory::othersInZone(const std::string& zone) const {
    static const std::vector<const KnownNode*> none;
    const auto found = by_zone_.find(zone);
    return found == by_zone_.end() ? none : found->second;
}

std::vector<std::string> NodeDirectory::zones() const {
    std::set<std::string> names{self_.zone()};
    for (const auto& [zone, nodes] : by_zone_) {
        if (!nodes.empty()) {
            names.insert(zone);
        }
    }
    return {names.begin(), names.end()};
}

std::uint64_t NodeDirectory::rankOf(const std::string& name) {
    return XXH3_64bits(name.data(), name.size());
}

KnownNode& NodeDirectory::findOrAdd(const std::string& name) {
    auto& known = others_[name];
    if (known.ordinal == 0) {
        by_ordinal_.push_back(&known);
        known.ordinal = by_ordinal_.size();
    }
    return known;
}

std::size_t NodeDirectory::ordinalOf(const std::string& name) const {
    const auto* known = find(name);
    return known == nullptr ? 0 : known->ordinal;
}

const KnownNode* NodeDirectory::find(const std::string& name) const {
    const auto found = others_.find(name);
    return found == others_.end() ? nullptr : &found->second;
}

Duration NodeDirectory::coldLeft(const KnownNode& node, TimePoint now) {
    const auto reported = std::chrono::milliseconds(node.record.instance().cold_left_ms());
    return std::max<Duration>(Duration::zero(), reported - (now - node.received));
}

void NodeDirectory::onMessageReceived(const std::string& name) {
    if (const auto found = others_.find(name); found != others_.end()) {
        found->second.failures = 0;
        found->second.last_contact = clock_.now();
        last_contact_ = found->second.last_contact;
    }
}

void NodeDirectory::onReached(const std::string& name) {
    onMessageReceived(name);
    const auto found = others_.find(name);
    if (found != others_.end() && found->second.is_superseded) {
        found->second.is_superseded = false;
        signal_changed_.emit(name);
    }
}

void NodeDirectory::onSuperseded(const std::string& name) {
    const auto found = others_.find(name);
    if (found != others_.end() && !found->second.is_superseded) {
        found->second.is_superseded = true;
        signal_changed_.emit(name);
    }
}

void NodeDirectory::onUnreachable(const std::string& name) {
    const auto found = others_.find(name);
    if (found != others_.end()) {
        ++found->second.failures;
        signal_suspected_.emit(name);
    }
}

void NodeDirectory::onTableVersion(const std::string& name, std::uint64_t version) {
    if (const auto found = others_.find(name); found != others_.end()) {
        found->second.table_version = std::max(found->second.table_version, version);
    }
}

const wire::NodeRecord* NodeDirectory::record(const std::string& name) const {
    if (name == self_.name()) {
        return &self_;
    }
    const auto* known = find(name);
    return known == nullptr ? nullptr : &known->record;
}

std::vector<wire::RecordVersion> NodeDirectory::digest() const {
    std::vector<wire::RecordVersion> versions{versionOf(self_)};
    for (const auto& [name, known] : others_) {
        versions.push_back(versionOf(known.record));
    }
    return versions;
}

std::uint64_t NodeDirectory::hash() const {
    return std::max<std::uint64_t>(hash_, 1);
}

NodeDirectory::Difference NodeDirectory::differenceTo(const std::vector<wire::RecordVersion>& digest) const {
    Difference difference;
    std::map<std::string, const wire::RecordVersion*> remote;
    for (const auto& version : digest) {
        remote[version.name()] = &version;
        const auto* local = record(version.name());
        if (local == nullptr || isNewer(version, *local)) {
            difference.older.push_back(version.name());
        }
    }
    const auto add_if_newer = [&](const wire::NodeRecord& local) {
        const auto found = remote.find(local.name());
        if (found == remote.end() || isNewer(local, *found->second)) {
            difference.newer.push_back(local);
        }
    };
    add_if_newer(self_);
    for (const auto& [name, known] : others_) {
        add_if_newer(known.record);
    }
    return difference;
}

}  // namespace dewcrank::fleet
