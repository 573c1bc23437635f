#include "src/quota/shard_lease_manager.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace dewcrank::quota {

namespace {

constexpr const char* kLeasePrefix = "shard-";
/// Era of a store that was never restored from an older copy.
constexpr std::uint64_t kFirstEra = 1;

bool contains(const google::protobuf::RepeatedField<std::uint32_t>& shards, std::uint32_t shard) {
    return std::find(shards.begin(), shards.end(), shard) != shards.end();
}

/// True if the node owns the shard and does not offer it for takeover.
bool ownsConfirmed(const wire::NodeRecord& record, std::uint32_t shard) {
    return contains(record.quota_shards(), shard) && !contains(record.offered_shards(), shard);
}

std::uint64_t weightOf(const std::string& node, std::uint32_t shard) {
    return XXH3_64bits_withSeed(node.data(), node.size(), shard);
}

}  // namespace

std::string leaseNameOf(std::uint32_t shard) {
    return kLeasePrefix + std::to_string(shard);
}

ShardLeaseManager::ShardLeaseManager(Clock& clock, EventLog& log, ControlStore& store, fleet::NodeDirectory& directory,
                                     const policy::RouteTable& table, ShardLeaseManagerKnobs knobs)
    : clock_(clock),
      log_(log),
      store_(store),
      directory_(directory),
      table_(table),
      knobs_(knobs),
      started_at_(clock.now()),
      first_incarnation_(directory.self().incarnation()) {}

void ShardLeaseManager::start() {
    timer_ = clock_.startTimer(knobs_.check_interval, [this] { checkOwners(); });
}

/// Shards need owners only if a tenant has a rate limit.
bool ShardLeaseManager::hasRateLimits() const {
    const auto& tenants = table_.contents().tenants();
    return std::any_of(tenants.begin(), tenants.end(), [](const auto& it) { return it.rate_per_s() > 0; });
}

bool ShardLeaseManager::hasLiveOwner(std::uint32_t shard) const {
    const auto& owners = directory_.shardOwners();
    return ownsConfirmed(directory_.self(), shard) || std::any_of(owners.begin(), owners.end(), [&](const auto* node) {
               return ownsConfirmed(node->record, shard) && fleet::NodeDirectory::isReachable(*node);
           });
}

/// Number of nodes that would claim the shard before this one. The preferred zone alternates with the shard, so that
/// most nodes find owners in their own zone.
std::size_t ShardLeaseManager::candidateRank(std::uint32_t shard) const {
    const auto& self = directory_.self();
    std::set<std::string> zones{self.zone()};
    for (const auto& [name, node] : directory_.others()) {
        if (fleet::NodeDirectory::isReachable(node)) {
            zones.insert(node.record.zone());
        }
    }
    const auto zone = *std::next(zones.begin(), static_cast<std::ptrdiff_t>(shard % zones.size()));
    const auto priority = [&](const wire::NodeRecord& record) {
        return std::make_pair(record.zone() == zone, weightOf(record.name(), shard));
    };
    const auto own = priority(self);
    const auto& others = directory_.others();
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [&](const auto& entry) {
        const auto& record = entry.second.record;
        return !record.is_stopping() && fleet::NodeDirectory::isReachable(entry.second) && priority(record) > own;
    }));
}

bool ShardLeaseManager::isClaimDue(std::uint32_t shard) const {
    const auto found = checks_without_owner_.find(shard);
    const auto checks = found == checks_without_owner_.end() ? 0 : found->second;
    return checks >= knobs_.checks_before_claim && !directory_.self().is_stopping() &&
           checks >= knobs_.checks_before_claim * (1 + candidateRank(shard));
}

void ShardLeaseManager::checkOwners() {
    timer_ = clock_.startTimer(knobs_.check_interval, [this] { checkOwners(); });
    if (is_released_ || !hasRateLimits()) {
        return;
    }
    bool is_claim_due = false;
    for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
        checks_without_owner_[shard] = hasLiveOwner(shard) ? 0 : checks_without_owner_[shard] + 1;
        is_claim_due = is_claim_due || isClaimDue(shard);
    }
    publishOwnership();
    if ((is_claim_due || !owned_.empty()) && clock_.now() >= next_read_ && !is_reading_) {
        readLeases();
    }
}

void ShardLeaseManager::readLeases() {
    is_reading_ = true;
    const auto requested_at = clock_.now();
    store_.readLeases([this, requested_at](const std::optional<std::vector<LeaseRecord>>& records) {
        is_reading_ = false;
        if (records) {
            checkStoreEra();
            is_confirmed_ = true;
            next_read_ = clock_.now() + knobs_.confirm_interval;
            onLeases(requested_at, *records);
        } else {
            is_confirmed_ = false;
            next_read_ = clock_.now() + knobs_.confirm_retry_interval;
            log_.write(Event("store_failed").with("step", "leases"));
            publishOwnership();
        }
    });
}

/// A store that was restored from an older copy has lost the latest owners. All leases are dropped, and new terms start
/// only after the lost leases have expired.
void ShardLeaseManager::checkStoreEra() {
    if (store_.era() == era_ || knobs_.disabled.store_era_check) {
        return;
    }
    const auto previous = std::exchange(era_, store_.era());
    era_since_ = clock_.now();
    if (previous == 0) {
        return;
    }
    for (const auto& [shard, it] : std::exchange(owned_, {})) {
        log_.write(Event("quota_shard_lost").with("shard", shard).with("peer", "store-returned"));
    }
    publishOwnership();
}

/// False after the store was restored, until leases that it may have lost have expired: the holder in a record, or its
/// absence, then does not show that no other node grants tokens.
bool ShardLeaseManager::isLeaseHistoryComplete() const {
    const auto max_term = std::chrono::duration_cast<Duration>(knobs_.lease.term * (1 + knobs_.lease.margin_ratio));
    return era_ <= kFirstEra || clock_.now() - era_since_ > max_term;
}

void ShardLeaseManager::onLeases(TimePoint requested_at, const std::vector<LeaseRecord>& records) {
    if (is_released_) {
        return;
    }
    for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
        const auto found =
            std::find_if(records.begin(), records.end(), [&](const auto& it) { return it.name == leaseNameOf(shard); });
        LeaseRecord record;
        record.name = leaseNameOf(shard);
        onLease(requested_at, shard, found == records.end() ? record : *found);
    }
    publishOwnership();
}

bool ShardLeaseManager::isOwnLease(const LeaseRecord& record) const {
    return record.holder == directory_.self().name() && record.incarnation == directory_.self().incarnation();
}

/// An unreachable holder counts as dead although it may still grant tokens: the new owner waits for its lease to
/// expire.
bool ShardLeaseManager::isOwnerLive(std::uint32_t shard, const LeaseRecord& record) const {
    const auto* node = directory_.find(record.holder);
    return node != nullptr && fleet::NodeDirectory::isReachable(*node) && !node->record.is_stopping() &&
           node->record.incarnation() == record.incarnation && !contains(node->record.offered_shards(), shard);
}

void ShardLeaseManager::onLease(TimePoint requested_at, std::uint32_t shard, const LeaseRecord& record) {
    const auto owned = owned_.find(shard);
    if (isOwnLease(record)) {
        auto& it = owned_.try_emplace(shard, knobs_.lease).first->second;
        const bool is_new = !it.lease.isOwner();
        it.lease.onConfirmed(requested_at, clock_.now(), it.previous_end.has_value());
        it.revision = record.revision;
        if (is_new) {
            it.shard = std::make_unique<QuotaShard>(shard, it.previous_end.value_or(it.lease.termStart()));
            if (it.lease.waitsForPreviousOwner(clock_.now())) {
                signal_takeover_.emit(shard, it.previous_owner);
            }
            log_.write(Event("quota_shard_owned")
                           .with("shard", shard)
                           .with("from_ms", toMilliseconds(it.lease.termStart() - clock_.now())));
        }
        return;
    }
    if (owned != owned_.end() && owned->second.lease.isOwner()) {
        log_.write(Event("quota_shard_lost").with("shard", shard).with("peer", record.holder));
        owned_.erase(owned);
    }
    if (isClaimDue(shard) && !isOwnerLive(shard, record)) {
        claim(shard, record);
    }
}

/// Time after which the holder of a lease has granted nothing, if known: a restarted holder has lost its lease.
std::optional<TimePoint> ShardLeaseManager::previousOwnerEnd(const LeaseRecord& record) const {
    const auto& self = directory_.self();
    if (!isLeaseHistoryComplete()) {
        return std::nullopt;
    }
    if (record.holder.empty()) {
        return clock_.now();
    }
    if (record.holder == self.name() && record.incarnation < self.incarnation()) {
        const bool is_earlier_process = record.incarnation < first_incarnation_;
        return is_earlier_process ? started_at_ : clock_.now();
    }
    const auto* node = directory_.find(record.holder);
    const bool has_restarted = node != nullptr && node->record.incarnation() > record.incarnation;
    return has_restarted ? std::optional(node->received) : std::nullopt;
}

/// Whether the write succeeded is read back: a failed call can still be executed by the store.
void ShardLeaseManager::claim(std::uint32_t shard, const LeaseRecord& current) {
    checks_without_owner_[shard] = 0;
    const auto& self = directory_.self();
    auto& it = owned_.insert_or_assign(shard, OwnedShard(knobs_.lease)).first->second;
    it.previous_end = previousOwnerEnd(current);
    it.previous_owner = current.holder;
    it.previous_incarnation = current.incarnation;
    auto claimed = current;
    claimed.holder = self.name();
    claimed.incarnation = self.incarnation();
    store_.putLease(claimed, [this](bool) {
        if (!is_reading_ && !is_released_) {
            readLeases();
        }
    });
    next_read_ = clock_.now() + knobs_.confirm_retry_interval;
}

/// If the store does not confirm the leases, all shards are offered for takeover; this node continues to grant tokens
/// until the leases expire or another node takes over.
void ShardLeaseManager::publishOwnership() {
    std::vector<std::uint32_t> shards;
    const auto now = clock_.now();
    for (const auto& [shard, it] : owned_) {
        if (it.lease.mayGrant(now) || it.lease.waitsForPreviousOwner(now)) {
            shards.push_back(shard);
        }
    }
    directory_.setQuotaShards(shards, is_confirmed_ ? std::vector<std::uint32_t>{} : shards);
}

void ShardLeaseManager::onPreviousOwnerStopped(std::uint32_t shard, const std::string& previous_owner,
                                               std::uint64_t incarnation) {
    const auto found = owned_.find(shard);
    if (found == owned_.end() || found->second.previous_owner != previous_owner ||
        found->second.previous_incarnation > incarnation) {
        return;
    }
    found->second.lease.onPreviousOwnerStopped(clock_.now());
    found->second.shard = std::make_unique<QuotaShard>(shard, found->second.lease.termStart());
}

void ShardLeaseManager::relinquish(std::uint32_t shard) {
    if (owned_.erase(shard) > 0) {
        log_.write(Event("quota_shard_lost").with("shard", shard).with("peer", "by-takeover"));
        publishOwnership();
    }
}

bool ShardLeaseManager::mayGrant(std::uint32_t shard) const {
    const auto found = owned_.find(shard);
    return found != owned_.end() && !is_released_ && found->second.lease.mayGrant(clock_.now());
}

QuotaShard* ShardLeaseManager::grantableShard(std::uint32_t shard) {
    return mayGrant(shard) ? owned_.at(shard).shard.get() : nullptr;
}

std::uint64_t ShardLeaseManager::termOf(std::uint32_t shard) const {
    const auto found = owned_.find(shard);
    return found == owned_.end() ? 0 : found->second.revision;
}

std::size_t ShardLeaseManager::grantingCount() const {
    const auto now = clock_.now();
    return static_cast<std::size_t>(std::count_if(
        owned_.begin(), owned_.end(), [now](const auto& entry) { return entry.second.lease.mayGrant(now); }));
}

/// Written without retries: if a write fails, the next owner waits for the lease to expire.
void ShardLeaseManager::release() {
    is_released_ = true;
    for (const auto& [shard, it] : owned_) {
        if (it.lease.isOwner()) {
            store_.putLease({leaseNameOf(shard), "", 0, it.revision}, [](bool) {});
        }
    }
    owned_.clear();
    publishOwnership();
}

}  // namespace dewcrank::quota
