#include "samphirebridge/forwarding/tokenbill.h"

#include <algorithm>

namespace samphirebridge::forwarding
{

TokenBill::TokenBill(uint32_t promptTokens, uint32_t maximumOutputTokens, uint32_t tokensPerEvent)
    : promptTokens(promptTokens)
    , maximumOutputTokens(maximumOutputTokens)
    , tokensPerEvent(std::max(tokensPerEvent, 1U))
    , isEventSizeKnown(tokensPerEvent > 0)
{
}

core::Tokens TokenBill::reservation() const
{
    return core::Tokens{this->promptTokens + this->maximumOutputTokens + this->extension};
}

core::Tokens TokenBill::missing() const
{
    const int64_t wholeEvents
        = (this->maximumOutputTokens + this->tokensPerEvent - 1) / this->tokensPerEvent;
    const int64_t covered = wholeEvents * this->tokensPerEvent + this->extension;
    return core::Tokens{std::max<int64_t>(this->eventTokens() - covered, 0)};
}

void TokenBill::onExtended(core::Tokens tokens)
{
    this->extension += tokens.count;
}

void TokenBill::onEvents(uint64_t relayedEvents)
{
    this->events = relayedEvents;
    this->hasUncountedPart
        = this->hasUncountedPart || (!this->isEventSizeKnown && this->events > 0);
}

void TokenBill::onUncountedPart()
{
    this->hasUncountedPart = true;
}

void TokenBill::onWholeAnswer()
{
    this->isWhole = true;
}

int64_t TokenBill::eventTokens() const
{
    return static_cast<int64_t>(this->events) * this->tokensPerEvent;
}

core::Tokens TokenBill::billed() const
{
    if (this->hasUncountedPart) {
        return this->reservation();
    }
    if (this->events == 0 && !this->isWhole) {
        return core::Tokens{0};
    }
    return core::Tokens{
        this->promptTokens
        + std::min(this->eventTokens(), this->maximumOutputTokens + this->extension)};
}

} // namespace samphirebridge::forwarding
