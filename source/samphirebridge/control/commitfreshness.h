// Tells how recently a control instance is known to have applied everything that was committed.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/core/time.h"

#include <cstdint>
#include <optional>

namespace samphirebridge::control
{

// A follower that is cut off from the leader, frozen, or whose disk is full goes on answering with
// what it has applied; this tells how old that may be. Not thread-safe.
class CommitFreshness
{
public:
    // Notes that the leader had committed the entries up to the index, and that a majority had
    // confirmed it as the leader, at the time.
    void onCommitted(uint64_t commitIndex, core::TimePoint at);

    // Notes that the entries up to the index are applied here.
    void onApplied(uint64_t appliedIndex);

    // Returns how long ago everything that was committed by then was known to be applied here, or
    // nothing if that was never known.
    [[nodiscard]] std::optional<core::Duration> age(core::TimePoint now) const;

    // Sets in a reply that names the newest applied version how recently nothing newer was
    // committed.
    void confirm(proto::FetchDeclarationReply &reply, core::TimePoint now) const;

private:
    uint64_t committedIndex = 0; // What onCommitted() has named and is not applied yet.
    std::optional<core::TimePoint> committedAt;
    std::optional<core::TimePoint> freshAt;
};

} // namespace samphirebridge::control
