/// @file
/// A model of the platform's store as sidecar nodes use it: linearizable, and unavailable, slow, silent on open
/// connections or restored from a backup when a test asks for it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/virtual_clock.h"
#include "src/ports/control_store.h"

namespace dewcrank::sim {

/// State and faults of the store that all nodes of a simulated fleet share.
class ControlStoreModel {
public:
    explicit ControlStoreModel(EventQueue& queue) : queue_(queue) {}

    /// Writes a table as the operator. The write succeeds at once, also while the store is down for nodes.
    void putTable(wire::RouteTable table);
    /// Restores the state of `age` ago: later writes of nodes are lost, revisions go back and the era is raised.
    /// @param rewrite_delay after which the operator writes the newest acknowledged table again.
    void restoreFromBackup(Duration age, Duration rewrite_delay);
    /// @return the number of restores so far, plus one.
    [[nodiscard]] std::uint64_t era() const { return state_.era; }
    /// Makes the store unreachable for all hosts, or reachable again.
    void setDown(bool is_down) { is_down_ = is_down; }
    /// Makes the store unreachable for one host, or reachable again.
    void setRejected(const Host& host, bool is_rejected) {
        is_rejected ? void(rejected_hosts_.insert(&host)) : void(rejected_hosts_.erase(&host));
    }
    /// Makes all open connections of nodes silent for good: open watches hear nothing any more, and calls on them get
    /// no response. New connections work.
    /// @param matches selects the hosts; empty: all.
    void silenceConnections(const std::function<bool(const Host&)>& matches = {});
    /// Sets the time that each response takes.
    void setResponseTime(Duration time) { response_time_ = time; }
    /// Drops the change history: watches from earlier revisions get a response that makes them read again.
    void compactHistory() { oldest_revision_ = state_.revision; }
    /// Sets how far stale lists of nodes lag behind.
    void setStaleListAge(Duration age) { stale_list_age_ = age; }
    /// @return the number of calls so far, without stale lists.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    /// @return the number of stale lists that were requested so far.
    [[nodiscard]] std::uint64_t staleListCalls() const { return stale_list_calls_; }
    /// @return hosts that had a call served, or a watch open, at `time` or later. Stale lists don't count.
    [[nodiscard]] std::set<const Host*> hostsServedSince(TimePoint time) const;
    /// @return the newest table that was ever acknowledged to the operator.
    [[nodiscard]] const wire::RouteTable& table() const { return table_; }

private:
    friend class SimControlStore;
    EventQueue& queue_;
    [[nodiscard]] bool serves(const Host& host) const { return !is_down_ && !rejected_hosts_.contains(&host); }

    /// A connection of a node to the store.
    struct Connection {
        const Host* host = nullptr;
        TimePoint idle_since{};
        bool is_silent = false;       ///< Nothing arrives on it any more.
        bool is_replacement = false;  ///< It was opened for a read that an idle connection has lost.
    };
    using Nodes = std::map<std::string, NodeAddress>;
    /// All that a backup contains.
    struct State {
        std::uint64_t era = 1;
        std::uint64_t revision = 1;
        std::uint64_t table_revision = 0;
        wire::RouteTable table;
        Nodes nodes;
        std::map<std::string, LeaseRecord> leases;
    };
    /// Records the current state; called before each change.
    void saveSnapshot() { snapshots_.emplace_back(queue_.now(), state_); }
    [[nodiscard]] const State& stateAt(TimePoint time) const;

    bool is_down_ = false;
    std::set<const Host*> rejected_hosts_;
    Duration response_time_ = 4ms;
    State state_;
    std::vector<std::pair<TimePoint, State>> snapshots_;  ///< Earlier states, each with the time at which it ended.
    wire::RouteTable table_;                              ///< The newest acknowledged one, also after a restore.
    std::uint64_t oldest_revision_ = 0;                   ///< The first from which a watch can start.
    std::uint64_t calls_ = 0;
    std::uint64_t stale_list_calls_ = 0;
    Duration stale_list_age_ = 1s;
    std::map<const Host*, TimePoint> last_served_;
    std::vector<std::weak_ptr<Connection>> connections_;  ///< All that were opened since the last fault.
};

/// The store as one host reaches it.
class SimControlStore : public ControlStore {
public:
    SimControlStore(ControlStoreModel& model, Host& host) : model_(model), host_(host) {}
    [[nodiscard]] std::uint64_t era() const override { return era_; }
    void readTable(TableCallback callback) override;
    void watchTable(std::uint64_t revision, Duration wait, TableCallback callback) override;
    void announce(const NodeAddress& node, DoneCallback callback) override;
    void listNodes(Freshness freshness, NodesCallback callback) override;
    void withdraw(const std::string& name, DoneCallback callback) override;
    void readLeases(LeasesCallback callback) override;
    void putLease(const LeaseRecord& lease, DoneCallback callback) override;

private:
    using ConnectionPtr = std::shared_ptr<ControlStoreModel::Connection>;
    /// @return the idle connection that was used last, or a new one.
    ConnectionPtr takeConnection();
    [[nodiscard]] bool isServed(const ConnectionPtr& connection) const {
        return model_.serves(host_) && !connection->is_silent;
    }
    /// Starts a call: counts it. @return its connection.
    ConnectionPtr startCall();
    /// @return the connection, or a new one if it is silent: a read is sent again then, as ReconnectingSender does.
    ConnectionPtr replaceSilent(ConnectionPtr connection);
    ConnectionPtr startRead() { return replaceSilent(startCall()); }
    /// @return the time until the response to a call that began on this connection.
    [[nodiscard]] Duration responseTime(const ConnectionPtr& connection) const;
    /// Runs `action` on this host after `delay`.
    void schedule(Duration delay, std::function<void()> action);
    /// Ends a call: runs `action` when the response arrives, after it has taken over the store's era, or else when the
    /// call times out. The connection is idle after a response, and closed after a timeout.
    void respond(const ConnectionPtr& connection, Duration timeout, std::function<void()> action);
    void pollWatch(const ConnectionPtr& connection, std::uint64_t revision, TimePoint end,
                   const TableCallback& callback);

    ControlStoreModel& model_;
    Host& host_;
    std::uint64_t era_ = 0;  ///< Of the last response.
    std::vector<ConnectionPtr> idle_connections_;
};

}  // namespace dewcrank::sim
