#include "samphirebridge/net/eventloop.h"

#include <uv.h>

#include <chrono>
#include <cstdint>

namespace samphirebridge::net
{

namespace
{

// Interval at which the timer that limits a wait fires again.
constexpr uint64_t WaitLimitRepeatMs = 1;

} // namespace

struct EventLoop::Impl {
    uv_loop_t loop{};
    uv_async_t wakeUp{};
    uv_timer_t waitLimit{};
    core::SteadyClock clock;
};

EventLoop::EventLoop()
    : impl(std::make_unique<Impl>())
{
    uv_loop_init(&this->impl->loop);
    uv_async_init(&this->impl->loop, &this->impl->wakeUp, [](uv_async_t * /*handle*/) {});
    uv_timer_init(&this->impl->loop, &this->impl->waitLimit);
}

EventLoop::~EventLoop()
{
    uv_close(reinterpret_cast<uv_handle_t *>(&this->impl->wakeUp), nullptr);
    uv_close(reinterpret_cast<uv_handle_t *>(&this->impl->waitLimit), nullptr);
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
}

void EventLoop::wake()
{
    uv_async_send(&this->impl->wakeUp);
}

uv_loop_s *EventLoop::handle()
{
    return &this->impl->loop;
}

} // namespace samphirebridge::net
