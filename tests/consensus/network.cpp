#include "network.h"

#include <algorithm>
#include <chrono>

namespace samphirebridge::consensus::tests
{

namespace
{

using namespace std::chrono_literals;

constexpr core::Duration UsualLatency = 3ms;
constexpr core::Duration LongestDelay = 400ms;

} // namespace

Network::Network(NetworkSettings settings, uint64_t seed)
    : settings(settings)
    , random(seed)
{
}

bool Network::chance(unsigned perMille)
{
    return this->random() % 1000 < perMille;
}

void Network::post(const proto::RaftMessage &message, core::TimePoint now)
{
    if (this->blocked.contains({message.from(), message.to()})
        || this->chance(this->settings.dropped)) {
        return;
    }
    const unsigned copies = this->chance(this->settings.duplicated) ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        const core::Duration longest
            = this->chance(this->settings.delayed) ? LongestDelay : UsualLatency;
        const auto delay = static_cast<int64_t>(this->random() % longest.count());
        this->flying.push_back({
            .arrival = now + core::Duration(delay),
            .order = this->messageCount++,
            .message = message,
        });
    }
}

std::vector<proto::RaftMessage> Network::arrived(core::TimePoint now)
{
    std::sort(
        this->flying.begin(), this->flying.end(), [](const Flying &left, const Flying &right) {
            return std::pair(left.arrival, left.order) < std::pair(right.arrival, right.order);
        });
    std::vector<proto::RaftMessage> due;
    size_t count = 0;
    while (count < this->flying.size() && this->flying[count].arrival <= now) {
        due.push_back(std::move(this->flying[count].message));
        ++count;
    }
    this->flying.erase(this->flying.begin(), this->flying.begin() + static_cast<int64_t>(count));
    return due;
}

void Network::cut(const std::string &from, const std::string &to)
{
    this->blocked.emplace(from, to);
}

void Network::heal()
{
    this->blocked.clear();
}

void Network::becomeSound()
{
    this->heal();
    this->flying.clear();
    this->settings = {.dropped = 0, .duplicated = 0, .delayed = 0};
}

} // namespace samphirebridge::consensus::tests
