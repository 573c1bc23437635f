#include "src/quota/shard_keeper.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace dewcrank::quota {

namespace {

constexpr const char* kLeasePrefix = "shard-";
/// Of a store that has never come back from an older copy.
constexpr std::uint64_t kFirstEra = 1;

bool holds(const google::protobuf::RepeatedField<std::uint32_t>& shards, std::uint32_t shard) {
    return std::find(shards.begin(), shards.end(), shard) != shards.end();
}

/// It owns the shard, and can have that confirmed.
bool ownsFirmly(const wire::NodeRecord& record, std::uint32_t shard) {
    return holds(record.quota_shards(), shard) && !holds(record.offered_shards(), shard);
}

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
    const auto& owners = directory_.shardOwners();
    return ownsFirmly(directory_.self(), shard) || std::any_of(owners.begin(), owners.end(), [&](const auto* node) {
               return ownsFirmly(node->record, shard) && fleet::NodeDirectory::isReachable(*node);
           });
}

/// How many others would claim the shard before this node. Owners stand in all zones in turn, so that most nodes ask
/// one of their own zone.
std::size_t ShardKeeper::placeAsCandidate(std::uint32_t shard) const {
    const auto& self = directory_.self();
    std::set<std::string> zones{self.zone()};
    for (const auto& [name, node] : directory_.others()) {
        if (fleet::NodeDirectory::isReachable(node)) {
            zones.insert(node.record.zone());
        }
    }
    const auto zone = *std::next(zones.begin(), static_cast<std::ptrdiff_t>(shard % zones.size()));
    const auto standing = [&](const wire::NodeRecord& record) {
        return std::make_pair(record.zone() == zone, weightOf(record.name(), shard));
    };
    const auto own = standing(self);
    const auto& others = directory_.others();
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [&](const auto& entry) {
        const auto& record = entry.second.record;
        return !record.is_stopping() && fleet::NodeDirectory::isReachable(entry.second) && standing(record) > own;
    }));
}

bool ShardKeeper::isClaimDue(std::uint32_t shard) const {
    const auto found = looks_.find(shard);
    const auto looks = found == looks_.end() ? 0 : found->second;
    return looks >= knobs_.looks_before_claim && !directory_.self().is_stopping() &&
           looks >= knobs_.looks_before_claim * (1 + placeAsCandidate(shard));
}

void ShardKeeper::look() {
    timer_ = clock_.startTimer(knobs_.look_interval, [this] { look(); });
    if (is_released_ || !isNeeded()) {
        return;
    }
    bool claims = false;
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
        looks_[shard] = hasLiveOwner(shard) ? 0 : looks_[shard] + 1;
        claims = claims || isClaimDue(shard);
    }
    publish();
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
            noticeEra();
            is_confirmed_ = true;
            next_read_ = clock_.now() + knobs_.confirm_interval;
            onLeases(asked, *records);
        } else {
            is_confirmed_ = false;
            next_read_ = clock_.now() + knobs_.confirm_retry;
            log_.write(Event("store_failed").with("step", "leases"));
            publish();
        }
    });
}

/// The store may name owners of before, and has forgotten whoever it named since. Whom it names now begins a term of
/// its own, after as long as those may hand out that it named then.
void ShardKeeper::noticeEra() {
    if (store_.era() == era_ || knobs_.disabled.store_era_check) {
        return;
    }
    const auto former = std::exchange(era_, store_.era());
    era_since_ = clock_.now();
    if (former == 0) {
        return;
    }
    for (const auto& [shard, it] : std::exchange(owned_, {})) {
        log_.write(Event("quota_shard_lost").with("shard", shard).with("peer", "store-returned"));
    }
    publish();
}

/// False while an owner may be at work that the store has forgotten: who the record names, or that it names nobody,
/// does not tell that nobody hands out.
bool ShardKeeper::isRecordTrusted() const {
    const auto longest = std::chrono::duration_cast<Duration>(knobs_.lease.term * (1 + knobs_.lease.margin_share));
    return era_ <= kFirstEra || clock_.now() - era_since_ > longest;
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
bool ShardKeeper::isLive(std::uint32_t shard, const LeaseRecord& record) const {
    const auto* node = directory_.find(record.holder);
    return node != nullptr && fleet::NodeDirectory::isReachable(*node) && !node->record.is_stopping() &&
           node->record.incarnation() == record.incarnation && !holds(node->record.offered_shards(), shard);
}

void ShardKeeper::onRecord(TimePoint asked, std::uint32_t shard, const LeaseRecord& record) {
    const auto owned = owned_.find(shard);
    if (isOwn(record)) {
        auto& it = owned_.try_emplace(shard, knobs_.lease).first->second;
        const bool is_new = !it.lease.isNamed();
        it.lease.onNamed(asked, clock_.now(), it.former_ended.has_value());
        it.revision = record.revision;
        if (is_new) {
            it.shard = std::make_unique<QuotaShard>(shard, it.former_ended.value_or(it.lease.began()));
            if (it.lease.waitsForFormer(clock_.now())) {
                signal_taken_over_.emit(shard, it.former);
            }
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
    if (isClaimDue(shard) && !isLive(shard, record)) {
        claim(shard, record);
    }
}

/// A holder that has started anew has lost what it held.
std::optional<TimePoint> ShardKeeper::endOf(const LeaseRecord& record) const {
    const auto& self = directory_.self();
    if (!isRecordTrusted()) {
        return std::nullopt;
    }
    if (record.holder.empty()) {
        return clock_.now();
    }
    if (record.holder == self.name() && record.incarnation < self.incarnation()) {
        return born_;
    }
    const auto* node = directory_.find(record.holder);
    const bool has_started_anew = node != nullptr && node->record.incarnation() > record.incarnation;
    return has_started_anew ? std::optional(node->received) : std::nullopt;
}

/// What became of it is read back, whatever the answer: it may be lost, and the write be done later.
void ShardKeeper::claim(std::uint32_t shard, const LeaseRecord& present) {
    looks_[shard] = 0;
    const auto& self = directory_.self();
    auto& it = owned_.insert_or_assign(shard, Owned(knobs_.lease)).first->second;
    it.former_ended = endOf(present);
    it.former = present.holder;
    it.former_incarnation = present.incarnation;
    auto wanted = present;
    wanted.holder = self.name();
    wanted.incarnation = self.incarnation();
    store_.putLease(wanted, [this](bool) {
        if (!is_reading_ && !is_released_) {
            readLeases();
        }
    });
    next_read_ = clock_.now() + knobs_.confirm_retry;
}

/// What this node cannot have confirmed it offers, and hands out on until its lease ends, or another one takes over.
void ShardKeeper::publish() {
    std::vector<std::uint32_t> shards;
    const auto now = clock_.now();
    for (const auto& [shard, it] : owned_) {
        if (it.lease.mayGrant(now) || it.lease.waitsForFormer(now)) {
            shards.push_back(shard);
        }
    }
    directory_.setQuotaShards(shards, is_confirmed_ ? std::vector<std::uint32_t>{} : shards);
}

void ShardKeeper::onHandedOver(std::uint32_t shard, const std::string& former, std::uint64_t incarnation) {
    const auto found = owned_.find(shard);
    if (found == owned_.end() || found->second.former != former || found->second.former_incarnation > incarnation) {
        return;
    }
    found->second.lease.onHandedOver(clock_.now());
    found->second.shard = std::make_unique<QuotaShard>(shard, found->second.lease.began());
}

void ShardKeeper::handOver(std::uint32_t shard) {
    if (owned_.erase(shard) > 0) {
        log_.write(Event("quota_shard_lost").with("shard", shard).with("peer", "by-takeover"));
        publish();
    }
}

bool ShardKeeper::mayGrant(std::uint32_t shard) const {
    const auto found = owned_.find(shard);
    return found != owned_.end() && !is_released_ && found->second.lease.mayGrant(clock_.now());
}

QuotaShard* ShardKeeper::granting(std::uint32_t shard) {
    return mayGrant(shard) ? owned_.at(shard).shard.get() : nullptr;
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
