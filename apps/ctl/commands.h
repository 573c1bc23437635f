/// @file
/// The commands of the operators' tool.
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
    kExitLostRace = 3,
    kExitUnknown = 4,     ///< The store, or the node, does not answer: nothing is known.
    kExitNotInForce = 5,  ///< Saved, but not in force everywhere in time.
};

/// What was asked for.
struct Request {
    std::vector<std::string> words;  ///< The command and its arguments.
    Output output = Output::kText;
    std::vector<std::string> nodes;  ///< "ip:port" of the metrics of nodes that are asked what is in force.
    Duration wait{};                 ///< How long to wait until an edit is in force at all of them.
};

/// Runs one command; what people read goes to standard output, errors to standard error.
int runCommand(StoreAccess& store, const Request& request);

}  // namespace dewcrank::ctl
