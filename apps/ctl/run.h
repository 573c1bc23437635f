/// @file
/// Entry point of `dewcrank`, the operators' command line tool, independent of the platform's store.
#pragma once

#include "apps/ctl/blocking_client.h"

namespace dewcrank::ctl {

/// Parses the command line and runs the command.
/// @param factory creates the client of the platform's store.
/// @return the exit code of the program.
int run(int argc, char** argv, const TableStoreFactory& factory);

}  // namespace dewcrank::ctl
