// What one target is expected to make a new request wait, from its last report, which is old, and
// from what this instance sent to it and saw ended since.
#pragma once

#include "membership.pb.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/routingoptions.h"

namespace samphirebridge::routing
{

// What the targets of one model have in common.
struct FleetLoad {
    double foreignUtilisation = 0; // Other instances' requests for each place, on average.
    double outputTokens = 0; // Of one answer, on average.
};

class LoadEstimator
{
public:
    explicit LoadEstimator(const LoadOptions &options);

    // Takes a report; what this instance has under way is contained in it.
    void onReport(const proto::TargetLoad &load, core::TimePoint now);

    // Lets what is believed of other instances' requests drift towards that of all targets by as
    // much as the report has aged since the last call, and takes over the length of answers.
    void age(const FleetLoad &fleet, core::TimePoint now);

    // The running mean of the answers' tokens here.
    [[nodiscard]] double outputTokens() const
    {
        return this->ownOutputTokens;
    }

    // What other instances are believed to run there, in requests for each place.
    [[nodiscard]] double foreignUtilisation() const
    {
        return this->foreign / this->capacity();
    }

    // An attempt goes out whose prompt has so many tokens that the target must read.
    void onSent(uint32_t uncachedTokens);

    // Its first token came after so long, when so much of a wait was expected for a place.
    void onFirstToken(uint32_t uncachedTokens, core::Duration took, core::Duration expectedWait);

    // It ended. Unread is the part of its prompt that no first token was seen for.
    void onEnd(uint32_t unreadTokens);

    // Its answer was whole, and held its place for so long after the first token.
    void onServed(uint32_t outputTokens, core::Duration served);

    // The expected wait for a place.
    [[nodiscard]] core::Duration wait() const;

    // The expected time to the first token of a prompt with so many tokens to read.
    [[nodiscard]] core::Duration firstToken(uint32_t uncachedTokens) const;

    // The same as a cost to compare targets by: it rises already before the target is full, since
    // the estimate is unsure. Seconds.
    [[nodiscard]] double cost(uint32_t uncachedTokens) const;

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
    [[nodiscard]] double readSeconds(uint32_t uncachedTokens) const;

    const LoadOptions *options;
    uint32_t reportedCapacity = 0;
    double foreign = 0; // Requests of other instances.
    core::TimePoint agedAt;
    uint32_t inFlight = 0;
    uint64_t unreadTokens = 0; // Prompt tokens sent whose first token did not come yet.
    double observedTokens; // Prompt tokens read in observedSeconds, older ones weighing less.
    double observedSeconds;
    double ownOutputTokens;
    double fleetOutputTokens; // What the targets differ in is their speed, not what they are asked.
    double servedTokens; // Tokens generated in servedSeconds, older ones weighing less.
    double servedSeconds;
};

} // namespace samphirebridge::routing
