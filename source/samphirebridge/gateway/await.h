// Lets a traffic thread wait for an asynchronous answer from the control thread.
#pragma once

#include "samphirebridge/runtime/taskqueue.h"

#include <functional>
#include <future>
#include <memory>
#include <utility>

namespace samphirebridge::gateway
{

// Runs `start` on the control thread and blocks until the callback that `start` receives is called
// with the answer, which is returned. The wait has no timeout of its own: `start` must ensure that
// the callback is called exactly once, also if its operation times out.
template <typename Answer, typename Start>
Answer await(runtime::TaskQueue &queue, Start start)
{
    auto promise = std::make_shared<std::promise<Answer>>();
    auto future = promise->get_future();
    queue.post([promise, start = std::move(start)]() mutable {
        start([promise](Answer answer) { promise->set_value(std::move(answer)); });
    });
    return future.get();
}

} // namespace samphirebridge::gateway
