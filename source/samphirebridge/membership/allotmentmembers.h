// The entry instances among which the limit of a cold target is divided, and whether this instance
// may use its part. An instance that knows too few of the others would use too large a part, so it
// uses none while it is starting, isolated or was just suspended; and it stops well before the
// others stop counting it.
#pragma once

#include "samphirebridge/membership/instancedirectory.h"

#include <absl/container/btree_map.h>

#include <optional>
#include <string>
#include <vector>

namespace samphirebridge::membership
{

// Whether this instance may use its shares, or why not.
enum class ShareState : uint8_t {
    Ready,
    Starting, // Its record may not have reached every instance yet.
    Isolated, // Too few voting instances were heard of for too long, or only just now again.
    Suspended, // The process stood still and may have missed changes; it starts again.
    Leaving, // The others no longer count it.
};

class AllotmentMembers
{
public:
    AllotmentMembers(core::InstanceId self, const MembershipOptions &options);

    // Records that the process runs, to notice a suspension. `sinceBoot` is the time of a clock
    // that goes on while the machine is suspended. To be called several times a second.
    void onRunning(core::TimePoint now, core::TimePoint sinceBoot);

    // Brings the members and the state up to date. To be called several times a second, after
    // onRunning.
    void update(const InstanceDirectory &directory, core::TimePoint now);

    // Returns the instances that are counted, this one included if it serves, in ascending order:
    // those that are listed, also out of contact, and those that left within LeavingGrace. A seed
    // that was never heard of counts too, since it may be an entry instance.
    [[nodiscard]] const std::vector<core::InstanceId> &members() const
    {
        return this->counted;
    }

    [[nodiscard]] ShareState state() const
    {
        return this->currentState;
    }

    // Returns the part of each limit that this instance divides among the members. It is
    // NewInstancePart until an instance that was isolated before this one started has given up its
    // share, since neither knows of the other: together they then stay below 1 + NewInstancePart.
    [[nodiscard]] double part() const
    {
        return this->isNew ? NewInstancePart : 1;
    }

    static constexpr double NewInstancePart = 0.5;

    // A leaving instance is counted for this time after its notice, so that the requests that it
    // sent before still count. Longer than the second to which the limit of a target applies.
    static constexpr core::Duration LeavingGrace = std::chrono::seconds(2);

private:
    struct Other {
        bool serves = false;
        bool votes = false;
        std::optional<core::TimePoint> heardAt;
        std::optional<core::TimePoint> leavingSince;
        bool listed = false;
    };

    void updateOthers(const InstanceDirectory &directory, core::TimePoint now);
    void updateOther(const proto::InstanceRecord &record,
                     std::optional<core::TimePoint> heardAt,
                     core::TimePoint now);
    void updateFactor(int64_t current, core::TimePoint now);
    void updateMembers(const proto::InstanceRecord &own, core::TimePoint now);
    // Tells whether more than half of the voting instances were heard of within the limit.
    [[nodiscard]] bool hearsMajority(const proto::InstanceRecord &own,
                                     core::Duration limit,
                                     core::TimePoint now) const;
    void updateState(const proto::InstanceRecord &own, int64_t factor, core::TimePoint now);
    // Withdraws the permission until the instance has settled again.
    void restart(ShareState reason);

    core::InstanceId self;
    MembershipOptions options;
    absl::btree_map<std::string, Other> others;
    std::vector<core::InstanceId> counted;
    // The largest factor of the intervals in the recent past. When the fleet shrinks, an instance
    // that was isolated before uses the old factor still, and is counted for as long.
    int64_t heldFactor = 1;
    core::TimePoint factorHeldAt;
    bool isolated = true; // Until a majority was heard of.
    std::optional<core::TimePoint> settlingSince;
    bool isNew = true;
    ShareState reason = ShareState::Starting; // Of the last restart.
    ShareState currentState = ShareState::Starting;
    std::optional<core::TimePoint> lastRunning;
    core::TimePoint lastSinceBoot;
};

} // namespace samphirebridge::membership
