// What a forwarded request reserves of its organisation's budget, and what it is billed.
//
// The events of a stream tell how many tokens they hold at most. Nothing tells the tokens of any
// other answer, so a caller that has got a part of one is billed the most that the request may
// produce. The bill holds the prompt, once, and what the caller has got; it never exceeds the
// reservation. A target may send more events than the maximum allows: they are covered by a further
// reservation, or not relayed.
#pragma once

#include "samphirebridge/core/tokens.h"

#include <cstdint>

namespace samphirebridge::forwarding
{

class TokenBill
{
public:
    // `maximumOutputTokens`: the most that the request may produce. `tokensPerEvent`: the most in
    // one event of a stream; 0 if that is not known, so that events can't be counted.
    TokenBill(uint32_t promptTokens, uint32_t maximumOutputTokens, uint32_t tokensPerEvent);

    // Returns the tokens to reserve before the request is sent, with those reserved since.
    [[nodiscard]] core::Tokens reservation() const;

    // Returns how many tokens more the events that the caller has or is to get may hold than are
    // reserved. The last event of a stream may be shorter than the others.
    [[nodiscard]] core::Tokens missing() const;

    // Further tokens were reserved.
    void onExtended(core::Tokens tokens);

    // The caller has got, or is to get, that many events of a stream, over all attempts.
    void onEvents(uint64_t relayedEvents);

    // The caller gets a part of an answer, or all of it, whose tokens can't be counted.
    void onUncountedPart();

    // The caller has got a whole answer, which may be empty.
    void onWholeAnswer();

    // Returns the most output tokens in the events that the caller has got, at least one each.
    [[nodiscard]] int64_t eventTokens() const;

    // Returns the most output tokens in that many events, at least one each.
    [[nodiscard]] core::Tokens tokensOf(int64_t eventCount) const
    {
        return core::Tokens{eventCount * this->tokensPerEvent};
    }

    // Returns the bill if the request ends now: nothing for a caller that has got nothing. What a
    // target may have done for it is the fleet's cost, as with every repeated attempt.
    [[nodiscard]] core::Tokens billed() const;

private:
    int64_t promptTokens;
    int64_t maximumOutputTokens;
    int64_t tokensPerEvent;
    bool isEventSizeKnown;
    int64_t extension = 0; // Reserved beyond the maximum.
    uint64_t events = 0;
    bool hasUncountedPart = false;
    bool isWhole = false;
};

} // namespace samphirebridge::forwarding
