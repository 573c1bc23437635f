#include "sim/control_store.h"

#include <algorithm>
#include <utility>

namespace dewcrank::sim {

namespace {
constexpr Duration kSilence = 4s;       ///< After which a call to a store that is away has failed,
constexpr Duration kReadSilence = 1s;   ///< a read of it,
constexpr Duration kWatchSilence = 1s;  ///< and, after the end of its wait, a watch.
constexpr Duration kWatchStep = 5ms;    ///< How often the model looks whether a watch is due.
}  // namespace

void ControlStoreModel::putTable(wire::RouteTable table) {
    keepCopy();
    table_ = std::move(table);
    state_.table = table_;
    state_.table_revision = ++state_.revision;
}

void ControlStoreModel::restoreFromBackup(Duration age, Duration rewrite) {
    const auto era = state_.era + 1;
    keepCopy();
    state_ = State(stateAt(queue_.now() - age));
    state_.era = era;
    oldest_ = std::min(oldest_, state_.revision);
    queue_.schedule(queue_.now() + rewrite, nullptr, [this] {
        if (state_.table.version() < table_.version()) {
            putTable(table_);
        }
    });
}

const ControlStoreModel::State& ControlStoreModel::stateAt(TimePoint time) const {
    const auto found =
        std::find_if(copies_.begin(), copies_.end(), [time](const auto& former) { return former.first > time; });
    return found == copies_.end() ? state_ : found->second;
}

std::set<const Host*> ControlStoreModel::servedSince(TimePoint time) const {
    std::set<const Host*> hosts;
    for (const auto& [host, served] : last_served_) {
        if (served >= time) {
            hosts.insert(host);
        }
    }
    return hosts;
}

Duration SimControlStore::answerTime() const {
    return isServed() ? model_.answer_time_ : kSilence;
}

void SimControlStore::countCall() {
    ++model_.calls_;
    if (isServed()) {
        model_.last_served_[&host_] = model_.queue_.now();
    }
}

void SimControlStore::later(Duration delay, std::function<void()> action) {
    model_.queue_.schedule(model_.queue_.now() + delay, &host_, std::move(action));
}

/// Of the store, if it serves this host now.
void SimControlStore::answer(Duration delay, std::function<void()> action) {
    later(delay, [this, is_served = isServed(), era = model_.state_.era, action = std::move(action)] {
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
    answer(isServed() ? answerTime() : kReadSilence, [callback = std::move(callback), read] { callback(read); });
}

void SimControlStore::watchTable(std::uint64_t revision, Duration wait, TableCallback callback) {
    countCall();
    if (revision < model_.oldest_ || revision > model_.state_.revision) {
        answer(answerTime(), [callback = std::move(callback)] { callback(TableRead{}); });
        return;
    }
    pollWatch(revision, model_.queue_.now() + wait, callback);
}

void SimControlStore::pollWatch(std::uint64_t revision, TimePoint end, const TableCallback& callback) {
    if (!isServed()) {
        later(end + kWatchSilence - model_.queue_.now(), [callback] { callback(std::nullopt); });
        return;
    }
    model_.last_served_[&host_] = model_.queue_.now();
    const bool is_news = model_.state_.table_revision > revision;
    if (is_news || model_.queue_.now() >= end) {
        TableRead read;
        read.revision = model_.state_.revision;
        if (is_news) {
            read.table = model_.state_.table;
        }
        answer(answerTime(), [callback, read] { callback(read); });
        return;
    }
    later(kWatchStep, [this, revision, end, callback] { pollWatch(revision, end, callback); });
}

void SimControlStore::announce(const NodeAddress& node, DoneCallback callback) {
    countCall();
    const bool is_done = isServed();
    if (is_done) {
        model_.keepCopy();
        model_.state_.nodes[node.name] = node;
    }
    answer(answerTime(), [callback = std::move(callback), is_done] { callback(is_done); });
}

void SimControlStore::listNodes(Freshness freshness, NodesCallback callback) {
    const bool is_stale = freshness == Freshness::kMaybeStale;
    if (is_stale) {
        ++model_.stale_lists_;
    } else {
        countCall();
    }
    std::optional<std::vector<NodeAddress>> nodes;
    if (isServed()) {
        nodes.emplace();
        const auto& listed =
            is_stale ? model_.stateAt(model_.queue_.now() - model_.staleness_).nodes : model_.state_.nodes;
        for (const auto& [name, node] : listed) {
            nodes->push_back(node);
        }
    }
    answer(answerTime(), [callback = std::move(callback), nodes] { callback(nodes); });
}

void SimControlStore::withdraw(const std::string& name, DoneCallback callback) {
    countCall();
    const bool is_done = isServed();
    if (is_done) {
        model_.keepCopy();
        model_.state_.nodes.erase(name);
    }
    answer(answerTime(), [callback = std::move(callback), is_done] { callback(is_done); });
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
    answer(isServed() ? answerTime() : kReadSilence, [callback = std::move(callback), leases] { callback(leases); });
}

void SimControlStore::putLease(const LeaseRecord& lease, DoneCallback callback) {
    countCall();
    auto& present = model_.state_.leases[lease.name];
    const bool is_done = isServed() && present.revision == lease.revision;
    if (is_done) {
        model_.keepCopy();
        present = lease;
        present.revision = ++model_.state_.revision;
    }
    answer(answerTime(), [callback = std::move(callback), is_done] { callback(is_done); });
}

}  // namespace dewcrank::sim
