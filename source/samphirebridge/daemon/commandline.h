// The arguments of samphirebridged.
#pragma once

#include <span>
#include <string>

namespace samphirebridge::daemon
{

enum class Action {
    Run,
    Check, // Check the settings and end.
    Initialise, // Write the data folder of one of a new fleet's first voters and end.
};

struct CommandLine {
    Action action = Action::Run;
    std::string settingsPath;
};

// Parses the arguments without the program's name. Prints the usage and ends the process if they
// are not acceptable, or on --help and --version.
CommandLine parseCommandLine(std::span<const char *const> arguments);

} // namespace samphirebridge::daemon
