#include "samphirebridge/runtime/taskqueue.h"

namespace samphirebridge::runtime
{

void TaskQueue::post(Task task)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed) {
            return;
        }
        this->queued.push_back(std::move(task));
    }
    this->taskQueued.notify_one();
    if (this->postCallback) {
        this->postCallback();
    }
}

void TaskQueue::setPostCallback(std::function<void()> function)
{
    this->postCallback = std::move(function);
}

core::TimePoint TaskQueue::nextDueTime(core::TimePoint latest)
{
    const std::lock_guard lock(this->mutex);
    return this->queued.empty() ? this->nextWakeUp(latest) : core::TimePoint{};
}

void TaskQueue::postAt(core::TimePoint due, Task task)
{
    this->timed.emplace(due, std::move(task));
}

size_t TaskQueue::runUntil(core::TimePoint wakeUp, const core::SteadyClock &clock)
{
    std::vector<Task> tasks = this->takeQueued(this->nextWakeUp(wakeUp), clock);
    const core::TimePoint now = clock.now();
    while (!this->timed.empty() && this->timed.begin()->first <= now) {
        tasks.push_back(std::move(this->timed.begin()->second));
        this->timed.erase(this->timed.begin());
    }
    for (Task &task : tasks) {
        task();
        // Destroys the task's captures before the next task runs.
        task = nullptr;
    }
    return tasks.size();
}

void TaskQueue::close()
{
    std::vector<Task> rest;
    {
        const std::lock_guard lock(this->mutex);
        this->closed = true;
        rest.swap(this->queued);
    }
    for (const Task &task : rest) {
        task();
    }
}

core::TimePoint TaskQueue::nextWakeUp(core::TimePoint wakeUp) const
{
    if (this->timed.empty()) {
        return wakeUp;
    }
    return std::min(wakeUp, this->timed.begin()->first);
}

std::vector<Task> TaskQueue::takeQueued(core::TimePoint wakeUp, const core::SteadyClock &clock)
{
    std::unique_lock lock(this->mutex);
    const core::Duration wait = wakeUp - clock.now();
    if (this->queued.empty() && wait > core::Duration::zero()) {
        this->taskQueued.wait_for(lock, wait, [this] { return !this->queued.empty(); });
    }
    return std::exchange(this->queued, {});
}

} // namespace samphirebridge::runtime
