// The libuv event loop that drives the connections and timers of one thread.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/net/traffic.h"

#include <memory>

struct uv_loop_s;

namespace samphirebridge::net
{

class Timer;

// Every stream, listener and timer of a loop must be closed or destroyed before the loop. Only
// wake() may be called from other threads.
//
// A timer that is due fires after the sockets were read, so that after a pause of the loop no
// timeout is taken for the want of what has arrived meanwhile.
class EventLoop
{
public:
    EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    ~EventLoop();

    // Waits for the next events, at most until the deadline, runs their callbacks and returns. A
    // deadline in the past only runs the callbacks that are due.
    void runUntil(core::TimePoint deadline);

    // Makes the current runUntil() return, or the next one if none is running.
    void wake();

    // Fires the timer, which is due, once the sockets were read in this turn of the loop.
    void fireAfterSockets(Timer &timer);

    // Drops a timer that was passed to fireAfterSockets() and has not fired.
    void dropDue(const Timer &timer);

    // Returns the traffic of the loop's connections.
    [[nodiscard]] Traffic &traffic()
    {
        return this->loopTraffic;
    }

    // Returns the libuv loop, owned by this object.
    [[nodiscard]] uv_loop_s *handle();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
    Traffic loopTraffic;
};

} // namespace samphirebridge::net
