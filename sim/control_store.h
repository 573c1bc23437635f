/// @file
/// A model of the platform's store as sidecar nodes use it: linearizable, sometimes away.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/virtual_clock.h"
#include "src/ports/control_store.h"

namespace dewcrank::sim {

/// The one store of a simulated fleet.
class ControlStoreModel {
public:
    explicit ControlStoreModel(EventQueue& queue) : queue_(queue) {}

    /// The operator's write: acknowledged at once. A store that is away has it as soon as it is back.
    void putTable(wire::RouteTable table);
    /// The store comes back from a copy of that age: what nodes wrote since is gone, and revisions go back. The
    /// operator writes the newest table again after `rewrite`.
    void restoreFromBackup(Duration age, Duration rewrite);
    [[nodiscard]] std::uint64_t era() const { return state_.era; }
    void setDown(bool is_down) { is_down_ = is_down; }
    /// A host that the store turns away while it serves the others.
    void setTurnedAway(const Host& host, bool is_turned_away) {
        is_turned_away ? void(turned_away_.insert(&host)) : void(turned_away_.erase(&host));
    }
    /// Of each answer; the store may be slow.
    void setAnswerTime(Duration time) { answer_time_ = time; }
    /// Forgets what came before: watches from earlier revisions have to read anew.
    void compactHistory() { oldest_ = state_.revision; }
    /// Of stale lists: they show the nodes as they were so long ago.
    void setStaleness(Duration age) { staleness_ = age; }
    /// All but stale lists.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    [[nodiscard]] std::uint64_t staleLists() const { return stale_lists_; }
    /// Hosts that the store has served since then, stale lists aside; one whose watch waits is being served.
    [[nodiscard]] std::set<const Host*> servedSince(TimePoint time) const;
    [[nodiscard]] const wire::RouteTable& table() const { return table_; }

private:
    friend class SimControlStore;
    EventQueue& queue_;
    [[nodiscard]] bool serves(const Host& host) const { return !is_down_ && !turned_away_.contains(&host); }

    using Nodes = std::map<std::string, NodeAddress>;
    /// All that a copy of the store holds.
    struct State {
        std::uint64_t era = 1;
        std::uint64_t revision = 1;
        std::uint64_t table_revision = 0;
        wire::RouteTable table;
        Nodes nodes;
        std::map<std::string, LeaseRecord> leases;
    };
    /// Called before each change.
    void keepCopy() { copies_.emplace_back(queue_.now(), state_); }
    [[nodiscard]] const State& stateAt(TimePoint time) const;

    bool is_down_ = false;
    std::set<const Host*> turned_away_;
    Duration answer_time_ = 4ms;
    State state_;
    std::vector<std::pair<TimePoint, State>> copies_;  ///< Former states, each until when it was the present one.
    wire::RouteTable table_;                           ///< The newest that was ever acknowledged.
    std::uint64_t oldest_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t stale_lists_ = 0;
    Duration staleness_ = 1s;
    std::map<const Host*, TimePoint> last_served_;
};

/// One host's access to the store.
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
    [[nodiscard]] bool isServed() const { return model_.serves(host_); }
    /// Until the answer, or until the caller gives up.
    [[nodiscard]] Duration answerTime() const;
    void countCall();
    void later(Duration delay, std::function<void()> action);
    void answer(Duration delay, std::function<void()> action);
    void pollWatch(std::uint64_t revision, TimePoint end, const TableCallback& callback);

    ControlStoreModel& model_;
    Host& host_;
    std::uint64_t era_ = 0;  ///< Of the last answer.
};

}  // namespace dewcrank::sim
