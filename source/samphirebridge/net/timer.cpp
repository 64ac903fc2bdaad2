#include "samphirebridge/net/timer.h"

#include <uv.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphirebridge::net
{

Timer::Timer(EventLoop &loop, std::function<void()> fire)
    : handle(new uv_timer_t)
    , onFire(std::move(fire))
{
    uv_timer_init(loop.handle(), this->handle);
    this->handle->data = this;
}

Timer::~Timer()
{
    this->handle->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(this->handle),
             [](uv_handle_t *closed) { delete reinterpret_cast<uv_timer_t *>(closed); });
}

void Timer::start(core::Duration delay)
{
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
    uv_update_time(this->handle->loop);
    uv_timer_start(
        this->handle,
        [](uv_timer_t *fired) {
            const auto *timer = static_cast<Timer *>(fired->data);
            if (timer != nullptr) {
                // A copy, since the callback may destroy the timer.
                const std::function<void()> fire = timer->onFire;
                fire();
            }
        },
        static_cast<uint64_t>(std::max<int64_t>(millis, 0)),
        0);
}

void Timer::stop()
{
    uv_timer_stop(this->handle);
}

} // namespace samphirebridge::net
