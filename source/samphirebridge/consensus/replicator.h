// Sends a leader's log to its followers and computes what a quorum has acknowledged.
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

// The followers of one leadership. Messages are added to the outbox of the node's state.
class Replicator
{
public:
    explicit Replicator(NodeState &state);

    // Adopts the latest configuration: starts to probe new members and forgets removed ones.
    void reconfigure();
    // Makes the next sendDue() send every follower at least one message.
    void requestBroadcast();
    // As requestBroadcast(). Also allows probes and snapshot chunks that were not answered in time
    // to be sent again, and returns to probing for followers that were not heard from.
    void heartbeat();
    // Sends each follower the entries or the snapshot chunk that may be sent to it, or an empty
    // append if one is due. Appends carry `round` as the read round.
    void sendDue(uint64_t round);

    // Record a reply. False if it does not come from a follower in the configuration.
    bool handleAppendReply(const proto::RaftMessage &message);
    bool handleSnapshotReply(const proto::RaftMessage &message);

    // Returns the progress of a follower, or nullptr if `member` is none.
    [[nodiscard]] const Progress *find(std::string_view member) const;
    // Return the highest value that a quorum of voters has reached: of the match index, of the
    // echoed read round, and of the time when they were last heard. `own` is this node's value, if
    // it votes.
    [[nodiscard]] uint64_t quorumMatch(uint64_t own) const;
    [[nodiscard]] uint64_t quorumRound(uint64_t own) const;
    [[nodiscard]] core::TimePoint quorumHeard(core::TimePoint own) const;
    // Returns the other voter with the highest match index, or an empty string if there is none.
    [[nodiscard]] std::string mostAdvancedVoter() const;

private:
    struct Follower {
        Progress progress;
        bool isMessageDue = false;
        core::TimePoint lastSentAt; // When entries or a snapshot chunk were last sent.
    };

    void sendTo(const std::string &member, Follower &follower, uint64_t round);
    bool sendEntries(const std::string &member, Follower &follower, uint64_t round);
    void sendChunk(const std::string &member, Follower &follower);
    void sendEmptyAppend(const std::string &member, const Follower &follower, uint64_t round);
    proto::AppendRequest &queueAppend(const std::string &member, uint64_t previous, uint64_t round);
    [[nodiscard]] bool isReachable(const Follower &follower) const;
    template <typename Value>
    [[nodiscard]] Value quorumValue(Value own, Value (Progress::*getValue)() const) const;

    NodeState &state;
    std::map<std::string, Follower, std::less<>> followers;
};

} // namespace samphirebridge::consensus
