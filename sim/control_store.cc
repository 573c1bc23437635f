#include "sim/control_store.h"

#include <algorithm>
#include <utility>

namespace dewcrank::sim {

namespace {
constexpr Duration kCallTimeout = 4s;   ///< Of calls other than reads and watches, while the store is unavailable.
constexpr Duration kReadTimeout = 1s;   ///< Of reads of the table and of leases.
constexpr Duration kWatchTimeout = 1s;  ///< Of watches, after the end of their wait.
constexpr Duration kWatchPollInterval = 5ms;
}  // namespace

void ControlStoreModel::putTable(wire::RouteTable table) {
    saveSnapshot();
    table_ = std::move(table);
    state_.table = table_;
    state_.table_revision = ++state_.revision;
}

void ControlStoreModel::restoreFromBackup(Duration age, Duration rewrite_delay) {
    const auto era = state_.era + 1;
    saveSnapshot();
    state_ = State(stateAt(queue_.now() - age));
    state_.era = era;
    oldest_revision_ = std::min(oldest_revision_, state_.revision);
    queue_.schedule(queue_.now() + rewrite_delay, nullptr, [this] {
        if (state_.table.version() < table_.version()) {
            putTable(table_);
        }
    });
}

const ControlStoreModel::State& ControlStoreModel::stateAt(TimePoint time) const {
    const auto found = std::find_if(snapshots_.begin(), snapshots_.end(),
                                    [time](const auto& snapshot) { return snapshot.first > time; });
    return found == snapshots_.end() ? state_ : found->second;
}

std::set<const Host*> ControlStoreModel::hostsServedSince(TimePoint time) const {
    std::set<const Host*> hosts;
    for (const auto& [host, last_served] : last_served_) {
        if (last_served >= time) {
            hosts.insert(host);
        }
    }
    return hosts;
}

Duration SimControlStore::responseTime() const {
    return isServed() ? model_.response_time_ : kCallTimeout;
}

void SimControlStore::countCall() {
    ++model_.calls_;
    if (isServed()) {
        model_.last_served_[&host_] = model_.queue_.now();
    }
}

void SimControlStore::schedule(Duration delay, std::function<void()> action) {
    model_.queue_.schedule(model_.queue_.now() + delay, &host_, std::move(action));
}

void SimControlStore::respond(Duration delay, std::function<void()> action) {
    schedule(delay, [this, is_served = isServed(), era = model_.state_.era, action = std::move(action)] {
        era_ = is_served ? era : era_;
        action();
    });
}

void SimControlStore::readTable(TableCallback callback) {
    countCall();
    std::optional<TableRead> read;
    if (isServed()) {
        read.emplace();
        read->revision = model_.state_.revision;
        if (model_.state_.table_revision > 0) {
            read->table = model_.state_.table;
        }
    }
    respond(isServed() ? responseTime() : kReadTimeout, [callback = std::move(callback), read] { callback(read); });
}

void SimControlStore::watchTable(std::uint64_t revision, Duration wait, TableCallback callback) {
    countCall();
    if (revision < model_.oldest_revision_ || revision > model_.state_.revision) {
        respond(responseTime(), [callback = std::move(callback)] { callback(TableRead{}); });
        return;
    }
    pollWatch(revision, model_.queue_.now() + wait, callback);
}

void SimControlStore::pollWatch(std::uint64_t revision, TimePoint end, const TableCallback& callback) {
    if (!isServed()) {
        schedule(end + kWatchTimeout - model_.queue_.now(), [callback] { callback(std::nullopt); });
        return;
    }
    model_.last_served_[&host_] = model_.queue_.now();
    const bool is_changed = model_.state_.table_revision > revision;
    if (is_changed || model_.queue_.now() >= end) {
        TableRead read;
        read.revision = model_.state_.revision;
        if (is_changed) {
            read.table = model_.state_.table;
        }
        respond(responseTime(), [callback, read] { callback(read); });
        return;
    }
    schedule(kWatchPollInterval, [this, revision, end, callback] { pollWatch(revision, end, callback); });
}

void SimControlStore::announce(const NodeAddress& node, DoneCallback callback) {
    countCall();
    const bool is_accepted = isServed();
    if (is_accepted) {
        model_.saveSnapshot();
        model_.state_.nodes[node.name] = node;
    }
    respond(responseTime(), [callback = std::move(callback), is_accepted] { callback(is_accepted); });
}

void SimControlStore::listNodes(Freshness freshness, NodesCallback callback) {
    const bool is_stale = freshness == Freshness::kMaybeStale;
    if (is_stale) {
        ++model_.stale_list_calls_;
    } else {
        countCall();
    }
    std::optional<std::vector<NodeAddress>> nodes;
    if (isServed()) {
        nodes.emplace();
        const auto& listed =
            is_stale ? model_.stateAt(model_.queue_.now() - model_.stale_list_age_).nodes : model_.state_.nodes;
        for (const auto& [name, node] : listed) {
            nodes->push_back(node);
        }
    }
    respond(responseTime(), [callback = std::move(callback), nodes] { callback(nodes); });
}

void SimControlStore::withdraw(const std::string& name, DoneCallback callback) {
    countCall();
    const bool is_accepted = isServed();
    if (is_accepted) {
        model_.saveSnapshot();
        model_.state_.nodes.erase(name);
    }
    respond(responseTime(), [callback = std::move(callback), is_accepted] { callback(is_accepted); });
}

void SimControlStore::readLeases(LeasesCallback callback) {
    countCall();
    std::optional<std::vector<LeaseRecord>> leases;
    if (isServed()) {
        leases.emplace();
        for (const auto& [name, lease] : model_.state_.leases) {
            leases->push_back(lease);
        }
    }
    respond(isServed() ? responseTime() : kReadTimeout, [callback = std::move(callback), leases] { callback(leases); });
}

void SimControlStore::putLease(const LeaseRecord& lease, DoneCallback callback) {
    countCall();
    auto& stored = model_.state_.leases[lease.name];
    const bool is_accepted = isServed() && stored.revision == lease.revision;
    if (is_accepted) {
        model_.saveSnapshot();
        stored = lease;
        stored.revision = ++model_.state_.revision;
    }
    respond(responseTime(), [callback = std::move(callback), is_accepted] { callback(is_accepted); });
}

}  // namespace dewcrank::sim
