#include "samphirebridge/membership/targetentry.h"

#include <algorithm>
#include <chrono>

namespace samphirebridge::membership
{

proto::TargetRecord recordAt(const TargetEntry &entry, core::TimePoint now)
{
    proto::TargetRecord record = entry.record;
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(entry.coldUntil - now);
    if (remaining.count() > 0) {
        record.mutable_load()->set_cold_remaining_ms(static_cast<uint32_t>(remaining.count()));
    } else if (record.has_load()) {
        record.mutable_load()->clear_cold_remaining_ms();
    }
    return record;
}

} // namespace samphirebridge::membership
