// One instance's process: wires the packages by the settings and shuts them down in order.
#pragma once

#include "samphirebridge/daemon/exitcode.h"
#include "samphirebridge/settings/settings.h"

#include <absl/status/status.h>

#include <memory>

namespace samphirebridge::daemon
{

class Daemon
{
public:
    explicit Daemon(settings::Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    // Opens the data folder, listens and serves. Errors: DataFolderMissing, StorageCorrupt,
    // AddressInUse and those of the storage.
    absl::Status start();

    // Ends gracefully: stops being ready, lets the requests under way end within the grace of the
    // settings, returns all escrow and hands over the leadership.
    void stop();

private:
    struct Parts;

    void drainCallers();
    void returnEscrow();
    void handOverLeadership();

    settings::Settings settings;
    std::unique_ptr<Parts> parts;
};

// Returns the exit code that tells the error apart.
ExitCode exitCodeOf(const absl::Status &status);

} // namespace samphirebridge::daemon
