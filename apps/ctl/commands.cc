#include "apps/ctl/commands.h"

#include <fstream>
#include <functional>
#include <iostream>
#include <set>
#include <sstream>

namespace dewcrank::ctl {

namespace {

constexpr Duration kVersionPollInterval = 100ms;
constexpr int kConfirmAttempts = 10;  ///< Reads that check whether a write without a response succeeded.
constexpr Duration kConfirmInterval = 300ms;

using Edit = std::function<Result<void>(wire::RouteTable*)>;

/// Runs `body`, which returns a Result, and prints its error. @return true if `body` succeeded.
template <typename Body>
bool succeeds(Body&& body) {
    return runOrReport(std::forward<Body>(body), [](const StepError& error) { std::cerr << error.text() << '\n'; });
}

// Table version of nodes ---------------------------------------------------------

/// @return the value of a metric without labels; nothing if the metrics page does not have it.
std::optional<std::uint64_t> findMetric(const std::string& page, const std::string& name) {
    std::istringstream lines(page);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(name + " ")) {
            return static_cast<std::uint64_t>(std::strtod(line.c_str() + name.size(), nullptr));
        }
    }
    return std::nullopt;
}

/// Reads the version of the table that a node applies. @param node metrics address, "ip:port".
Result<std::uint64_t> readTableVersion(BlockingClient& client, const std::string& node) {
    BOOST_LEAF_AUTO(page, client.readMetrics(node));
    const auto version = findMetric(page, "dewcrank_table_version");
    if (!version) {
        return stepError("node.metrics", node, "the metrics page has no table version");
    }
    return *version;
}

/// Prints the table version of each node. @return kExitUnknown if one of them did not respond.
int showStatus(BlockingClient& client, const CommandLine& command) {
    if (command.nodes.empty()) {
        std::cerr << "status: --node IP:PORT, the metrics address of a node, is expected, once for each node\n";
        return kExitBadInput;
    }
    int code = kExitOk;
    for (const auto& node : command.nodes) {
        const bool is_read = succeeds([&]() -> Result<void> {
            BOOST_LEAF_AUTO(version, readTableVersion(client, node));
            std::cout << "node=" << node << " version=" << version << '\n';
            return {};
        });
        code = is_read ? code : static_cast<int>(kExitUnknown);
    }
    return code;
}

/// Polls the nodes until all of them apply `version` or the wait time has passed; prints the nodes that do not.
/// @return kExitOk or kExitNotApplied.
int waitUntilApplied(BlockingClient& client, std::uint64_t version, const CommandLine& command) {
    const auto started = client.now();
    std::set<std::string> pending(command.nodes.begin(), command.nodes.end());
    while (!pending.empty() && client.now() - started < command.wait) {
        std::erase_if(pending, [&](const std::string& node) {
            std::uint64_t current = 0;
            runOrReport(
                [&]() -> Result<void> {
                    BOOST_LEAF_ASSIGN(current, readTableVersion(client, node));
                    return {};
                },
                [](const StepError&) {});  // The next poll retries.
            return current >= version;
        });
        if (!pending.empty()) {
            client.wait(kVersionPollInterval);
        }
    }
    for (const auto& node : pending) {
        std::cerr << "not in force: version=" << version << " node=" << node << '\n';
    }
    if (pending.empty()) {
        std::cout << "in force: version=" << version << " after_ms=" << toMilliseconds(client.now() - started) << '\n';
    }
    return pending.empty() ? kExitOk : kExitNotApplied;
}

// Edits --------------------------------------------------------------------------

/// After a write without a response: reads the table until it shows whether the write succeeded.
TableWrite confirmWrite(BlockingClient& client, const wire::RouteTable& written, std::uint64_t expected) {
    for (int attempt = 0; attempt < kConfirmAttempts; ++attempt) {
        StoredTable current;
        const bool is_read = succeeds([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(current, client.readTable());
            return {};
        });
        if (is_read && policy::rowsOf(current.table) == policy::rowsOf(written)) {
            return TableWrite::kWritten;
        }
        if (is_read && current.revision != expected) {
            return TableWrite::kConflict;
        }
        client.wait(kConfirmInterval);
    }
    return TableWrite::kUnknown;
}

/// Prints why a write failed, if it did. @return the exit code.
int printWriteOutcome(TableWrite outcome) {
    switch (outcome) {
        case TableWrite::kWritten:
            return kExitOk;
        case TableWrite::kConflict:
            std::cerr
                << "lost race: another edit was saved first; nothing was written; read the table, then edit it again\n";
            return kExitConflict;
        case TableWrite::kRefused:
            std::cerr << "refused: the store rejected this table as invalid\n";
            return kExitFailed;
        case TableWrite::kUnknown:
            break;
    }
    std::cerr << "unknown: the store did not respond; read the table before you retry\n";
    return kExitUnknown;
}

/// Reads the table, applies `edit`, checks the result and saves it as the next version. @return the exit code.
int editTable(BlockingClient& client, const Edit& edit, const CommandLine& command) {
    StoredTable stored;
    const bool is_read = succeeds([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(stored, client.readTable());
        return {};
    });
    if (!is_read) {
        return kExitUnknown;
    }
    auto changed = stored.table;
    const bool is_valid = succeeds([&]() -> Result<void> {
        BOOST_LEAF_CHECK(edit(&changed));
        return policy::checkTable(changed);
    });
    if (!is_valid) {
        return kExitBadInput;
    }
    changed.set_version(stored.table.version() + 1);
    auto outcome = client.writeTable(changed, stored.revision);
    if (outcome == TableWrite::kUnknown) {
        outcome = confirmWrite(client, changed, stored.revision);
    }
    if (const int code = printWriteOutcome(outcome); code != kExitOk) {
        return code;
    }
    std::cout << "saved: version=" << changed.version() << '\n';
    const bool must_wait = command.wait > Duration::zero() && !command.nodes.empty();
    return must_wait ? waitUntilApplied(client, changed.version(), command) : static_cast<int>(kExitOk);
}

int setCell(BlockingClient& client, const CommandLine& command) {
    const auto& cell = command.args[2];
    const auto& value = command.args[3];
    const auto dot = cell.rfind('.');
    if (dot == std::string::npos) {
        std::cerr << "table.set: " << cell << ": ROW.COLUMN is expected, such as route/browse.priority\n";
        return kExitBadInput;
    }
    return editTable(
        client,
        [&](wire::RouteTable* table) {
            return policy::setCell(table, cell.substr(0, dot), cell.substr(dot + 1), value);
        },
        command);
}

int importRows(BlockingClient& client, const CommandLine& command) {
    const auto& file = command.args[2];
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << "table.import: " << file << ": cannot be read\n";
        return kExitBadInput;
    }
    std::stringstream text;
    text << stream.rdbuf();
    std::map<std::string, policy::RowCells> rows;
    const bool is_read = succeeds([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(rows, parseRows(file, text.str()));
        return {};
    });
    if (!is_read) {
        return kExitBadInput;
    }
    return editTable(
        client,
        [&](wire::RouteTable* table) -> Result<void> {
            for (const auto& [row, cells] : rows) {
                BOOST_LEAF_CHECK(policy::putRow(table, row, cells));
            }
            return {};
        },
        command);
}

int showTable(BlockingClient& client, OutputFormat output) {
    StoredTable stored;
    const bool is_read = succeeds([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(stored, client.readTable());
        return {};
    });
    if (!is_read) {
        return kExitUnknown;
    }
    std::cout << renderTable(stored.table, output);
    return kExitOk;
}

}  // namespace

int runCommand(BlockingClient& client, const CommandLine& command) {
    const auto& args = command.args;
    const auto matches = [&args](std::size_t count, const std::string& first, const std::string& second = "") {
        return args.size() == count && args[0] == first && (second.empty() || args[1] == second);
    };
    if (matches(2, "table", "show")) {
        return showTable(client, command.output);
    }
    if (matches(2, "table", "export")) {
        return showTable(client, command.output == OutputFormat::kText ? OutputFormat::kCsv : command.output);
    }
    if (matches(4, "table", "set")) {
        return setCell(client, command);
    }
    if (matches(3, "table", "import")) {
        return importRows(client, command);
    }
    if (matches(3, "table", "remove")) {
        return editTable(
            client, [&](wire::RouteTable* table) { return policy::removeRow(table, args[2]); }, command);
    }
    if (matches(1, "status")) {
        return showStatus(client, command);
    }
    std::cerr << "commands: table show | table export | table set ROW.COLUMN VALUE | table import FILE | "
                 "table remove ROW | table columns | status | explain ID FILE...\n";
    return kExitBadInput;
}

}  // namespace dewcrank::ctl
