// A timer that fires once for each start.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/net/eventloop.h"

#include <functional>

struct uv_timer_s;

namespace samphirebridge::net
{

class Timer
{
public:
    // The function runs on the loop's thread; it may restart or destroy the timer.
    Timer(EventLoop &loop, std::function<void()> onFire);
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;
    ~Timer();

    // Starts the timer, or starts it anew. Never fires inside the call.
    void start(core::Duration after);

    void stop();

private:
    uv_timer_s *handle;
    std::function<void()> onFire;
};

} // namespace samphirebridge::net
