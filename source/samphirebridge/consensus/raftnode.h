// Raft as a deterministic state machine: it is given messages and the time, and returns messages to
// send and entries to store and apply. It reads no clock, starts no thread and does no I/O.
#pragma once

#include "samphirebridge/consensus/memberchange.h"
#include "samphirebridge/consensus/raftsettings.h"
#include "samphirebridge/consensus/ready.h"
#include "samphirebridge/consensus/role.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::consensus
{

// One member of one Raft group.
class RaftNode
{
public:
    // Starts as a follower with the state that storage held. A node without a configuration waits
    // until a leader adds it.
    RaftNode(RaftSettings settings, RestoredState restored, core::TimePoint now);
    ~RaftNode();
    RaftNode(RaftNode &&) noexcept;
    RaftNode &operator=(RaftNode &&) noexcept;
    RaftNode(const RaftNode &) = delete;
    RaftNode &operator=(const RaftNode &) = delete;

    // Does what is due at `now`: heartbeats, elections, and stepping down when the leader heard
    // from no quorum. To be called several times per heartbeat interval.
    void tick(core::TimePoint now);

    // Handles a message from another member. Messages for another member, of an earlier term, or
    // that do not fit the role are dropped or refused in a reply; none is an error.
    void step(const proto::RaftMessage &message, core::TimePoint now);

    // Appends a command and returns its index. All commands proposed before one takeReady() are
    // stored with one sync. If the entry applied at this index has another term than term() has
    // now, then the command was lost. NotLeader; NoQuorum if too many entries are uncommitted;
    // LeadershipLost during a leadership transfer.
    absl::StatusOr<uint64_t> propose(std::string_view data, core::TimePoint now);

    // Appends a configuration that differs in one member and returns its index. NotLeader;
    // ConfigurationChangePending while an earlier change or the leader's first entry is not
    // committed, or while the learner to be promoted has not caught up; UnknownMember; InvalidName;
    // InvalidRequest if the member has that role already or is the last voter.
    absl::StatusOr<uint64_t> changeVoters(const MemberChange &change, core::TimePoint now);

    // Requests a linearisable read: a quorum confirms that this node still leads. A later Ready has
    // the returned id in confirmedReads or failedReads. NotLeader.
    absl::StatusOr<ReadId> requestRead(core::TimePoint now);

    // Transfers leadership to another voter as soon as that has the whole log. Proposals are
    // refused meanwhile. The transfer is given up after the minimum election timeout. NotLeader;
    // UnknownMember if `to` is not another voter.
    absl::Status transferLeadership(std::string_view to, core::TimePoint now);

    // Becomes a follower that knows no leader, unless it is a follower already. May be called
    // between takeReady() and persisted().
    void stepDown(core::TimePoint now);

    // Returns whether there is something to do for the host: takeReady() is to be called.
    [[nodiscard]] bool hasReady() const;

    // Moves out what the host has to do. After a Ready that needs storage, the host must call
    // persisted() before the next takeReady().
    Ready takeReady();

    // Moves out the messages that may be sent before anything is stored: append requests and
    // snapshot chunks of a leader whose term is stored. The leader's own copy of an entry counts
    // towards the quorum only after persisted(). May be called before takeReady(). Empty unless
    // this node leads.
    std::vector<proto::RaftMessage> takeEarlyMessages();

    // To be called when the last Ready's hard state, snapshot and entries are durable.
    void persisted();

    // To be called when the host has stored a snapshot of its state machine. Drops the entries that
    // it covers from memory, except for the last ones, which are kept for slow followers. Followers
    // that lack dropped entries are sent this snapshot.
    void compact(const Snapshot &snapshot);

    // Returns index, term and configuration for a snapshot of a state machine that has applied the
    // entries up to `index`. `index` must lie between the last snapshot and the commit index.
    [[nodiscard]] proto::SnapshotMeta snapshotMetaAt(uint64_t index) const;

    // Returns the index of the first entry in memory.
    [[nodiscard]] uint64_t firstIndex() const;
    [[nodiscard]] uint64_t lastIndex() const;

    [[nodiscard]] Role role() const;
    // Returns the leader's member name, or an empty string if it is unknown.
    [[nodiscard]] const std::string &leader() const;
    [[nodiscard]] uint64_t term() const;
    [[nodiscard]] uint64_t commitIndex() const;
    // Returns the latest configuration in the log, committed or not.
    [[nodiscard]] const proto::Configuration &configuration() const;
    // Returns whether the latest configuration is committed.
    [[nodiscard]] bool configurationCommitted() const;
    // Returns whether the member lacks at most promotionLag entries and was heard within the
    // minimum election timeout. False unless this node leads.
    [[nodiscard]] bool isCaughtUp(std::string_view member) const;
    // Returns when this leader last heard from the other member; if it never did, when the
    // leadership began or the member was added. The default time point unless this node leads and
    // `member` is another member of the group.
    [[nodiscard]] core::TimePoint lastHeard(std::string_view member) const;
    // Returns whether this leader has heard from the other member since its leadership began or the
    // member was added. False unless this node leads.
    [[nodiscard]] bool hasHeard(std::string_view member) const;
    // Returns whether this node leads and has committed an entry of its own term, so that it knows
    // all entries that were committed before. Leases and orders must not be given earlier.
    [[nodiscard]] bool leadsWithCommittedTerm() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace samphirebridge::consensus
