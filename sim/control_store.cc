#include "sim/control_store.h"

#include <algorithm>
#include <utility>

#include "src/ports/reconnecting_sender.h"

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

void ControlStoreModel::silenceConnections(const std::function<bool(const Host&)>& matches) {
    std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
    for (const auto& weak : connections_) {
        const auto connection = weak.lock();
        connection->is_silent = connection->is_silent || !matches || matches(*connection->host);
    }
}

SimControlStore::ConnectionPtr SimControlStore::takeConnection() {
    std::erase_if(idle_connections_,
                  [this](const auto& it) { return model_.queue_.now() - it->idle_since >= kMaxIdleTime; });
    if (!idle_connections_.empty()) {
        auto connection = std::move(idle_connections_.back());
        idle_connections_.pop_back();
        return connection;
    }
    auto connection = std::make_shared<ControlStoreModel::Connection>();
    connection->host = &host_;
    model_.connections_.push_back(connection);
    return connection;
}

SimControlStore::ConnectionPtr SimControlStore::startCall() {
    ++model_.calls_;
    auto connection = takeConnection();
    if (isServed(connection)) {
        model_.last_served_[&host_] = model_.queue_.now();
    }
    return connection;
}

SimControlStore::ConnectionPtr SimControlStore::replaceSilent(ConnectionPtr connection) {
    if (connection->is_silent) {
        idle_connections_.clear();
        connection = takeConnection();
        connection->is_replacement = true;
    }
    return connection;
}

Duration SimControlStore::responseTime(const ConnectionPtr& connection) const {
    return model_.response_time_ + (connection->is_replacement ? kReconnectTime : Duration::zero());
}

void SimControlStore::schedule(Duration delay, std::function<void()> action) {
    model_.queue_.schedule(model_.queue_.now() + delay, &host_, std::move(action));
}

void SimControlStore::respond(const ConnectionPtr& connection, Duration timeout, std::function<void()> action) {
    const bool is_served = isServed(connection);
    schedule(is_served ? responseTime(connection) : timeout,
             [this, connection, is_served, era = model_.state_.era, action = std::move(action)] {
                 if (is_served) {
                     era_ = era;
                     connection->idle_since = model_.queue_.now();
                     connection->is_replacement = false;
                     idle_connections_.push_back(connection);
                 }
                 action();
             });
}

void SimControlStore::readTable(TableCallback callback) {
    const auto connection = startRead();
    std::optional<TableRead> read;
    if (isServed(connection)) {
        read.emplace();
        read->revision = model_.state_.revision;
        if (model_.state_.table_revision > 0) {
            read->table = model_.state_.table;
        }
    }
    respond(connection, kReadTimeout, [callback = std::move(callback), read] { callback(read); });
}

void SimControlStore::watchTable(std::uint64_t revision, Duration wait, TableCallback callback) {
    const auto connection = startCall();
    const bool is_unknown = revision < model_.oldest_revision_ || revision > model_.state_.revision;
    if (is_unknown && isServed(connection)) {
        respond(connection, kWatchTimeout, [callback = std::move(callback)] { callback(TableRead{}); });
        return;
    }
    pollWatch(connection, revision, model_.queue_.now() + wait, callback);
}

void SimControlStore::pollWatch(const ConnectionPtr& connection, std::uint64_t revision, TimePoint end,
                                const TableCallback& callback) {
    if (!isServed(connection)) {
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
        respond(connection, kWatchTimeout, [callback, read] { callback(read); });
        return;
    }
    schedule(kWatchPollInterval,
             [this, connection, revision, end, callback] { pollWatch(connection, revision, end, callback); });
}

void SimControlStore::announce(const NodeAddress& node, DoneCallback callback) {
    const auto connection = startCall();
    const bool is_accepted = isServed(connection);
    if (is_accepted) {
        model_.saveSnapshot();
        model_.state_.nodes[node.name] = node;
    }
    respond(connection, kCallTimeout, [callback = std::move(callback), is_accepted] { callback(is_accepted); });
}

void SimControlStore::listNodes(Freshness freshness, NodesCallback callback) {
    const bool is_stale = freshness == Freshness::kMaybeStale;
    const auto connection = is_stale ? replaceSilent(takeConnection()) : startRead();
    model_.stale_list_calls_ += is_stale ? 1 : 0;
    std::optional<std::vector<NodeAddress>> nodes;
    if (isServed(connection)) {
        nodes.emplace();
        const auto& listed =
            is_stale ? model_.stateAt(model_.queue_.now() - model_.stale_list_age_).nodes : model_.state_.nodes;
        for (const auto& [name, node] : listed) {
            nodes->push_back(node);
        }
    }
    respond(connection, kCallTimeout, [callback = std::move(callback), nodes] { callback(nodes); });
}

void SimControlStore::withdraw(const std::string& name, DoneCallback callback) {
    const auto connection = startCall();
    const bool is_accepted = isServed(connection);
    if (is_accepted) {
        model_.saveSnapshot();
        model_.state_.nodes.erase(name);
    }
    respond(connection, kCallTimeout, [callback = std::move(callback), is_accepted] { callback(is_accepted); });
}

void SimControlStore::readLeases(LeasesCallback callback) {
    const auto connection = startRead();
    std::optional<std::vector<LeaseRecord>> leases;
    if (isServed(connection)) {
        leases.emplace();
        for (const auto& [name, lease] : model_.state_.leases) {
            leases->push_back(lease);
        }
    }
    respond(connection, kReadTimeout, [callback = std::move(callback), leases] { callback(leases); });
}

void SimControlStore::putLease(const LeaseRecord& lease, DoneCallback callback) {
    const auto connection = startCall();
    auto& stored = model_.state_.leases[lease.name];
    const bool is_accepted = isServed(connection) && stored.revision == lease.revision;
    if (is_accepted) {
        model_.saveSnapshot();
        stored = lease;
        stored.revision = ++model_.state_.revision;
    }
    respond(connection, kCallTimeout, [callback = std::move(callback), is_accepted] { callback(is_accepted); });
}

}  // namespace dewcrank::sim
