// Wires samphirebridged: reads the settings, runs the daemon and waits for the signal to end.
#include "samphirebridge/core/errors.h"
#include "samphirebridge/daemon/commandline.h"
#include "samphirebridge/daemon/daemon.h"
#include "samphirebridge/daemon/datafolder.h"
#include "samphirebridge/settings/settings.h"

#include <fmt/format.h>

#include <csignal>
#include <span>

using namespace samphirebridge;

namespace
{

// Reports why the process ends and returns its exit code.
int fail(const absl::Status &status)
{
    fmt::print(stderr, "samphirebridged: {}\n", core::messageOf(status));
    return static_cast<int>(daemon::exitCodeOf(status));
}

// Blocks the signals that end the process in every thread, so that only sigwait sees them.
sigset_t blockEndSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(settings::Settings settings, const sigset_t &signals)
{
    daemon::Daemon process(std::move(settings));
    const absl::Status started = process.start();
    if (!started.ok()) {
        return fail(started);
    }
    int signal = 0;
    sigwait(&signals, &signal);
    process.stop();
    return static_cast<int>(daemon::ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    const std::span<const char *const> arguments(argv, static_cast<size_t>(argc));
    const daemon::CommandLine commandLine = daemon::parseCommandLine(arguments.subspan(1));
    auto settings = settings::loadSettings(commandLine.settingsPath);
    if (!settings.ok()) {
        return fail(settings.status());
    }
    if (commandLine.action == daemon::Action::Check) {
        fmt::print("{}: the settings are acceptable\n", commandLine.settingsPath);
        return static_cast<int>(daemon::ExitCode::Success);
    }
    if (commandLine.action == daemon::Action::Initialise) {
        const absl::Status initialised = daemon::initialiseFolder(*settings);
        return initialised.ok() ? static_cast<int>(daemon::ExitCode::Success) : fail(initialised);
    }
    return run(std::move(*settings), blockEndSignals());
}
