// Lets a control thread wait for its queue and for an event loop at once.
#pragma once

#include "samphirebridge/net/eventloop.h"
#include "samphirebridge/runtime/taskqueue.h"

namespace samphirebridge::net
{

// Satisfies runtime::ControlWaiter. The queue's posts must wake the loop.
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
