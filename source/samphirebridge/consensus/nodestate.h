// The state that the parts of a Raft node share: term, log, members, role and outgoing messages.
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

// The state of one member. Election, FollowerSide and Leadership act on it.
struct NodeState {
    RaftSettings settings;
    proto::HardState hardState;
    bool hardStateChanged = false; // Since the last Ready was taken.
    RaftLog log;
    MemberHistory members;
    ElectionTimer timer;
    core::TimePoint now; // The time of the call that is being handled.
    Role role = Role::Follower;
    std::string leader; // Empty if unknown.
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
    // Returns whether this member is a voter in the latest configuration.
    [[nodiscard]] bool hasVote() const;
    // Returns whether this node leads or heard from a leader recently. Other members then get no
    // vote, except in a leadership transfer.
    [[nodiscard]] bool hasActiveLeader() const;

    // Adds a message of the current term to the outbox and returns it to be filled in.
    proto::RaftMessage &queueMessage(std::string_view to);
    // Enters a higher term, in which this node has not voted and knows no leader's message.
    void enterTerm(uint64_t term);
    // Records this node's vote in the current term.
    void voteFor(std::string_view member);
    // Becomes a follower in the current term; `newLeader` is empty if the leader is unknown.
    void follow(std::string_view newLeader);
    // Appends an entry of the current term and returns its index.
    uint64_t append(proto::EntryKind kind, std::string_view data);
    // Merges a leader's entries into the log and updates the members to match.
    void merge(std::span<const proto::LogEntry *const> entries);
};

} // namespace samphirebridge::consensus
