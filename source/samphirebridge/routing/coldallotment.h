// The part of a cold target's limit that this instance may use. Each instance computes it from its
// own list of the entry instances, so no messages are needed: if every instance that uses an
// allotment lists all others that do, the sum never exceeds the limit, whichever further instances
// each of them lists. docs/design/0011-cold-targets.md gives the proof.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace samphirebridge::routing
{

// At most so many requests in any period of that length.
struct ColdShare {
    uint32_t requests = 0;
    core::Duration interval = std::chrono::seconds(1);
};

class ColdAllotment
{
public:
    explicit ColdAllotment(const core::InstanceId &self);

    // Sets the entry instances that are counted, in any order. Without this one among them it has
    // no share. Returns whether they changed.
    bool setMembers(std::span<const core::InstanceId> members);

    // Sets whether this instance may use its shares. The permission lapses when it has not been
    // repeated for PermissionLifetime, because the process was suspended meanwhile. `part` is the
    // fraction of each limit that is divided among the members.
    void setPermitted(bool isPermitted, core::TimePoint now, double part = 1);

    // Tells whether a share with that interval may be used. After a start, no request that an
    // earlier process sent may still count, so a longer interval than a second is waited for first.
    [[nodiscard]] bool isUsable(core::Duration interval, core::TimePoint now) const;

    // Returns the share of this instance in a target that can handle `perSecond` requests, which
    // must be above 0. Does not consider isUsable.
    [[nodiscard]] ColdShare
    shareOf(std::string_view target, core::Incarnation incarnation, double perSecond) const;

    // Rises with each change of the members or of the permission.
    [[nodiscard]] uint64_t version() const
    {
        return this->changes;
    }

    // How long a permission holds.
    static constexpr core::Duration PermissionLifetime = std::chrono::seconds(1);

private:
    [[nodiscard]] bool isAmongFirst(size_t count, uint64_t key) const;

    uint64_t self;
    std::vector<uint64_t> members; // Checksums of the ids, in ascending order.
    bool isMember = false;
    bool permitted = false;
    double part = 1;
    core::TimePoint permittedSince;
    core::TimePoint confirmedAt;
    uint64_t changes = 1;
};

} // namespace samphirebridge::routing
