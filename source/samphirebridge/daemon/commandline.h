// The command line of samphirebridged.
#pragma once

#include <span>
#include <string>

namespace samphirebridge::daemon
{

enum class Action {
    Run,
    Check, // Check the settings and exit.
    Initialise, // Write the data folder of one of a new fleet's first voters and exit.
};

struct CommandLine {
    Action action = Action::Run;
    std::string settingsPath;
};

// Parses the arguments, which don't include the program's name. Exits the process after printing
// the usage if they are invalid, and after --help and --version.
CommandLine parseCommandLine(std::span<const char *const> arguments);

} // namespace samphirebridge::daemon
