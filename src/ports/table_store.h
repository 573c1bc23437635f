/// @file
/// The operators' table in the platform's store: read whole, and replaced if it is still as it was.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "proto/generated/fleet.pb.h"

namespace dewcrank {

/// The table with what a write has to name.
struct StoredTable {
    wire::RouteTable table;
    std::uint64_t revision = 0;  ///< Of the store, at the last write of the table.
};

/// How a conditional write has ended.
enum class TableWrite {
    kWritten,
    kConflict,  ///< Another table is there; nothing was written.
    kRefused,   ///< The store takes this table for invalid.
    kUnknown,   ///< No answer: it may have been written, or may be yet.
};

/// Callbacks run later on the loop, exactly once.
class TableStore {
public:
    virtual ~TableStore() = default;
    using ReadCallback = std::function<void(std::optional<StoredTable>)>;
    using WriteCallback = std::function<void(TableWrite)>;

    /// Gives nothing if the store has not answered, or holds no table.
    virtual void read(ReadCallback callback) = 0;
    /// Replaces the table whose revision is `expected`. What the platform keeps beside the table's own
    /// columns stays as it is.
    virtual void write(const wire::RouteTable& table, std::uint64_t expected, WriteCallback callback) = 0;
};

}  // namespace dewcrank
