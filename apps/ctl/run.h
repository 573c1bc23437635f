/// @file
/// dewcrank: the operators' command line, for any platform's store.
#pragma once

#include "apps/ctl/blocking_client.h"

namespace dewcrank::ctl {

/// @return the program's exit code.
int run(int argc, char** argv, const TableStoreFactory& factory);

}  // namespace dewcrank::ctl
