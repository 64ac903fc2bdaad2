// Lets a control thread wait for its task queue and its event loop at the same time.
#pragma once

#include "samphirebridge/net/eventloop.h"
#include "samphirebridge/runtime/taskqueue.h"

namespace samphirebridge::net
{

// Satisfies runtime::ControlWaiter. Posting to the queue must call EventLoop::wake().
class LoopWaiter
{
public:
    explicit LoopWaiter(EventLoop &eventLoop)
        : loop(&eventLoop)
    {
    }

    void wait(runtime::TaskQueue &queue, core::TimePoint wakeUp)
    {
        this->loop->runUntil(queue.nextDueTime(wakeUp));
    }

private:
    EventLoop *loop;
};

} // namespace samphirebridge::net
