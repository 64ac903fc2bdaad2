#include "samphirebridge/entry/declarationfreshness.h"

#include <algorithm>
#include <chrono>

namespace samphirebridge::entry
{

namespace
{

// Longer than an election and than the interval at which control instances are asked, so that a
// change of leader refuses no request.
constexpr core::Duration ConfirmationLifetime = std::chrono::seconds(5);

} // namespace

void DeclarationFreshness::onConfirmed(uint64_t version, core::TimePoint asOf)
{
    if (version <= this->versionInForce) {
        this->newestAsOf = std::max(this->newestAsOf.value_or(asOf), asOf);
        return;
    }
    if (version == this->awaitedVersion) {
        this->awaitedAsOf = std::max(this->awaitedAsOf, asOf);
    } else if (version > this->awaitedVersion) {
        this->awaitedVersion = version;
        this->awaitedAsOf = asOf;
    }
}

void DeclarationFreshness::onInForce(uint64_t version)
{
    this->versionInForce = std::max(this->versionInForce, version);
    if (this->awaitedVersion > 0 && this->awaitedVersion <= this->versionInForce) {
        this->newestAsOf
            = std::max(this->newestAsOf.value_or(this->awaitedAsOf), this->awaitedAsOf);
        this->awaitedVersion = 0;
    }
}

bool DeclarationFreshness::mayBeOld(core::TimePoint now) const
{
    return !this->newestAsOf || now - *this->newestAsOf >= ConfirmationLifetime;
}

} // namespace samphirebridge::entry
