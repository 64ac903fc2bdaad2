// The queue through which other threads pass work to the control thread.
#pragma once

#include "samphirebridge/core/time.h"

#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <type_traits>
#include <utility>
#include <vector>

namespace samphirebridge::runtime
{

// A function that runs on the control thread.
using Task = std::function<void()>;

// Holds tasks that run as soon as possible, in the order of posting, and tasks that run at a given
// time.
class TaskQueue
{
public:
    // Queues a task. Callable from any thread. Tasks posted after close() are discarded.
    void post(Task task);

    // Sets a function that is called on the posting thread after each post. Must be called before
    // the first post.
    void setPostCallback(std::function<void()> function);

    // Queues a task that runs once the time is reached. Callable on the control thread only.
    void postAt(core::TimePoint due, Task task);

    // Runs a function on the control thread and waits for its result. Must not be called on the
    // control thread, nor after close(), nor without a thread that runs the queue: the wait would
    // deadlock or fail.
    template <typename Function>
    auto call(Function function) -> std::invoke_result_t<Function>
    {
        using Result = std::invoke_result_t<Function>;
        auto promise = std::make_shared<std::promise<Result>>();
        auto future = promise->get_future();
        this->post([promise, function = std::move(function)]() mutable {
            if constexpr (std::is_void_v<Result>) {
                function();
                promise->set_value();
            } else {
                promise->set_value(function());
            }
        });
        return future.get();
    }

    // Waits until a task is queued or due or the wake-up time is reached, then runs every task that
    // is queued or due. Returns the number of tasks run. Callable on the control thread only.
    size_t runUntil(core::TimePoint wakeUp, const core::SteadyClock &clock);

    // Returns when the next task becomes due, but at most the latest time; the earliest possible
    // time if a task is queued. Callable on the control thread only.
    [[nodiscard]] core::TimePoint nextDueTime(core::TimePoint latest);

    // Runs the queued tasks on the calling thread and discards tasks that are posted later. Tasks
    // with a time do not run.
    void close();

private:
    // Returns the given time or, if earlier, the time of the next timed task.
    [[nodiscard]] core::TimePoint nextWakeUp(core::TimePoint wakeUp) const;

    // Waits until a task is queued or the wake-up time is reached, and removes the queued tasks.
    std::vector<Task> takeQueued(core::TimePoint wakeUp, const core::SteadyClock &clock);

    std::mutex mutex;
    std::condition_variable taskQueued;
    std::vector<Task> queued;
    std::multimap<core::TimePoint, Task> timed;
    std::function<void()> postCallback;
    bool closed = false;
};

} // namespace samphirebridge::runtime
