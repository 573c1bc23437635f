/// @file
/// Command line of dewcrank-sidecar.
#pragma once

#include "apps/sidecar/sidecar_daemon.h"

namespace dewcrank {

/// Reads the arguments and the settings, and runs the daemon. @return the exit code of the process: 0 after a planned
/// stop, 2 if the arguments or the settings are invalid, 3 if an address cannot be used.
int runSidecar(int argc, char** argv, const PlatformFactory& platform);

}  // namespace dewcrank
