#include "samphirebridge/forwarding/answermemory.h"

namespace samphirebridge::forwarding
{

AnswerMemory::AnswerMemory(size_t capacityBytes)
    : capacity(capacityBytes)
{
}

bool AnswerMemory::mayHold(size_t held, size_t more, size_t queued) const
{
    if (held + more <= GuaranteedBytes) {
        return true;
    }
    const size_t used = this->total + queued + more;
    return used < this->capacity && held + more <= this->capacity - used;
}

void AnswerMemory::add(size_t bytes)
{
    this->total += bytes;
}

void AnswerMemory::remove(size_t bytes)
{
    this->total -= bytes;
}

size_t AnswerMemory::heldBytes() const
{
    return this->total;
}

} // namespace samphirebridge::forwarding
