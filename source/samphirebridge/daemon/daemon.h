// The process of one instance: creates its parts according to the settings, and shuts them down in
// order.
#pragma once

#include "samphirebridge/control/ledgerclient.h"
#include "samphirebridge/daemon/exitcode.h"
#include "samphirebridge/entry/entrynode.h"
#include "samphirebridge/entry/fleetcontrol.h"
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

// The parts of a daemon that a deployment's own interface uses. They may only be used on the
// control thread, except the queue, the counters and the logger.
struct DaemonServices {
    const settings::Settings &settings;
    net::EventLoop &loop;
    runtime::TaskQueue &queue;
    entry::EntryNode &node;
    control::LedgerClient &client;
    entry::FleetControl &control;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
};

// What an interface does during a shutdown, in this order. All but the last function run on the
// control thread.
struct InterfaceShutdown {
    // Tells callers not to reuse their connections, and accepts only requests that can be expected
    // to end by the given time.
    std::function<void(core::TimePoint)> beginDrain;
    std::function<bool()> isIdle; // Returns whether no accepted request is in progress.
    // Ends the requests in progress and closes the listeners and all idle connections.
    std::function<void()> abortRequests;
    // Returns whether every request that had arrived by then is answered.
    std::function<bool()> isClosed;
    // Destroys the interface. Runs on the thread that calls Daemon::stop(), after the control
    // thread has ended and before the event loop is destroyed, whose destructor waits for all of
    // its handles.
    std::function<void()> release;
};

// Runs one instance from start() to stop().
class Daemon
{
public:
    explicit Daemon(settings::Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    // Opens the data folder of a control instance, starts the servers and the control thread.
    // Errors: DataFolderMissing, StorageCorrupt, AddressInUse and those of the storage.
    absl::Status start();

    // Returns the parts for an interface. Valid between start() and stop().
    [[nodiscard]] DaemonServices services();

    // Sets the functions by which stop() shuts the deployment's interface down.
    void setInterface(InterfaceShutdown shutdown);

    // Applies the settings that may change while the process runs: the seeds. Others are ignored.
    void reload(const settings::Settings &changed);

    // Shuts down gracefully: reports not ready, lets the requests in progress end within the grace
    // of the settings, returns all escrow and transfers the leadership.
    void stop();

private:
    struct Parts;

    // Reports not ready and lets the requests in progress end. Then aborts those of the built-in
    // HTTP server that are left.
    void drainCallers(core::TimePoint signalledAt);
    // Drains the deployment's interface until it is to be closed.
    void drainInterface(core::TimePoint signalledAt);
    // Closes the deployment's interface and waits for a bounded time until the requests that have
    // arrived are answered.
    void closeInterface();
    // Waits until all usage is reported and settled and all escrow is returned; returns whether
    // that was so by the deadline.
    bool returnEscrow(core::TimePoint deadline);
    // Lets the voter offer its vote to a successor and its leadership to another voter, and waits
    // for a bounded time until it no longer leads.
    void prepareVoterStop();

    settings::Settings settings;
    InterfaceShutdown interface;
    std::unique_ptr<Parts> parts;
};

// Returns the exit code for an error of Daemon::start(), of the settings or of the data folder.
ExitCode exitCodeOf(const absl::Status &status);

} // namespace samphirebridge::daemon
