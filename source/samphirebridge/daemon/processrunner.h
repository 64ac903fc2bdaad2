// Runs a daemon from its command line until a signal stops it.
#pragma once

#include "samphirebridge/daemon/daemon.h"

#include <absl/status/status.h>

#include <functional>
#include <span>

namespace samphirebridge::daemon
{

// Adds a deployment's interface to a daemon that has started. After an error the process exits.
using AttachInterface = std::function<absl::Status(Daemon &)>;

// Parses the command line, loads the settings, carries out the action and returns the exit code.
// SIGTERM and SIGINT shut a running daemon down gracefully; SIGHUP reloads its settings. `attach`
// may be empty.
int runProcess(std::span<const char *const> arguments, const AttachInterface &attach);

} // namespace samphirebridge::daemon
