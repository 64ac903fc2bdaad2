// What one target is expected to make a new request wait, from its last report, which is old, and
// from what this instance sent to it and saw ended since.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/routingoptions.h"

namespace samphirebridge::routing
{

class LoadEstimator
{
public:
    explicit LoadEstimator(const LoadOptions &options);

    // Takes a report; what was sent before it is contained in it.
    void onReport(const proto::TargetLoad &load);

    // An attempt goes out whose prompt has so many tokens that the target must read.
    void onSent(uint32_t uncachedTokens);

    // Its first token came after so long, when so much of a wait was expected for a place.
    void onFirstToken(uint32_t uncachedTokens, core::Duration took, core::Duration expectedWait);

    // It ended. Served is the time that it held its place, zero if it told nothing. Unread is the
    // part of its prompt that no first token was seen for.
    void onEnd(core::Duration served, uint32_t unreadTokens);

    // The expected wait for a place.
    [[nodiscard]] core::Duration wait() const;

    // The expected time to the first token of a prompt with so many tokens to read.
    [[nodiscard]] core::Duration firstToken(uint32_t uncachedTokens) const;

    // Requests on the target, as estimated, for each place that it has.
    [[nodiscard]] double utilisation() const;

    // Attempts of this instance under way there.
    [[nodiscard]] uint32_t ownInFlight() const
    {
        return this->inFlight;
    }

    // Requests on the target, as estimated, of all instances.
    [[nodiscard]] double occupancy() const;

    // How fast one place becomes free, in places per second.
    [[nodiscard]] double departuresPerSecond() const;

private:
    [[nodiscard]] double capacity() const;

    const LoadOptions *options;
    uint32_t reportedCapacity = 0;
    double reportedTotal = 0;
    int64_t sentSince = 0; // Sends minus ends since the report.
    uint32_t inFlight = 0;
    uint64_t unreadTokens = 0; // Prompt tokens sent whose first token did not come yet.
    double observedTokens; // Prompt tokens read in observedSeconds, older ones weighing less.
    double observedSeconds;
    double serviceSeconds;
};

} // namespace samphirebridge::routing
