#include "sim/control_store.h"

#include <utility>

namespace dewcrank::sim {

namespace {
constexpr Duration kSilence = 4s;     ///< After which a call to a store that is away has failed.
constexpr Duration kWatchStep = 5ms;  ///< How often the model looks whether a watch is due.
}  // namespace

void ControlStoreModel::putTable(wire::RouteTable table) {
    table_ = std::move(table);
    table_revision_ = ++revision_;
}

Duration SimControlStore::answerTime() const {
    return isServed() ? model_.answer_time_ : kSilence;
}

void SimControlStore::later(Duration delay, std::function<void()> action) {
    model_.queue_.schedule(model_.queue_.now() + delay, &host_, std::move(action));
}

void SimControlStore::readTable(TableCallback callback) {
    ++model_.calls_;
    std::optional<TableRead> read;
    if (isServed()) {
        read.emplace();
        read->revision = model_.revision_;
        if (model_.table_revision_ > 0) {
            read->table = model_.table_;
        }
    }
    later(answerTime(), [callback = std::move(callback), read] { callback(read); });
}

void SimControlStore::watchTable(std::uint64_t revision, Duration wait, TableCallback callback) {
    ++model_.calls_;
    if (revision < model_.oldest_) {
        later(answerTime(), [callback = std::move(callback)] { callback(TableRead{}); });
        return;
    }
    pollWatch(revision, model_.queue_.now() + wait, callback);
}

void SimControlStore::pollWatch(std::uint64_t revision, TimePoint end, const TableCallback& callback) {
    if (!isServed()) {
        later(kSilence, [callback] { callback(std::nullopt); });
        return;
    }
    const bool is_news = model_.table_revision_ > revision;
    if (is_news || model_.queue_.now() >= end) {
        TableRead read;
        read.revision = model_.revision_;
        if (is_news) {
            read.table = model_.table_;
        }
        later(answerTime(), [callback, read] { callback(read); });
        return;
    }
    later(kWatchStep, [this, revision, end, callback] { pollWatch(revision, end, callback); });
}

void SimControlStore::announce(const NodeAddress& node, DoneCallback callback) {
    ++model_.calls_;
    const bool is_done = isServed();
    if (is_done) {
        model_.nodes_[node.name] = node;
    }
    later(answerTime(), [callback = std::move(callback), is_done] { callback(is_done); });
}

void SimControlStore::listNodes(NodesCallback callback) {
    ++model_.calls_;
    std::optional<std::vector<NodeAddress>> nodes;
    if (isServed()) {
        nodes.emplace();
        for (const auto& [name, node] : model_.nodes_) {
            nodes->push_back(node);
        }
    }
    later(answerTime(), [callback = std::move(callback), nodes] { callback(nodes); });
}

void SimControlStore::withdraw(const std::string& name, DoneCallback callback) {
    ++model_.calls_;
    const bool is_done = isServed();
    if (is_done) {
        model_.nodes_.erase(name);
    }
    later(answerTime(), [callback = std::move(callback), is_done] { callback(is_done); });
}

void SimControlStore::readLeases(LeasesCallback callback) {
    ++model_.calls_;
    std::optional<std::vector<LeaseRecord>> leases;
    if (isServed()) {
        leases.emplace();
        for (const auto& [name, lease] : model_.leases_) {
            leases->push_back(lease);
        }
    }
    later(answerTime(), [callback = std::move(callback), leases] { callback(leases); });
}

void SimControlStore::putLease(const LeaseRecord& lease, DoneCallback callback) {
    ++model_.calls_;
    auto& present = model_.leases_[lease.name];
    const bool is_done = isServed() && present.revision == lease.revision;
    if (is_done) {
        present = lease;
        present.revision = ++model_.revision_;
    }
    later(answerTime(), [callback = std::move(callback), is_done] { callback(is_done); });
}

}  // namespace dewcrank::sim
