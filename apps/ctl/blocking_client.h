/// @file
/// Blocking access to the table store, and to nodes, for the command line.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/adapters/event_loop.h"
#include "src/adapters/http_client.h"
#include "src/base/error.h"
#include "src/ports/table_store.h"

namespace dewcrank::ctl {

/// Makes the store of a platform. @param http outlives it.
using TableStoreFactory = std::function<std::unique_ptr<TableStore>(HttpTransport& http, const std::string& address)>;

/// Runs the loop until each answer is there.
class StoreAccess {
public:
    StoreAccess(const TableStoreFactory& factory, std::string address);

    Result<StoredTable> read();
    TableWrite write(const wire::RouteTable& table, std::uint64_t expected);
    /// The metrics page of a node. @param address "ip:port".
    Result<std::string> readMetrics(const std::string& address);
    /// Lets time pass.
    void wait(Duration duration);
    [[nodiscard]] TimePoint now() const { return loop_.now(); }

private:
    std::string address_;
    adapters::EventLoop loop_;
    adapters::HttpClient http_;
    std::unique_ptr<TableStore> store_;
};

}  // namespace dewcrank::ctl
