// What a forwarded request reserves of its organisation's budget, and what it is billed.
//
// The events of a stream tell how many tokens they hold at most. Nothing tells the tokens of any
// other answer, so a caller that has got a part of one is billed the most that the request may
// produce. The bill holds the prompt, once, and what the caller has got; it never exceeds the
// reservation.
#pragma once

#include "samphirebridge/core/tokens.h"

#include <cstdint>

namespace samphirebridge::forwarding
{

class TokenBill
{
public:
    // `maximumOutputTokens`: the most that the request may produce. `tokensPerEvent`: the most in
    // one event of a stream.
    TokenBill(uint32_t promptTokens, uint32_t maximumOutputTokens, uint32_t tokensPerEvent);

    // Returns an upper bound of the bill.
    [[nodiscard]] core::Tokens reservation() const;

    // The caller has got that many events of a stream, over all attempts.
    void onEvents(uint64_t relayedEvents);

    // The caller gets a part of an answer, or all of it, whose tokens can't be counted.
    void onUncountedPart();

    // The caller has got a whole answer, which may be empty.
    void onWholeAnswer();

    // Returns an upper bound of the output tokens in the events that the caller has got.
    [[nodiscard]] int64_t eventTokens() const;

    // Returns the bill if the request ends now: nothing for a caller that has got nothing. What a
    // target may have done for it is the fleet's cost, as with every repeated attempt.
    [[nodiscard]] core::Tokens billed() const;

private:
    int64_t promptTokens;
    int64_t maximumOutputTokens;
    int64_t tokensPerEvent;
    uint64_t events = 0;
    bool hasUncountedPart = false;
    bool isWhole = false;
};

} // namespace samphirebridge::forwarding
