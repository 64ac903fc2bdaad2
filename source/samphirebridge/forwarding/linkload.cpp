#include "samphirebridge/forwarding/linkload.h"

#include <algorithm>

namespace samphirebridge::forwarding
{

namespace
{

// The utilisation at which the link becomes busy. The balancer takes up to two seconds to react,
// and the requests of that time and the answers under way still have to pass the link without a
// queue. At 0.4, instances gave away connections that they could carry to others with smaller
// links.
constexpr double BusyUtilisation = 0.6;

// The utilisation below which the link is no longer busy.
constexpr double CalmUtilisation = 0.3;

// Two checks in a row, a second apart, find a link busy whose load comes in bursts.
constexpr core::Duration MinimumBusyTime = std::chrono::seconds(2);

} // namespace

LinkLoad::LinkLoad(double linkBytesPerSecond)
    : bytesPerSecond(linkBytesPerSecond)
{
}

void LinkLoad::onTraffic(uint64_t receivedBytes, uint64_t sentBytes, core::TimePoint now)
{
    this->newest = (this->newest + 1) % this->samples.size();
    this->samples[this->newest] = {now, receivedBytes, sentBytes};
    this->sampleCount = std::min(this->sampleCount + 1, this->samples.size());
}

bool LinkLoad::isBusy(core::TimePoint now)
{
    if (!this->busySince && this->utilisation() >= BusyUtilisation) {
        this->busySince = now;
    } else if (this->busySince && this->utilisation() < CalmUtilisation
               && now - *this->busySince >= MinimumBusyTime) {
        this->busySince.reset();
    }
    return this->busySince.has_value();
}

double LinkLoad::utilisation() const
{
    if (this->bytesPerSecond <= 0 || this->sampleCount < this->samples.size()) {
        return 0;
    }
    const Sample &last = this->samples[this->newest];
    const Sample &first = this->samples[(this->newest + 1) % this->samples.size()];
    const double seconds = std::chrono::duration<double>(last.at - first.at).count();
    const uint64_t bytes
        = std::max(last.receivedBytes - first.receivedBytes, last.sentBytes - first.sentBytes);
    return static_cast<double>(bytes) / (this->bytesPerSecond * seconds);
}

} // namespace samphirebridge::forwarding
