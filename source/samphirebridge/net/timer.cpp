#include "samphirebridge/net/timer.h"

#include <uv.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphirebridge::net
{

Timer::Timer(EventLoop &eventLoop, std::function<void()> function)
    : loop(eventLoop)
    , handle(new uv_timer_t)
    , onFire(std::move(function))
{
    uv_timer_init(this->loop.handle(), this->handle);
    this->handle->data = this;
}

Timer::~Timer()
{
    this->loop.dropDue(*this);
    this->handle->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(this->handle),
             [](uv_handle_t *closed) { delete reinterpret_cast<uv_timer_t *>(closed); });
}

void Timer::start(core::Duration delay)
{
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
    this->loop.dropDue(*this);
    uv_update_time(this->handle->loop);
    uv_timer_start(
        this->handle,
        [](uv_timer_t *fired) {
            auto *timer = static_cast<Timer *>(fired->data);
            if (timer != nullptr) {
                timer->loop.fireAfterSockets(*timer);
            }
        },
        static_cast<uint64_t>(std::max<int64_t>(millis, 0)),
        0);
}

void Timer::stop()
{
    this->loop.dropDue(*this);
    uv_timer_stop(this->handle);
}

void Timer::fire() const
{
    // A copy, since the callback may destroy the timer.
    const std::function<void()> function = this->onFire;
    function();
}

} // namespace samphirebridge::net
