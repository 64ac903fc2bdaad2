// Decides when a control instance notifies which entry instances of a committed declaration. A
// version here is a revision of the declaration and the evacuations.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/membership/instancedirectory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace samphirebridge::entry
{

// An entry instance in contact that has an older version than this control instance has applied.
struct InstanceLag {
    std::string instance;
    uint64_t heldVersion = 0;
    // The time since this control instance applied the first version that the instance lacks.
    core::Duration age{};
    // The time since it was first seen behind here without a break. Shorter than the age if it has
    // just started, or has just come into contact.
    core::Duration seenFor{};
    size_t rank = 0; // This control instance's turn to notify it; 0: first.
    size_t noticeCount = 0; // Sent since the instance fell behind.
    core::Duration sinceLastNotice{}; // 0 if none was sent.
};

// For each entry instance the control instances in contact take turns, in the order of their
// rendezvous weights: the first notifies it at once, each further one only if the instance has been
// behind for a longer time. That time counts from the first version that the instance lacks, so it
// passes however often the declaration changes. Notices to one instance keep an interval, so their
// number is bounded too. Not thread-safe; does no I/O: the host sends the notices.
class NoticeSchedule
{
public:
    // `self` is the control instance that sends the notices.
    explicit NoticeSchedule(core::InstanceId self);

    // Notes the newest version that this control instance has applied. Older ones are ignored.
    void onApplied(uint64_t version, core::TimePoint now);

    // Returns the instances in contact with an older version to which a notice is due, and counts
    // them as notified.
    std::vector<core::InstanceId> takeDue(std::span<const membership::InstanceView> views,
                                          core::TimePoint now);

    // Returns the newest version that was applied; 0: none.
    [[nodiscard]] uint64_t version() const;

    // Returns when this instance applied it; the default time point if there is none.
    [[nodiscard]] core::TimePoint appliedAt() const;

    // Returns the instances in contact that had an older version at the last takeDue().
    [[nodiscard]] const std::vector<InstanceLag> &lags() const;

private:
    // What was noted of an instance since it was first seen behind.
    struct BehindInstance {
        core::TimePoint seenAt;
        size_t noticeCount = 0;
        core::TimePoint lastNoticeAt;
    };

    // Returns the time since the first version above `heldVersion` was applied here.
    [[nodiscard]] core::Duration lagAge(uint64_t heldVersion, core::TimePoint now) const;
    // Returns how many of the control instances have a higher weight for the instance than this
    // one.
    [[nodiscard]] size_t rankFor(const std::string &instance,
                                 std::span<const uint64_t> controlChecksums) const;
    // Returns whether a notice to the instance is due.
    [[nodiscard]] static bool isNoticeDue(const InstanceLag &lag,
                                          const BehindInstance &instance,
                                          size_t controlInstances,
                                          core::TimePoint now);

    core::InstanceId self;
    std::map<uint64_t, core::TimePoint> recentVersions; // When each was applied.
    std::map<std::string, BehindInstance> behindInstances; // By id.
    std::vector<InstanceLag> currentLags;
};

} // namespace samphirebridge::entry
