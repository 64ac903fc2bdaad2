// The queue by which other threads hand work to the one thread that owns control state.
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

// A step of work that runs on the control thread.
using Task = std::function<void()>;

// Tasks in the order of their arrival, and tasks that are due at a time.
class TaskQueue
{
public:
    // Queues a task. Callable from any thread; tasks put in after close() never run.
    void post(Task task);

    // Sets a function that is called, on the posting thread, after each task that is put in. Only
    // before the first post.
    void setOnPost(std::function<void()> onPost);

    // Queues a task that becomes due at the time. Only on the control thread.
    void postAt(core::TimePoint due, Task task);

    // Runs a function on the control thread and waits for its result. Never call it on the control
    // thread itself. The queue must be open and driven.
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

    // Waits until a task is there or the time has come, then runs every task that is queued or due.
    // Returns the number of tasks run.
    size_t runUntil(core::TimePoint wakeUp, const core::SteadyClock &clock);

    // Returns when a task becomes due, the time given at the latest; at once if one is queued.
    [[nodiscard]] core::TimePoint dueBefore(core::TimePoint latest);

    // Runs what is queued and takes no more.
    void close();

private:
    // Returns when to wake up: the given time or, if earlier, the next due task.
    [[nodiscard]] core::TimePoint nextWakeUp(core::TimePoint wakeUp) const;

    std::vector<Task> takeQueued(core::TimePoint wakeUp, const core::SteadyClock &clock);

    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<Task> queued;
    std::multimap<core::TimePoint, Task> timed;
    std::function<void()> onPost;
    bool closed = false;
};

} // namespace samphirebridge::runtime
