#include "apps/ctl/commands.h"

#include <fstream>
#include <functional>
#include <iostream>
#include <set>
#include <sstream>

namespace dewcrank::ctl {

namespace {

constexpr Duration kForcePoll = 100ms;
/// Tries to find out what became of a write whose answer was lost.
constexpr int kReadBackTries = 10;
constexpr Duration kReadBackPause = 300ms;

using Edit = std::function<Result<void>(wire::RouteTable*)>;

/// Runs a body that gives a Result. @return false, with the error printed, if it failed.
template <typename Body>
bool succeeds(Body&& body) {
    return runOrReport(std::forward<Body>(body), [](const StepError& error) { std::cerr << error.text() << '\n'; });
}

// In force -----------------------------------------------------------------------

/// The value of a metric without labels; nothing if the page does not have it.
std::optional<std::uint64_t> metricIn(const std::string& page, const std::string& name) {
    std::istringstream lines(page);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(name + " ")) {
            return static_cast<std::uint64_t>(std::strtod(line.c_str() + name.size(), nullptr));
        }
    }
    return std::nullopt;
}

/// The version of the table that is in force at a node.
Result<std::uint64_t> versionAt(StoreAccess& store, const std::string& node) {
    BOOST_LEAF_AUTO(page, store.readMetrics(node));
    const auto version = metricIn(page, "dewcrank_table_version");
    if (!version) {
        return stepError("node.metrics", node, "the page tells no version of the table");
    }
    return *version;
}

int showStatus(StoreAccess& store, const Request& request) {
    if (request.nodes.empty()) {
        std::cerr << "status: --node IP:PORT of a node's metrics is expected, once for each node\n";
        return kExitBadInput;
    }
    int code = kExitOk;
    for (const auto& node : request.nodes) {
        const bool is_read = succeeds([&]() -> Result<void> {
            BOOST_LEAF_AUTO(version, versionAt(store, node));
            std::cout << "node=" << node << " version=" << version << '\n';
            return {};
        });
        code = is_read ? code : static_cast<int>(kExitUnknown);
    }
    return code;
}

int waitInForce(StoreAccess& store, std::uint64_t version, const Request& request) {
    const auto started = store.now();
    std::set<std::string> behind(request.nodes.begin(), request.nodes.end());
    while (!behind.empty() && store.now() - started < request.wait) {
        std::erase_if(behind, [&](const std::string& node) {
            std::uint64_t present = 0;
            runOrReport(
                [&]() -> Result<void> {
                    BOOST_LEAF_ASSIGN(present, versionAt(store, node));
                    return {};
                },
                [](const StepError&) {});  // Asked again until the time is up.
            return present >= version;
        });
        if (!behind.empty()) {
            store.wait(kForcePoll);
        }
    }
    for (const auto& node : behind) {
        std::cerr << "not in force: version=" << version << " node=" << node << '\n';
    }
    if (behind.empty()) {
        std::cout << "in force: version=" << version << " after_ms=" << toMilliseconds(store.now() - started) << '\n';
    }
    return behind.empty() ? kExitOk : kExitNotInForce;
}

// Edits --------------------------------------------------------------------------

/// The answer to a write was lost: reads until the store tells whether the table is the one written.
TableWrite readBack(StoreAccess& store, const wire::RouteTable& written, std::uint64_t expected) {
    for (int tries = 0; tries < kReadBackTries; ++tries) {
        StoredTable present;
        const bool is_read = succeeds([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(present, store.read());
            return {};
        });
        if (is_read && policy::rowsOf(present.table) == policy::rowsOf(written)) {
            return TableWrite::kWritten;
        }
        if (is_read && present.revision != expected) {
            return TableWrite::kConflict;
        }
        store.wait(kReadBackPause);
    }
    return TableWrite::kUnknown;
}

int reportWrite(TableWrite outcome) {
    switch (outcome) {
        case TableWrite::kWritten:
            return kExitOk;
        case TableWrite::kConflict:
            std::cerr << "lost race: another edit was saved first; nothing was written; look, then edit again\n";
            return kExitLostRace;
        case TableWrite::kRefused:
            std::cerr << "refused: the store does not take this table\n";
            return kExitFailed;
        case TableWrite::kUnknown:
            break;
    }
    std::cerr << "unknown: the store has not answered; look at the table before trying again\n";
    return kExitUnknown;
}

/// Reads the table, changes it, and saves it as the next version.
int save(StoreAccess& store, const Edit& edit, const Request& request) {
    StoredTable stored;
    const bool is_read = succeeds([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(stored, store.read());
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
    auto outcome = store.write(changed, stored.revision);
    if (outcome == TableWrite::kUnknown) {
        outcome = readBack(store, changed, stored.revision);
    }
    if (const int code = reportWrite(outcome); code != kExitOk) {
        return code;
    }
    std::cout << "saved: version=" << changed.version() << '\n';
    const bool waits = request.wait > Duration::zero() && !request.nodes.empty();
    return waits ? waitInForce(store, changed.version(), request) : static_cast<int>(kExitOk);
}

int setCell(StoreAccess& store, const Request& request) {
    const auto& cell = request.words[2];
    const auto& value = request.words[3];
    const auto dot = cell.rfind('.');
    if (dot == std::string::npos) {
        std::cerr << "table.set: " << cell << ": ROW.COLUMN is expected, such as route/browse.priority\n";
        return kExitBadInput;
    }
    return save(
        store,
        [&](wire::RouteTable* table) {
            return policy::setCell(table, cell.substr(0, dot), cell.substr(dot + 1), value);
        },
        request);
}

int importRows(StoreAccess& store, const Request& request) {
    const auto& file = request.words[2];
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
    return save(
        store,
        [&](wire::RouteTable* table) -> Result<void> {
            for (const auto& [row, cells] : rows) {
                BOOST_LEAF_CHECK(policy::putRow(table, row, cells));
            }
            return {};
        },
        request);
}

int showTable(StoreAccess& store, Output output) {
    StoredTable stored;
    const bool is_read = succeeds([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(stored, store.read());
        return {};
    });
    if (!is_read) {
        return kExitUnknown;
    }
    std::cout << renderTable(stored.table, output);
    return kExitOk;
}

}  // namespace

int runCommand(StoreAccess& store, const Request& request) {
    const auto& words = request.words;
    const auto is = [&words](std::size_t count, const std::string& first, const std::string& second = "") {
        return words.size() == count && words[0] == first && (second.empty() || words[1] == second);
    };
    if (is(2, "table", "show")) {
        return showTable(store, request.output);
    }
    if (is(2, "table", "export")) {
        return showTable(store, request.output == Output::kText ? Output::kCsv : request.output);
    }
    if (is(4, "table", "set")) {
        return setCell(store, request);
    }
    if (is(3, "table", "import")) {
        return importRows(store, request);
    }
    if (is(3, "table", "remove")) {
        return save(
            store, [&](wire::RouteTable* table) { return policy::removeRow(table, words[2]); }, request);
    }
    if (is(1, "status")) {
        return showStatus(store, request);
    }
    std::cerr << "commands: table show | table export | table set ROW.COLUMN VALUE | table import FILE | "
                 "table remove ROW | table columns | status | explain ID FILE...\n";
    return kExitBadInput;
}

}  // namespace dewcrank::ctl
