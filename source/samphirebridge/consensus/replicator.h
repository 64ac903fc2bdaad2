// Sending a leader's log to its followers, and counting what the quorum answered.
#pragma once

#include "samphirebridge/consensus/nodestate.h"
#include "samphirebridge/consensus/progress.h"

#include "consensus.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace samphirebridge::consensus
{

// The followers of one leadership. Messages go to the outbox of the state.
class Replicator
{
public:
    explicit Replicator(NodeState &state);

    // Follows the latest configuration: new members are probed, removed ones forgotten.
    void reconfigure();
    // Has every follower get a message by the next send().
    void requestBroadcast();
    // As requestBroadcast(), and lets go what was not answered in time.
    void heartbeat();
    // Sends what each follower may get. `round` is echoed by their answers.
    void send(uint64_t round);

    // Take an answer. False if it is not from a follower.
    bool handleAppendReply(const proto::RaftMessage &message);
    bool handleSnapshotReply(const proto::RaftMessage &message);

    // Returns nullptr for others than followers.
    [[nodiscard]] const Progress *find(std::string_view member) const;
    // The highest index, round and time that a quorum of the voters reached; this node counts
    // with `own` values if it has a vote.
    [[nodiscard]] uint64_t quorumMatch(uint64_t own) const;
    [[nodiscard]] uint64_t quorumRound(uint64_t own) const;
    [[nodiscard]] core::TimePoint quorumHeard(core::TimePoint own) const;
    // Returns the other voter that stores most, or an empty string.
    [[nodiscard]] std::string mostAdvancedVoter() const;

private:
    struct Follower {
        Progress progress;
        bool messageDue = false;
        core::TimePoint waitingSince;
    };

    void sendTo(const std::string &member, Follower &follower, uint64_t round);
    bool sendEntries(const std::string &member, Follower &follower, uint64_t round);
    void sendChunk(const std::string &member, Follower &follower);
    void sendEmpty(const std::string &member, const Follower &follower, uint64_t round);
    proto::AppendRequest &startAppend(const std::string &member, uint64_t previous, uint64_t round);
    [[nodiscard]] bool isReachable(const Follower &follower) const;
    template <typename Value>
    [[nodiscard]] Value quorumValue(Value own, Value (Progress::*value)() const) const;

    NodeState &state;
    std::map<std::string, Follower, std::less<>> followers;
};

} // namespace samphirebridge::consensus
