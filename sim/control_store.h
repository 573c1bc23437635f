/// @file
/// A model of the platform's store as sidecar nodes use it: linearizable, sometimes away.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "sim/virtual_clock.h"
#include "src/ports/control_store.h"

namespace dewcrank::sim {

/// The one store of a simulated fleet.
class ControlStoreModel {
public:
    explicit ControlStoreModel(EventQueue& queue) : queue_(queue) {}

    /// The operator's write: acknowledged at once.
    void putTable(wire::RouteTable table);
    void setDown(bool is_down) { is_down_ = is_down; }
    /// Forgets what came before: watches from earlier revisions have to read anew.
    void forgetHistory() { oldest_ = revision_; }
    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    [[nodiscard]] const wire::RouteTable& table() const { return table_; }

private:
    friend class SimControlStore;
    EventQueue& queue_;
    bool is_down_ = false;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_ = 0;
    std::uint64_t table_revision_ = 0;
    std::uint64_t calls_ = 0;
    wire::RouteTable table_;
    std::map<std::string, NodeAddress> nodes_;
};

/// One host's access to the store.
class SimControlStore : public ControlStore {
public:
    SimControlStore(ControlStoreModel& model, Host& host) : model_(model), host_(host) {}
    void readTable(TableCallback callback) override;
    void watchTable(std::uint64_t revision, Duration wait, TableCallback callback) override;
    void announce(const NodeAddress& node, DoneCallback callback) override;
    void listNodes(NodesCallback callback) override;
    void withdraw(const std::string& name, DoneCallback callback) override;

private:
    void later(Duration delay, std::function<void()> action);
    void pollWatch(std::uint64_t revision, TimePoint end, const TableCallback& callback);

    ControlStoreModel& model_;
    Host& host_;
};

}  // namespace dewcrank::sim
