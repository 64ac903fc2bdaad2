#include "samphirebridge/net/eventloop.h"

#include "samphirebridge/net/timer.h"

#include <uv.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

namespace samphirebridge::net
{

namespace
{

// Interval at which the timer that limits a wait fires again.
constexpr uint64_t WaitLimitRepeatMs = 1;

} // namespace

struct EventLoop::Impl {
    // Fires the timers that became due before the sockets were read.
    void fireDue()
    {
        uv_idle_stop(&this->noWait);
        while (!this->due.empty()) {
            Timer *timer = this->due.front();
            this->due.erase(this->due.begin());
            timer->fire();
        }
    }

    uv_loop_t loop{};
    uv_async_t wakeUp{};
    uv_timer_t waitLimit{};
    uv_check_t afterSockets{};
    uv_idle_t noWait{}; // Keeps the loop from waiting for sockets while it is active.
    std::vector<Timer *> due;
    core::SteadyClock clock;
};

EventLoop::EventLoop()
    : impl(std::make_unique<Impl>())
{
    uv_loop_init(&this->impl->loop);
    uv_async_init(&this->impl->loop, &this->impl->wakeUp, [](uv_async_t * /*handle*/) {});
    uv_timer_init(&this->impl->loop, &this->impl->waitLimit);
    uv_idle_init(&this->impl->loop, &this->impl->noWait);
    uv_check_init(&this->impl->loop, &this->impl->afterSockets);
    this->impl->afterSockets.data = this->impl.get();
    uv_check_start(&this->impl->afterSockets,
                   [](uv_check_t *handle) { static_cast<Impl *>(handle->data)->fireDue(); });
}

EventLoop::~EventLoop()
{
    uv_close(reinterpret_cast<uv_handle_t *>(&this->impl->wakeUp), nullptr);
    uv_close(reinterpret_cast<uv_handle_t *>(&this->impl->waitLimit), nullptr);
    uv_close(reinterpret_cast<uv_handle_t *>(&this->impl->noWait), nullptr);
    uv_close(reinterpret_cast<uv_handle_t *>(&this->impl->afterSockets), nullptr);
    while (uv_run(&this->impl->loop, UV_RUN_NOWAIT) != 0) { }
    uv_loop_close(&this->impl->loop);
}

void EventLoop::runUntil(core::TimePoint deadline)
{
    const core::Duration wait = deadline - this->impl->clock.now();
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    if (millis <= 0) {
        uv_run(&this->impl->loop, UV_RUN_NOWAIT);
        return;
    }
    uv_update_time(&this->impl->loop);
    uv_timer_start(
        &this->impl->waitLimit,
        [](uv_timer_t * /*handle*/) {},
        static_cast<uint64_t>(millis),
        // libuv runs due timers before it polls. A one-shot timer that fires there would no longer
        // limit the poll, so the timer repeats.
        WaitLimitRepeatMs);
    uv_run(&this->impl->loop, UV_RUN_ONCE);
    uv_timer_stop(&this->impl->waitLimit);
    // libuv also looks for due timers after it has polled, when callbacks may have taken long.
    if (!this->impl->due.empty()) {
        uv_run(&this->impl->loop, UV_RUN_NOWAIT);
    }
}

void EventLoop::wake()
{
    uv_async_send(&this->impl->wakeUp);
}

void EventLoop::fireAfterSockets(Timer &timer)
{
    this->impl->due.push_back(&timer);
    uv_idle_start(&this->impl->noWait, [](uv_idle_t * /*handle*/) {});
}

void EventLoop::dropDue(const Timer &timer)
{
    std::erase(this->impl->due, &timer);
}

uv_loop_s *EventLoop::handle()
{
    return &this->impl->loop;
}

} // namespace samphirebridge::net
