// A simulated network that drops, duplicates, delays and reorders messages at random from a seed.
#pragma once

#include "samphirebridge/core/time.h"

#include "consensus.pb.h"

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace samphirebridge::consensus::tests
{

// The share of messages with each fault, in per mille.
struct NetworkSettings {
    unsigned dropped = 20;
    unsigned duplicated = 20;
    unsigned delayed = 100;
};

// The messages in flight between members. A blocked link drops the messages posted in one
// direction.
class Network
{
public:
    Network(NetworkSettings settings, uint64_t seed);

    // Sends a message, which may be dropped, duplicated or delayed.
    void post(const proto::RaftMessage &message, core::TimePoint now);
    // Moves out the messages that have arrived by `now`, in the order of arrival.
    std::vector<proto::RaftMessage> takeArrived(core::TimePoint now);
    // Drops the messages posted from `from` to `to` until heal().
    void block(const std::string &from, const std::string &to);
    void heal();
    // Drops all messages in flight, heals, and delivers without faults from here on.
    void stopFaults();

private:
    struct InFlightMessage {
        core::TimePoint arrival;
        uint64_t order = 0;
        proto::RaftMessage message;
    };

    bool withProbability(unsigned perMille);

    NetworkSettings settings;
    std::mt19937_64 random;
    std::vector<InFlightMessage> inFlight;
    std::set<std::pair<std::string, std::string>> blockedLinks;
    uint64_t nextOrder = 0;
};

} // namespace samphirebridge::consensus::tests
