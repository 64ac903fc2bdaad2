#include "samphirebridge/routing/coldslots.h"

#include <algorithm>
#include <cstddef>

namespace samphirebridge::routing
{

void ColdSlots::take(Ticket ticket)
{
    this->unsent.insert(ticket);
}

void ColdSlots::onSent(Ticket ticket, size_t limit, core::TimePoint now)
{
    if (this->unsent.erase(ticket) == 0) {
        return;
    }
    this->sent.insert(std::upper_bound(this->sent.begin(), this->sent.end(), now), now);
    while (this->sent.size() > limit) {
        this->sent.pop_front();
    }
}

void ColdSlots::release(Ticket ticket)
{
    this->unsent.erase(ticket);
}

void ColdSlots::clear()
{
    this->unsent.clear();
    this->sent.clear();
}

bool ColdSlots::hasFree(const ColdShare &share, core::TimePoint now) const
{
    return this->used(share.interval, now) < share.requests;
}

core::TimePoint ColdSlots::nextFree(const ColdShare &share, core::TimePoint now) const
{
    const size_t inUse = this->used(share.interval, now);
    if (inUse < share.requests) {
        return now;
    }
    const size_t excess = inUse - share.requests; // Slots to be freed before the one in question.
    const size_t sentInUse = inUse - this->unsent.size();
    if (excess >= sentInUse) {
        return now + share.interval;
    }
    return this->sent[this->sent.size() - sentInUse + excess] + share.interval;
}

size_t ColdSlots::used(core::Duration interval, core::TimePoint now) const
{
    const auto first = std::upper_bound(this->sent.begin(), this->sent.end(), now - interval);
    return this->unsent.size() + static_cast<size_t>(this->sent.end() - first);
}

} // namespace samphirebridge::routing
