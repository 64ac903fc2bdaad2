// The thread that owns the control state of a process: all access to that state runs on it.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/runtime/taskqueue.h"

#include <atomic>
#include <concepts>
#include <thread>

namespace samphirebridge::runtime
{

// The owner of the control state, which the control thread calls.
template <typename T>
concept ControlHost = requires(T host, core::TimePoint now)
{
    // Called once in every tick interval.
    {
        host.tick(now)
        } -> std::same_as<void>;
    // Called after each batch of tasks. Writes and messages of the whole batch can share one sync
    // and one message.
    {
        host.flush(now)
        } -> std::same_as<void>;
};

// The way in which the thread waits for work.
template <typename T>
concept ControlWaiter = requires(T waiter, TaskQueue &queue, core::TimePoint wakeUp)
{
    // Returns when a task is queued or the time is reached, at the latest. May return earlier, and
    // may run tasks of the queue.
    {
        waiter.wait(queue, wakeUp)
        } -> std::same_as<void>;
};

// Waits for tasks of the queue and for nothing else, and runs them.
struct QueueWaiter {
    void wait(TaskQueue &queue, core::TimePoint wakeUp) const
    {
        queue.runUntil(wakeUp, core::SteadyClock());
    }
};

// Runs the queue's tasks and the host's ticks from start() to stop().
template <ControlHost Host, ControlWaiter Waiter = QueueWaiter>
class ControlThread
{
public:
    ControlThread(TaskQueue &taskQueue,
                  Host &controlHost,
                  core::Duration interval) requires std::default_initializable<Waiter>
        : ControlThread(taskQueue, controlHost, interval, Waiter())
    {
    }

    ControlThread(TaskQueue &taskQueue,
                  Host &controlHost,
                  core::Duration interval,
                  Waiter threadWaiter)
        : queue(taskQueue)
        , host(controlHost)
        , tickInterval(interval)
        , waiter(threadWaiter)
    {
    }

    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    ~ControlThread()
    {
        this->stop();
    }

    void start()
    {
        this->thread = std::thread([this] { this->run(); });
    }

    // Runs the tasks that are queued, then ends the thread and waits for its end. Tasks posted
    // later never run, nor do tasks that are not yet due.
    void stop()
    {
        if (!this->thread.joinable()) {
            return;
        }
        this->stopping = true;
        this->queue.post([] {});
        this->thread.join();
    }

private:
    void run()
    {
        core::TimePoint nextTick = this->clock.now();
        while (!this->stopping) {
            this->waiter.wait(this->queue, nextTick);
            this->queue.runUntil(core::TimePoint{}, this->clock);
            const core::TimePoint now = this->clock.now();
            if (now >= nextTick) {
                this->host.tick(now);
                nextTick = now + this->tickInterval;
            }
            this->host.flush(now);
        }
        this->queue.close();
    }

    TaskQueue &queue;
    Host &host;
    core::Duration tickInterval;
    Waiter waiter;
    core::SteadyClock clock;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace samphirebridge::runtime
