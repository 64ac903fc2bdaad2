// Chooses a target for each attempt, from delayed load reports and from this instance's own
// attempts since. It reads no clock and takes its randomness from the given engine, so that tests
// can reproduce every choice.
//
// The host calls choose for each attempt; then onSent when the first byte may have been sent;
// onFirstToken; and exactly one of onFinished, onFailed and onCancelled. Calls with a ticket that
// is unknown or ended are ignored.
#pragma once

#include "samphirebridge/routing/dispatcher.h"

#include <random>
#include <utility>

namespace samphirebridge::routing
{

template <std::uniform_random_bit_generator Random>
class Router : public Dispatcher
{
public:
    // self is the id of this instance; the calls are documented in Dispatcher.
    Router(const core::InstanceId &self, RoutingOptions options, Random random)
        : Dispatcher(self, std::move(options), [this] { return this->drawRandom(); })
        , random(std::move(random))
    {
    }

private:
    uint64_t drawRandom()
    {
        return std::uniform_int_distribution<uint64_t>()(this->random);
    }

    Random random;
};

} // namespace samphirebridge::routing
