// The choice of a target for each attempt, from load reports that are late and from what this
// instance did since. The router reads no clock and draws its randomness from the engine given.
//
// Host's use: choose; then onSent when the first byte may have left; onFirstToken; and exactly one
// of onFinished, onFailed and onCancelled. A ticket that is unknown or ended is ignored.
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
    // Self is this instance's id. All calls are those of Dispatcher.
    Router(core::InstanceId self, RoutingOptions options, Random random)
        : Dispatcher(std::move(self), std::move(options), [this] { return this->draw(); })
        , random(std::move(random))
    {
    }

private:
    uint64_t draw()
    {
        return std::uniform_int_distribution<uint64_t>()(this->random);
    }

    Random random;
};

} // namespace samphirebridge::routing
