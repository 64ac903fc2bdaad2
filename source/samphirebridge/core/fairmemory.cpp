#include "samphirebridge/core/fairmemory.h"

namespace samphirebridge::core
{

FairMemory::FairMemory(size_t capacityBytes)
    : capacity(capacityBytes)
{
}

bool FairMemory::mayHold(size_t held, size_t more, size_t queued) const
{
    if (held + more <= GuaranteedBytes) {
        return true;
    }
    const size_t used = this->total + queued + more;
    return used < this->capacity && held + more <= this->capacity - used;
}

void FairMemory::add(size_t bytes)
{
    this->total += bytes;
}

void FairMemory::remove(size_t bytes)
{
    this->total -= bytes;
}

size_t FairMemory::heldBytes() const
{
    return this->total;
}

} // namespace samphirebridge::core
