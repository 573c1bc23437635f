/// @file
/// Interface of the platform's store as the command line tool uses it: reads and conditionally replaces the route
/// table.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "proto/generated/fleet.pb.h"

namespace dewcrank {

/// The table and its revision, which a conditional write has to match.
struct StoredTable {
    wire::RouteTable table;
    std::uint64_t revision = 0;  ///< Store revision of the last write of the table.
};

/// Result of a conditional write.
enum class TableWrite {
    kWritten,
    kConflict,  ///< The table has another revision; nothing was written.
    kRefused,   ///< The store rejected the table as invalid.
    kUnknown,   ///< No response: the table may have been written, or may still be.
};

/// Asynchronous store client. Each callback runs exactly once, later on the event loop.
class TableStore {
public:
    virtual ~TableStore() = default;
    using ReadCallback = std::function<void(std::optional<StoredTable>)>;
    using WriteCallback = std::function<void(TableWrite)>;

    /// The callback receives nothing if the store did not respond or holds no table.
    virtual void read(ReadCallback callback) = 0;
    /// Replaces the table if its revision is still `expected`. Fields of the platform that are not columns of the table
    /// are preserved.
    virtual void write(const wire::RouteTable& table, std::uint64_t expected, WriteCallback callback) = 0;
};

}  // namespace dewcrank
