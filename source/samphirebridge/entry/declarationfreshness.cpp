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

void DeclarationFreshness::onConfirmed(uint64_t revision, core::TimePoint asOf)
{
    if (revision <= this->revisionInForce) {
        this->newestAsOf = std::max(this->newestAsOf.value_or(asOf), asOf);
        return;
    }
    if (revision == this->awaitedRevision) {
        this->awaitedAsOf = std::max(this->awaitedAsOf, asOf);
    } else if (revision > this->awaitedRevision) {
        this->awaitedRevision = revision;
        this->awaitedAsOf = asOf;
    }
}

void DeclarationFreshness::onInForce(uint64_t revision)
{
    this->revisionInForce = std::max(this->revisionInForce, revision);
    if (this->awaitedRevision > 0 && this->awaitedRevision <= this->revisionInForce) {
        this->newestAsOf
            = std::max(this->newestAsOf.value_or(this->awaitedAsOf), this->awaitedAsOf);
        this->awaitedRevision = 0;
    }
}

bool DeclarationFreshness::mayBeOld(core::TimePoint now) const
{
    return !this->newestAsOf || now - *this->newestAsOf >= ConfirmationLifetime;
}

} // namespace samphirebridge::entry
