// One instance's process: wires the packages by the settings and shuts them down in order.
#pragma once

#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/daemon/exitcode.h"
#include "samphirebridge/entry/entrynode.h"
#include "samphirebridge/net/eventloop.h"
#include "samphirebridge/runtime/taskqueue.h"
#include "samphirebridge/settings/settings.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>

namespace samphirebridge::daemon
{

// What a deployment's own interface is built on. All of it belongs to the control thread, but for
// the queue, the counters and the logger.
struct DaemonServices {
    const settings::Settings &settings;
    net::EventLoop &loop;
    runtime::TaskQueue &queue;
    entry::EntryNode &node;
    control::LedgerClient &client;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
};

// An interface's part in a shutdown, in this order. All but the last run on the control thread.
struct InterfaceShutdown {
    std::function<void()> beginDrain; // Callers are told not to come back.
    std::function<void()> stopAccepting; // No new connections.
    std::function<bool()> idle; // Tells whether no request is under way.
    std::function<void()> end; // Ends what is under way and closes everything.
    // Destroys the interface. Runs on the caller of Daemon::stop(), once the control thread has
    // ended and before the loop goes, whose destructor waits for every handle on it.
    std::function<void()> release;
};

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

    // Valid between start() and stop().
    [[nodiscard]] DaemonServices services();

    // Adds an interface to the shutdown.
    void setInterface(InterfaceShutdown shutdown);

    // Takes over what may change while the process runs: the seeds.
    void reload(const settings::Settings &changed);

    // Ends gracefully: stops being ready, lets the requests under way end within the grace of the
    // settings, returns all escrow and hands over the leadership.
    void stop();

private:
    struct Parts;

    void drainCallers();
    void drainInterface(core::TimePoint deadline);
    // Returns whether everything was settled and returned by the deadline.
    bool returnEscrow(core::TimePoint deadline);
    void handOverLeadership();

    settings::Settings settings;
    InterfaceShutdown interface;
    std::unique_ptr<Parts> parts;
};

// Returns the exit code that tells the error apart.
ExitCode exitCodeOf(const absl::Status &status);

} // namespace samphirebridge::daemon
