// A one-shot timer on an event loop.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/net/eventloop.h"

#include <functional>

struct uv_timer_s;

namespace samphirebridge::net
{

// Calls a function once for each start.
class Timer
{
public:
    // `onFire` runs on the loop's thread; it may restart or destroy the timer.
    Timer(EventLoop &loop, std::function<void()> onFire);
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;
    ~Timer();

    // Starts or restarts the timer. It fires from the loop after the sockets were read, never
    // within this call, also for a delay of zero.
    void start(core::Duration delay);

    // Stops the timer; it does not fire until it is started again.
    void stop();

    // Calls the function. For the loop.
    void fire() const;

private:
    EventLoop &loop;
    uv_timer_s *handle;
    std::function<void()> onFire;
};

} // namespace samphirebridge::net
