/// @file
/// Commands of the operators' tool that use the store or the nodes.
#pragma once

#include <string>
#include <vector>

#include "apps/ctl/blocking_client.h"
#include "apps/ctl/table_view.h"

namespace dewcrank::ctl {

/// Exit codes; docs/OPERATIONS.md lists them.
enum ExitCode {
    kExitOk = 0,
    kExitFailed = 1,
    kExitBadInput = 2,
    kExitConflict = 3,    ///< Another edit was saved first; nothing was written.
    kExitUnknown = 4,     ///< The store or a node did not respond; the outcome of a write may be unknown.
    kExitNotApplied = 5,  ///< The edit is saved, but some nodes did not apply it in time.
};

/// Parsed command line.
struct CommandLine {
    std::vector<std::string> args;  ///< Command name and its arguments.
    OutputFormat output = OutputFormat::kText;
    std::vector<std::string> nodes;  ///< Metrics addresses, "ip:port", of the nodes whose table version is polled.
    Duration wait{};                 ///< How long to wait until all `nodes` apply an edit; zero: don't wait.
};

/// Runs one command. Prints results to standard output and errors to standard error.
/// @return an ExitCode.
int runCommand(BlockingClient& client, const CommandLine& command);

}  // namespace dewcrank::ctl
