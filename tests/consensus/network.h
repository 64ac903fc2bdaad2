// A network that loses, repeats, delays and reorders messages, all from a seed.
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

// How often messages suffer, in per mille.
struct NetworkSettings {
    unsigned dropped = 20;
    unsigned duplicated = 20;
    unsigned delayed = 100;
};

// Messages under way between members. A pair that is cut loses what is posted, in one direction.
class Network
{
public:
    Network(NetworkSettings settings, uint64_t seed);

    void post(const proto::RaftMessage &message, core::TimePoint now);
    // Takes out what has arrived, in the order of arrival.
    std::vector<proto::RaftMessage> arrived(core::TimePoint now);
    void cut(const std::string &from, const std::string &to);
    void heal();
    // Loses everything under way, heals, and delivers faithfully from here on.
    void becomeSound();

private:
    struct Flying {
        core::TimePoint arrival;
        uint64_t order = 0;
        proto::RaftMessage message;
    };

    bool chance(unsigned perMille);

    NetworkSettings settings;
    std::mt19937_64 random;
    std::vector<Flying> flying;
    std::set<std::pair<std::string, std::string>> blocked;
    uint64_t messageCount = 0;
};

} // namespace samphirebridge::consensus::tests
