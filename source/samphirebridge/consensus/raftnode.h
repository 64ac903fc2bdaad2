// Raft as a pure state machine: messages and time go in, messages and entries come out. It reads no
// clock, starts no thread and does no I/O.
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

// One member of one group.
class RaftNode
{
public:
    // Starts as a follower. The restored state is what storage held: a node without configuration
    // waits to be added by a leader.
    RaftNode(RaftSettings settings, RestoredState restored, core::TimePoint now);
    ~RaftNode();
    RaftNode(RaftNode &&) noexcept;
    RaftNode &operator=(RaftNode &&) noexcept;
    RaftNode(const RaftNode &) = delete;
    RaftNode &operator=(const RaftNode &) = delete;

    // Lets time pass: heartbeats, elections and the check of the quorum. To be called several times
    // per heartbeat interval.
    void tick(core::TimePoint now);

    // Takes a message. Messages for another member, of an older term or out of place are dropped
    // or answered; none is an error.
    void step(const proto::RaftMessage &message, core::TimePoint now);

    // Appends a command and returns its index. Proposals before one takeReady are stored by one
    // sync. The command is lost if the entry applied at this index has another term than the
    // present term(). NotLeader; NoQuorum if too many entries wait for their commit; LeadershipLost
    // while leadership is being handed over.
    absl::StatusOr<uint64_t> propose(std::string_view data, core::TimePoint now);

    // Appends a configuration that differs by one member and returns its index. NotLeader;
    // ConfigurationChangePending while an earlier change is not committed, or before the leader's
    // first entry is, or while the learner to be promoted is not caught up; UnknownMember;
    // InvalidRequest if the member is in that place already or the last voter would go.
    absl::StatusOr<uint64_t> changeVoters(const MemberChange &change, core::TimePoint now);

    // Asks for a read that is confirmed by the quorum. Its id appears in confirmedReads or
    // failedReads later. NotLeader.
    absl::StatusOr<ReadId> requestRead(core::TimePoint now);

    // Hands leadership to a voter once that has the whole log; proposals are refused meanwhile. It
    // is given up after one election timeout. NotLeader; UnknownMember if `to` is no other voter.
    absl::Status transferLeadership(std::string_view to, core::TimePoint now);

    // Tells whether takeReady() would return anything.
    [[nodiscard]] bool hasReady() const;

    // Moves out what the host has to do. One at a time: after a Ready that needs storage comes
    // persisted(), then the next takeReady().
    Ready takeReady();

    // Moves out the messages that may leave before anything is stored: the appends and chunks of a
    // leader whose term is stored. Its own copy of the entries counts only after persisted(). May
    // be called before takeReady(); empty elsewhere than on a leader.
    std::vector<proto::RaftMessage> takeEarlyMessages();

    // Tells that the last Ready's hard state, snapshot and entries are durable.
    void persisted();

    // Tells that the host has stored a snapshot of its state machine. Entries behind it are
    // dropped from memory, except for those kept for slow followers; followers behind that are
    // sent this snapshot.
    void compact(const Snapshot &snapshot);

    // Returns the place in the log and the configuration that a snapshot of a state machine that
    // applied entries up to `index` carries. `index` lies between the last snapshot and the commit
    // index.
    [[nodiscard]] proto::SnapshotMeta snapshotMetaAt(uint64_t index) const;

    // Returns the lowest index whose entry is kept in memory.
    [[nodiscard]] uint64_t firstIndex() const;
    [[nodiscard]] uint64_t lastIndex() const;

    [[nodiscard]] Role role() const;
    // Returns the known leader's member name, or an empty string.
    [[nodiscard]] const std::string &leader() const;
    [[nodiscard]] uint64_t term() const;
    [[nodiscard]] uint64_t commitIndex() const;
    // Returns the latest configuration in the log, committed or not.
    [[nodiscard]] const proto::Configuration &configuration() const;
    // Tells whether the latest configuration is committed.
    [[nodiscard]] bool configurationCommitted() const;
    // On the leader: tells whether the member lacks at most promotionLag entries and was heard
    // within the election timeout. False elsewhere.
    [[nodiscard]] bool isCaughtUp(std::string_view member) const;
    // On the leader: tells when the member was last heard; the start of the leadership if never.
    // Elsewhere, or for unknown members, the beginning of time.
    [[nodiscard]] core::TimePoint lastHeard(std::string_view member) const;
    // Tells whether this node leads and a committed entry of its own term proves that it knows all
    // that was committed before. Leases and orders start from here.
    [[nodiscard]] bool leadsWithCommittedTerm() const;

private:
    class Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace samphirebridge::consensus
