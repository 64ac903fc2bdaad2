// Lets a traffic thread wait for an answer that the control thread gives later.
#pragma once

#include "samphirebridge/runtime/taskqueue.h"

#include <functional>
#include <future>
#include <memory>
#include <utility>

namespace samphirebridge::gateway
{

// Runs `start` on the control thread with a function that takes the answer, and waits for that
// function's call. `start` must see to it that it is called, also when time runs out.
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
