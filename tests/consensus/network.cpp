#include "network.h"

#include <algorithm>
#include <chrono>

namespace samphirebridge::consensus::tests
{

namespace
{

using namespace std::chrono_literals;

constexpr core::Duration MaximumLatency = 3ms;
constexpr core::Duration MaximumDelay = 400ms;

} // namespace

Network::Network(NetworkSettings settings, uint64_t seed)
    : settings(settings)
    , random(seed)
{
}

bool Network::withProbability(unsigned perMille)
{
    return this->random() % 1000 < perMille;
}

void Network::post(const proto::RaftMessage &message, core::TimePoint now)
{
    if (this->blockedLinks.contains({message.from(), message.to()})
        || this->withProbability(this->settings.dropped)) {
        return;
    }
    const unsigned copies = this->withProbability(this->settings.duplicated) ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        const core::Duration maximum
            = this->withProbability(this->settings.delayed) ? MaximumDelay : MaximumLatency;
        const auto delay = static_cast<int64_t>(this->random() % maximum.count());
        this->inFlight.push_back({
            .arrival = now + core::Duration(delay),
            .order = this->nextOrder++,
            .message = message,
        });
    }
}

std::vector<proto::RaftMessage> Network::takeArrived(core::TimePoint now)
{
    std::sort(this->inFlight.begin(),
              this->inFlight.end(),
              [](const InFlightMessage &left, const InFlightMessage &right) {
                  return std::pair(left.arrival, left.order)
                         < std::pair(right.arrival, right.order);
              });
    std::vector<proto::RaftMessage> due;
    size_t dueCount = 0;
    while (dueCount < this->inFlight.size() && this->inFlight[dueCount].arrival <= now) {
        due.push_back(std::move(this->inFlight[dueCount].message));
        ++dueCount;
    }
    this->inFlight.erase(this->inFlight.begin(),
                         this->inFlight.begin() + static_cast<int64_t>(dueCount));
    return due;
}

void Network::block(const std::string &from, const std::string &to)
{
    this->blockedLinks.emplace(from, to);
}

void Network::heal()
{
    this->blockedLinks.clear();
}

void Network::stopFaults()
{
    this->heal();
    this->inFlight.clear();
    this->settings = {.dropped = 0, .duplicated = 0, .delayed = 0};
}

} // namespace samphirebridge::consensus::tests
