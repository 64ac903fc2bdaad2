// The loop that drives every connection and timer of one thread.
#pragma once

#include "samphirebridge/core/time.h"

#include <memory>

struct uv_loop_s;

namespace samphirebridge::net
{

// All handles of a loop must be gone before it is destroyed. Only wake() may be called from other
// threads.
class EventLoop
{
public:
    EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    ~EventLoop();

    // Waits for the next events, at most until the time given, and runs their callbacks.
    void runUntil(core::TimePoint wakeUp);

    // Ends a wait that is under way, or the next one.
    void wake();

    [[nodiscard]] uv_loop_s *handle();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace samphirebridge::net
