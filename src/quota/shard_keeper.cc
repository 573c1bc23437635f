#include "src/quota/shard_keeper.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace dewcrank::quota {

namespace {

constexpr const char* kLeasePrefix = "shard-";

std::uint64_t weightOf(const std::string& node, std::uint32_t shard) {
    return XXH3_64bits_withSeed(node.data(), node.size(), shard);
}

}  // namespace

std::string leaseNameOf(std::uint32_t shard) {
    return kLeasePrefix + std::to_string(shard);
}

ShardKeeper::ShardKeeper(Clock& clock, EventLog& log, ControlStore& store, fleet::NodeDirectory& directory,
                         const policy::RouteTable& table, ShardKeeperKnobs knobs)
    : clock_(clock), log_(log), store_(store), directory_(directory), table_(table), knobs_(knobs) {}

void ShardKeeper::start() {
    timer_ = clock_.startTimer(knobs_.look_interval, [this] { look(); });
}

/// Only a table with limits needs owners.
bool ShardKeeper::isNeeded() const {
    const auto& tenants = table_.whole().tenants();
    return std::any_of(tenants.begin(), tenants.end(), [](const auto& it) { return it.rate_per_s() > 0; });
}

bool ShardKeeper::hasLiveOwner(std::uint32_t shard) const {
    const auto names = [shard](const wire::NodeRecord& record) {
        const auto& shards = record.quota_shards();
        return std::find(shards.begin(), shards.end(), shard) != shards.end();
    };
    if (names(directory_.self())) {
        return true;
    }
    const auto& owners = directory_.shardOwners();
    return std::any_of(owners.begin(), owners.end(), [&](const auto* node) {
        return names(node->record) && fleet::NodeDirectory::isReachable(*node);
    });
}

/// Owners stand in all zones in turn, so that most nodes ask one of their own zone.
bool ShardKeeper::isCandidate(std::uint32_t shard) const {
    const auto& self = directory_.self();
    std::set<std::string> zones{self.zone()};
    for (const auto& [name, node] : directory_.others()) {
        if (fleet::NodeDirectory::isReachable(node)) {
            zones.insert(node.record.zone());
        }
    }
    const auto zone = *std::next(zones.begin(), static_cast<std::ptrdiff_t>(shard % zones.size()));
    const auto weight = weightOf(self.name(), shard);
    return self.zone() == zone && !self.is_stopping() &&
           std::none_of(directory_.others().begin(), directory_.others().end(), [&](const auto& entry) {
               const auto& record = entry.second.record;
               return record.zone() == zone && !record.is_stopping() &&
                      fleet::NodeDirectory::isReachable(entry.second) && weightOf(record.name(), shard) > weight;
           });
}

void ShardKeeper::look() {
    timer_ = clock_.startTimer(knobs_.look_interval, [this] { look(); });
    if (is_released_ || !isNeeded()) {
        return;
    }
    bool claims = false;
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
        const bool is_due = !hasLiveOwner(shard) && isCandidate(shard);
        looks_[shard] = is_due ? looks_[shard] + 1 : 0;
        claims = claims || looks_[shard] >= knobs_.looks_before_claim;
    }
    if ((claims || !owned_.empty()) && clock_.now() >= next_read_ && !is_reading_) {
        readLeases();
    }
}

void ShardKeeper::readLeases() {
    is_reading_ = true;
    const auto asked = clock_.now();
    store_.readLeases([this, asked](const std::optional<std::vector<LeaseRecord>>& records) {
        is_reading_ = false;
        if (records) {
            next_read_ = clock_.now() + knobs_.confirm_interval;
            onLeases(asked, *records);
        } else {
            next_read_ = clock_.now() + knobs_.confirm_retry;
            log_.write(Event("store_failed").with("step", "leases"));
        }
    });
}

void ShardKeeper::onLeases(TimePoint asked, const std::vector<LeaseRecord>& records) {
    if (is_released_) {
        return;
    }
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
        const auto found =
            std::find_if(records.begin(), records.end(), [&](const auto& it) { return it.name == leaseNameOf(shard); });
        LeaseRecord record;
        record.name = leaseNameOf(shard);
        onRecord(asked, shard, found == records.end() ? record : *found);
    }
    publish();
}

bool ShardKeeper::isOwn(const LeaseRecord& record) const {
    return record.holder == directory_.self().name() && record.incarnation == directory_.self().incarnation();
}

/// Whoever is not reached from here may still be at work: its lease has to end first, which the new owner waits for.
bool ShardKeeper::isLive(const LeaseRecord& record) const {
    const auto* node = directory_.find(record.holder);
    return node != nullptr && fleet::NodeDirectory::isReachable(*node) && !node->record.is_stopping() &&
           node->record.incarnation() == record.incarnation;
}

void ShardKeeper::onRecord(TimePoint asked, std::uint32_t shard, const LeaseRecord& record) {
    const auto owned = owned_.find(shard);
    if (isOwn(record)) {
        auto& it = owned_.try_emplace(shard, knobs_.lease).first->second;
        const bool is_new = !it.lease.isNamed();
        it.lease.onNamed(asked, clock_.now(), it.former_is_gone);
        it.revision = record.revision;
        if (is_new) {
            it.shard = std::make_unique<QuotaShard>(shard, it.lease.began());
            log_.write(Event("quota_shard_owned")
                           .with("shard", shard)
                           .with("from_ms", toMilliseconds(it.lease.began() - clock_.now())));
        }
        return;
    }
    if (owned != owned_.end() && owned->second.lease.isNamed()) {
        log_.write(Event("quota_shard_lost").with("shard", shard).with("peer", record.holder));
        owned_.erase(owned);
    }
    if (looks_[shard] >= knobs_.looks_before_claim && !isLive(record)) {
        claim(shard, record);
    }
}

/// What became of it is read back, whatever the answer: it may be lost, and the write be done later.
void ShardKeeper::claim(std::uint32_t shard, const LeaseRecord& present) {
    looks_[shard] = 0;
    const auto& self = directory_.self();
    const auto* holder = directory_.record(present.holder);
    const bool has_started_anew = holder != nullptr && holder->incarnation() > present.incarnation;
    auto& it = owned_.insert_or_assign(shard, Owned(knobs_.lease)).first->second;
    it.former_is_gone = present.holder.empty() || has_started_anew;
    auto wanted = present;
    wanted.holder = self.name();
    wanted.incarnation = self.incarnation();
    store_.putLease(wanted, [this](bool) { next_read_ = clock_.now(); });
    next_read_ = clock_.now() + knobs_.confirm_retry;
}

void ShardKeeper::publish() {
    std::vector<std::uint32_t> shards;
    for (const auto& [shard, it] : owned_) {
        if (it.lease.isNamed()) {
            shards.push_back(shard);
        }
    }
    directory_.setQuotaShards(shards);
}

QuotaShard* ShardKeeper::granting(std::uint32_t shard) {
    const auto found = owned_.find(shard);
    const bool may_grant = found != owned_.end() && !is_released_ && found->second.lease.mayGrant(clock_.now());
    return may_grant ? found->second.shard.get() : nullptr;
}

std::uint64_t ShardKeeper::termOf(std::uint32_t shard) const {
    const auto found = owned_.find(shard);
    return found == owned_.end() ? 0 : found->second.revision;
}

std::size_t ShardKeeper::grantingCount() const {
    const auto now = clock_.now();
    return static_cast<std::size_t>(std::count_if(
        owned_.begin(), owned_.end(), [now](const auto& entry) { return entry.second.lease.mayGrant(now); }));
}

/// Written once: an answer that is lost costs the next owner the rest of the lease.
void ShardKeeper::release() {
    is_released_ = true;
    for (const auto& [shard, it] : owned_) {
        if (it.lease.isNamed()) {
            store_.putLease({leaseNameOf(shard), "", 0, it.revision}, [](bool) {});
        }
    }
    owned_.clear();
    publish();
}

}  // namespace dewcrank::quota
