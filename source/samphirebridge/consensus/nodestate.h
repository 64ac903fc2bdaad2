// What the parts of a Raft node share: its term, log, members, role and outgoing messages.
#pragma once

#include "samphirebridge/consensus/electiontimer.h"
#include "samphirebridge/consensus/memberhistory.h"
#include "samphirebridge/consensus/raftlog.h"
#include "samphirebridge/consensus/raftsettings.h"
#include "samphirebridge/consensus/role.h"
#include "samphirebridge/core/time.h"

#include "consensus.pb.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::consensus
{

// The state of one member; the parts that act on it are Election, FollowerSide and Leadership.
struct NodeState {
    RaftSettings settings;
    proto::HardState hardState;
    bool hardStateChanged = false;
    RaftLog log;
    MemberHistory members;
    ElectionTimer timer;
    core::TimePoint now;
    Role role = Role::Follower;
    std::string leader;
    std::vector<proto::RaftMessage> outbox;

    NodeState(RaftSettings settings, RestoredState restored, core::TimePoint now);

    [[nodiscard]] uint64_t term() const
    {
        return this->hardState.term();
    }
    [[nodiscard]] const std::string &self() const
    {
        return this->settings.member;
    }
    // Tells whether this member has a vote in the latest configuration.
    [[nodiscard]] bool hasVote() const;
    // Tells whether a leader, this node included, may not be deposed now.
    [[nodiscard]] bool hasFreshLeader() const;

    // Adds a message of the present term to the outbox.
    proto::RaftMessage &send(std::string_view to);
    // Enters a higher term without a vote.
    void enterTerm(uint64_t term);
    void voteFor(std::string_view member);
    // Becomes a follower in the present term. An empty leader is an unknown one.
    void follow(std::string_view newLeader);
    // Appends an entry of the present term and returns its index.
    uint64_t append(proto::EntryKind kind, std::string_view data);
    // Takes a leader's entries; configurations follow the log.
    void merge(std::span<const proto::LogEntry *const> entries);
};

} // namespace samphirebridge::consensus
