/// @file
/// Blocking client of the table store and of nodes, for the command line tool.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/adapters/event_loop.h"
#include "src/adapters/http_client.h"
#include "src/base/error.h"
#include "src/ports/table_store.h"

namespace dewcrank::ctl {

/// Creates a client of the platform's store. @param http outlives the client. @param address "ip:port" of the store.
using TableStoreFactory = std::function<std::unique_ptr<TableStore>(HttpTransport& http, const std::string& address)>;

/// Runs an event loop until each response has arrived or timed out.
class BlockingClient {
public:
    /// @param address "ip:port" of the store.
    BlockingClient(const TableStoreFactory& factory, std::string address);

    /// Reads the route table from the store.
    Result<StoredTable> readTable();
    /// Replaces the route table in the store if its revision is `expected`.
    TableWrite writeTable(const wire::RouteTable& table, std::uint64_t expected);
    /// Reads the metrics page of a node. @param address "ip:port".
    Result<std::string> readMetrics(const std::string& address);
    /// Runs the event loop for `duration`.
    void wait(Duration duration);
    [[nodiscard]] TimePoint now() const { return loop_.now(); }

private:
    std::string store_address_;
    adapters::EventLoop loop_;
    adapters::HttpClient http_;
    std::unique_ptr<TableStore> store_;
};

}  // namespace dewcrank::ctl
