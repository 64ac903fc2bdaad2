#include "samphirebridge/daemon/processrunner.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/daemon/commandline.h"
#include "samphirebridge/daemon/datafolder.h"

#include <absl/synchronization/mutex.h>
#include <fmt/format.h>

#include <csignal>
#include <optional>
#include <string>
#include <utility>

namespace samphirebridge::daemon
{

namespace
{

// Prints the error and returns its exit code.
int printError(const absl::Status &status)
{
    fmt::print(stderr, "samphirebridged: {}\n", core::messageOf(status));
    return static_cast<int>(exitCodeOf(status));
}

// Blocks SIGTERM, SIGINT and SIGHUP in this thread and those it starts, so that only sigwait
// receives them, and ignores SIGPIPE. Returns the blocked signals.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

// Reads the settings again and applies them; a failure is logged and changes nothing.
void reload(Daemon &process, const std::string &path)
{
    const auto settings = settings::loadSettings(path);
    if (settings.ok()) {
        process.reload(*settings);
        return;
    }
    process.services().logger.change("reload_refused",
                                     {{"error", std::string(core::messageOf(settings.status()))}});
}

// Starts the daemon, serves until a signal ends it and returns the exit code.
int run(const std::string &path,
        settings::Settings settings,
        const AttachInterface &attach,
        const sigset_t &signals)
{
    Daemon process(std::move(settings));
    absl::Status started = process.start();
    if (started.ok() && attach) {
        started = attach(process);
    }
    if (!started.ok()) {
        return printError(started);
    }
    int signal = 0;
    sigwait(&signals, &signal);
    while (signal == SIGHUP) {
        reload(process, path);
        sigwait(&signals, &signal);
    }
    process.stop();
    return static_cast<int>(ExitCode::Success);
}

} // namespace

int runProcess(std::span<const char *const> arguments, const AttachInterface &attach)
{
    // Debian's build of absl checks the order of all locks for deadlocks, which takes a tenth of
    // the processor time of a process that opens many connections.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    const CommandLine commandLine = parseCommandLine(arguments);
    // Before anything that takes time: a supervisor may send signals from the start on.
    const std::optional<sigset_t> signals
        = commandLine.action == Action::Run ? std::optional(blockSignals()) : std::nullopt;
    auto settings = settings::loadSettings(commandLine.settingsPath);
    if (!settings.ok()) {
        return printError(settings.status());
    }
    if (commandLine.action == Action::Check) {
        fmt::print("{}: the settings are acceptable\n", commandLine.settingsPath);
        return static_cast<int>(ExitCode::Success);
    }
    if (commandLine.action == Action::Initialise) {
        const absl::Status initialised = initialiseDataFolder(*settings);
        return initialised.ok() ? static_cast<int>(ExitCode::Success) : printError(initialised);
    }
    return run(commandLine.settingsPath, std::move(*settings), attach, *signals);
}

} // namespace samphirebridge::daemon
