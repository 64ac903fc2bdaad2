#include "utilities/standins/slots.h"

namespace samphirebridge::standins
{

Slots::Slots(int64_t capacity)
    : capacity(capacity)
{
}

void Slots::release()
{
    const std::lock_guard lock(this->mutex);
    --this->busy;
    this->queueChanged.notify_all();
}

int64_t Slots::running() const
{
    const std::lock_guard lock(this->mutex);
    return this->busy;
}

int64_t Slots::queued() const
{
    const std::lock_guard lock(this->mutex);
    return static_cast<int64_t>(this->waitingTickets.size());
}

} // namespace samphirebridge::standins
