#include "samphirebridge/daemon/commandline.h"

#include "samphirebridge/daemon/exitcode.h"

#include <docopt.h>
#include <fmt/format.h>

#include <cstdlib>
#include <exception>
#include <map>
#include <vector>

namespace samphirebridge::daemon
{

namespace
{

constexpr const char *Usage = R"(samphirebridged: one instance of the router fleet.

Usage:
  samphirebridged --settings=FILE [--check | --initialise]
  samphirebridged --help
  samphirebridged --version

Options:
  --settings=FILE  The instance's settings, in YAML.
  --check          Check the settings and end.
  --initialise     Write the data folder of one of a new fleet's first voters and end. Never run it
                   for an instance that lost its disk: just start that one.
)";

constexpr const char *Version = "samphirebridged 0.1.0";

} // namespace

CommandLine parseCommandLine(std::span<const char *const> arguments)
{
    const std::vector<std::string> argumentList(arguments.begin(), arguments.end());
    std::map<std::string, docopt::value> values;
    try {
        values = docopt::docopt_parse(Usage, argumentList, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}", Usage);
        std::exit(static_cast<int>(ExitCode::Success)); // NOLINT(concurrency-mt-unsafe)
    } catch (const docopt::DocoptExitVersion &) {
        fmt::print("{}\n", Version);
        std::exit(static_cast<int>(ExitCode::Success)); // NOLINT(concurrency-mt-unsafe)
    } catch (const std::exception &) {
        fmt::print(stderr, "{}", Usage);
        std::exit(static_cast<int>(ExitCode::Usage)); // NOLINT(concurrency-mt-unsafe)
    }
    CommandLine commandLine;
    commandLine.settingsPath = values["--settings"].asString();
    if (values["--check"].asBool()) {
        commandLine.action = Action::Check;
    }
    if (values["--initialise"].asBool()) {
        commandLine.action = Action::Initialise;
    }
    return commandLine;
}

} // namespace samphirebridge::daemon
