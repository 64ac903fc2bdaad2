// Runs a daemon from its command line to the signal that ends it.
#pragma once

#include "samphirebridge/daemon/daemon.h"

#include <absl/status/status.h>

#include <functional>
#include <span>

namespace samphirebridge::daemon
{

// Adds a deployment's interface to a daemon that has started.
using AttachInterface = std::function<absl::Status(Daemon &)>;

// Reads the command line and the settings, does what they say and returns the exit code. SIGTERM
// and SIGINT end the process gracefully; SIGHUP reads the settings again.
int runProcess(std::span<const char *const> arguments, const AttachInterface &attach);

} // namespace samphirebridge::daemon
