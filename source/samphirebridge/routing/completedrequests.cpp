#include "samphirebridge/routing/completedrequests.h"

#include "samphirebridge/core/digest.h"

#include <utility>

namespace samphirebridge::routing
{

CompletedRequests::CompletedRequests(core::Duration lifetime, size_t limit)
    : lifetime(lifetime)
    , limit(limit)
{
}

void CompletedRequests::add(std::string_view fingerprint, core::TimePoint now)
{
    if (this->current.size() >= this->limit) {
        this->startGeneration(now);
    }
    this->current.insert(core::checksumOf(fingerprint));
}

bool CompletedRequests::contains(std::string_view fingerprint) const
{
    const uint64_t checksum = core::checksumOf(fingerprint);
    return this->current.contains(checksum) || this->previous.contains(checksum);
}

void CompletedRequests::tick(core::TimePoint now)
{
    if (now - this->startedAt >= this->lifetime) {
        this->startGeneration(now);
    }
}

void CompletedRequests::startGeneration(core::TimePoint now)
{
    this->previous = std::exchange(this->current, {});
    this->startedAt = now;
}

} // namespace samphirebridge::routing
