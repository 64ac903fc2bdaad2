// A member of the replicated ledger: proposes commands to the Raft log, answers reads once the
// quorum has confirmed them, exchanges Raft messages with the other members and changes the
// membership.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/consensus/durablenode.h"
#include "samphirebridge/control/commitfreshness.h"
#include "samphirebridge/control/declarationsource.h"
#include "samphirebridge/control/joinplan.h"
#include "samphirebridge/control/ledgermachine.h"
#include "samphirebridge/control/outagereporter.h"
#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/ledger/clockreadings.h"
#include "samphirebridge/ledger/revision.h"
#include "samphirebridge/storage/memberidentity.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"
#include "samphirebridge/transport/peerset.h"
#include "samphirebridge/transport/rpcserver.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace samphirebridge::control
{

// Owns the ledger's state machine and its Raft log. Not thread-safe: every call runs on the control
// thread.
template <storage::Storage Storage>
class ControlNode
{
public:
    // Recovers the member from the storage. A member that joins while the fleet is founded adds to
    // the voters, and a later one replaces a voter. `lastContact` is called on the control thread
    // only. Storage, peers, counters and logger must outlive the node. Errors are those of
    // consensus::DurableNode::open.
    static absl::StatusOr<std::unique_ptr<ControlNode>>
    open(Storage &storage,
         consensus::DurableNodeSettings settings,
         transport::PeerSet &peers,
         telemetry::Counters &counters,
         telemetry::Logger &logger,
         bool foundsFleet,
         LastContact lastContact,
         core::TimePoint now)
    {
        std::unique_ptr<ControlNode> node(
            new ControlNode(peers, counters, logger, foundsFleet, std::move(lastContact)));
        settings.machineTime = [clock = core::MachineClock()] {
            return clock.read();
        };
        auto opened = Durable::open(storage, node->machine, std::move(settings), now);
        if (!opened.ok()) {
            return opened.status();
        }
        node->durable = std::move(*opened);
        const std::string &member = node->durable->member();
        node->outageReporter.emplace(core::InstanceId(std::string(storage::instanceOf(member))),
                                     member,
                                     node->durable->takeRecovered());
        return node;
    }

    // Runs the timers of elections, heartbeats, membership changes, proposals and gauges.
    void tick(core::TimePoint now)
    {
        this->now = now;
        this->durable->tick(now);
        if (!this->durable->node().leader().empty()) {
            this->lastLeaderKnown = now;
        }
        if (this->leads()) {
            this->changeMembership();
        } else if (now - this->lastMembershipStep >= JoinInterval) {
            this->lastMembershipStep = now;
            this->requestMembership();
        }
        this->expireProposals();
        if (now - this->lastGaugeUpdate >= GaugeInterval) {
            this->lastGaugeUpdate = now;
            this->updateGauges();
        }
    }

    // Handles a Raft message from another member.
    void step(const proto::RaftMessage &message, core::TimePoint now)
    {
        this->now = now;
        const bool isFromLeader
            = message.has_append_request() && message.term() >= this->durable->node().term();
        if (isFromLeader && !this->durable->isStorageFull()) {
            this->freshness.onCommitted(message.append_request().commit_index(), now);
        }
        this->durable->step(message, now);
    }

    // Makes all changes since the last call durable with one sync, then sends the Raft messages
    // that depend on them and answers the proposals and reads that were decided. After an error the
    // process must stop. A full disk is none: the member neither leads nor votes until it has room.
    absl::Status flush(core::TimePoint now)
    {
        this->now = now;
        auto output = this->durable->flush();
        if (!output.ok()) {
            return output.status();
        }
        this->sendMessages(output->messages);
        this->answerProposals(*output);
        this->answerReads(*output);
        this->updateStorageFull();
        this->updateLeader();
        this->updateFreshness();
        return absl::OkStatus();
    }

    // Proposes a command if this member leads. The reply is NOT_LEADER with the known leader
    // otherwise, APPLIED with the ledger's result, or UNKNOWN if the entry was replaced by another
    // leader's or was not applied within ProposalTimeout.
    void submit(const proto::SubmitRequest &request, transport::Respond<proto::SubmitReply> respond)
    {
        proto::SubmitReply refusal;
        refusal.set_status(proto::SubmitReply::NOT_LEADER);
        refusal.set_leader_instance(this->leaderInstance());
        if (!this->leads()) {
            respond(std::move(refusal));
            return;
        }
        proto::Command command = request.command();
        command.set_proposed_at_ms(wallClockMs());
        *command.mutable_proposed_at() = ledger::protoOf(this->clock.read());
        const auto index = this->durable->propose(command.SerializeAsString(), this->now);
        if (!index.ok()) {
            respond(std::move(refusal));
            return;
        }
        // Another leader removed an earlier proposal from the log, and its index is used again.
        if (const auto removed = this->proposals.find(*index); removed != this->proposals.end()) {
            this->answerUnknown(removed);
        }
        this->proposals.insert_or_assign(
            *index, Proposal{this->durable->node().term(), this->now, std::move(respond)});
    }

    // Answers with the manifest's changes since the known version, once the quorum has confirmed
    // that this member leads. This read and the next ones reply with confirmed = false otherwise.
    void readManifest(const proto::ReadManifestRequest &request,
                      transport::Respond<proto::ReadManifestReply> respond)
    {
        this->read([this, knownVersion = request.known_version(), respond = std::move(respond)](
                       bool confirmed) {
            proto::ReadManifestReply reply;
            reply.set_confirmed(confirmed);
            reply.set_leader_instance(this->leaderInstance());
            if (confirmed) {
                *reply.mutable_delta() = this->machine.state().manifestSince(knownVersion);
            }
            respond(std::move(reply));
        });
    }

    // Answers with the declaration's version and revision and the evacuations, and with the
    // declaration itself if the known version is older, once the quorum has confirmed the read.
    void readDeclaration(const proto::ReadDeclarationRequest &request,
                         transport::Respond<proto::ReadDeclarationReply> respond)
    {
        this->read([this, knownVersion = request.known_version(), respond = std::move(respond)](
                       bool confirmed) {
            proto::ReadDeclarationReply reply;
            reply.set_confirmed(confirmed);
            reply.set_leader_instance(this->leaderInstance());
            const proto::Declaration &newest = this->appliedDeclaration();
            if (confirmed) {
                reply.set_version(newest.version());
                ledger::setRevision(reply, ledger::revisionOf(newest));
                *reply.mutable_evacuations() = newest.evacuations();
            }
            if (confirmed && newest.version() > knownVersion) {
                *reply.mutable_declaration() = newest;
            }
            respond(std::move(reply));
        });
    }

    // Answers with a part of the declaration that this member has applied, without a quorum round,
    // and with how recently that was the newest that was committed.
    void fetchDeclaration(const proto::FetchDeclarationRequest &request,
                          core::TimePoint now,
                          transport::Respond<proto::FetchDeclarationReply> respond)
    {
        proto::FetchDeclarationReply reply
            = this->declarations.answer(request, this->machine.state());
        if (reply.version() == ledger::revisionOf(this->appliedDeclaration())) {
            this->freshness.confirm(reply, now);
        }
        this->counters.count(telemetry::Event::DeclarationBytesSent,
                             static_cast<double>(reply.part().size()));
        const auto answer = std::move(respond);
        answer(std::move(reply));
    }

    // Answers with the state of the requested budgets, once the quorum has confirmed the read.
    void readBudgets(const proto::ReadBudgetsRequest &request,
                     transport::Respond<proto::ReadBudgetsReply> respond)
    {
        std::vector<core::BudgetId> ids;
        for (const std::string &id : request.budgets()) {
            ids.emplace_back(id);
        }
        this->read([this, ids = std::move(ids), respond = std::move(respond)](bool confirmed) {
            proto::ReadBudgetsReply reply;
            reply.set_confirmed(confirmed);
            reply.set_leader_instance(this->leaderInstance());
            if (confirmed) {
                for (const proto::BudgetState &budget : this->machine.state().budgets(ids)) {
                    *reply.add_budgets() = budget;
                }
            }
            respond(std::move(reply));
        });
    }

    // Answers with this member's status, also if the quorum does not confirm the read.
    void readStatus(const proto::ReadStatusRequest & /*request*/,
                    transport::Respond<proto::ReadStatusReply> respond)
    {
        this->read([this, respond = std::move(respond)](bool confirmed) {
            proto::ReadStatusReply reply = this->localStatus();
            reply.set_confirmed(confirmed);
            respond(std::move(reply));
        });
    }

    // Starts a membership change if this member leads. The reply carries the error code of
    // consensus::DurableNode::changeVoters.
    void changeVoters(const proto::ChangeVotersRequest &request,
                      transport::Respond<proto::ChangeVotersReply> respond)
    {
        proto::ChangeVotersReply reply;
        reply.set_leader_instance(this->leaderInstance());
        const absl::Status status = this->startRequestedChange(request);
        reply.set_error_code(static_cast<uint32_t>(core::errorCodeOf(status)));
        reply.set_error_message(std::string(core::messageOf(status)));
        const auto answer = std::move(respond);
        answer(std::move(reply));
    }

    // Prepares a graceful shutdown: transfers the leadership if this member leads, and from then on
    // offers its vote to a successor that is ready. Without one the member keeps its vote.
    void prepareStop()
    {
        this->isStopping = true;
        if (!this->leads()) {
            return;
        }
        const consensus::RaftNode &raft = this->durable->node();
        for (const std::string &voter : raft.configuration().voters()) {
            if (voter != this->durable->member() && raft.isCaughtUp(voter)
                && this->durable->transferLeadership(voter, this->now).ok()) {
                this->logger.change("leadership_transfer_started", {{"to", voter}});
                return;
            }
        }
    }

    // Returns whether this member considers itself the leader; another may have been elected since.
    [[nodiscard]] bool leads() const
    {
        return this->durable->node().role() == consensus::Role::Leader;
    }

    // Returns the known leader's instance id, or an empty string.
    [[nodiscard]] std::string leaderInstance() const
    {
        return std::string(storage::instanceOf(this->durable->node().leader()));
    }

    // Returns the outage report that is due and counts it as sent, or nothing.
    std::optional<proto::ReportOutage> takeOutageReport()
    {
        const AppliedLog applied{this->durable->appliedIndex(), this->machine.state().proposedAt()};
        return this->outageReporter->isDue(applied)
                   ? this->outageReporter->takeReport(applied, this->machineClock.read())
                   : std::nullopt;
    }

    // Returns the version of the manifest that this member has applied.
    [[nodiscard]] uint64_t appliedManifestVersion() const
    {
        return this->machine.state().manifestVersion();
    }

    // Returns the declaration that this member has applied; a newer one may be in force.
    [[nodiscard]] const proto::Declaration &appliedDeclaration() const
    {
        return this->machine.state().declaration();
    }

private:
    using Durable = consensus::DurableNode<Storage, LedgerMachine>;

    // A proposed command whose log entry is not applied yet, and the caller that waits for it.
    struct Proposal {
        uint64_t term = 0;
        core::TimePoint proposed;
        transport::Respond<proto::SubmitReply> respond;

        [[nodiscard]] core::TimePoint expiresAt() const
        {
            return this->proposed + ProposalTimeout;
        }
    };

    // Receives whether the quorum confirmed the read.
    using OnReadDecided = std::function<void(bool)>;

    // A proposal that is not applied within this time is answered with UNKNOWN.
    static constexpr core::Duration ProposalTimeout = std::chrono::seconds(5);

    // A member that has known no leader for this long asks to be added as a learner.
    static constexpr core::Duration NoLeaderTimeout = std::chrono::seconds(3);

    // The interval between two requests of a member to be added or removed.
    static constexpr core::Duration JoinInterval = std::chrono::milliseconds(250);

    // A resignation that was not repeated for this long no longer counts: the process has ended,
    // and the member may be back.
    static constexpr core::Duration ResignationLifetime = 2 * JoinInterval;

    // The interval between two updates of the token gauges, which sum over all budgets.
    static constexpr core::Duration GaugeInterval = std::chrono::seconds(2);

    ControlNode(transport::PeerSet &peerSet,
                telemetry::Counters &processCounters,
                telemetry::Logger &processLogger,
                bool processFoundsFleet,
                LastContact contact)
        : peers(peerSet)
        , counters(processCounters)
        , logger(processLogger)
        , foundsFleet(processFoundsFleet)
        , lastContact(std::move(contact))
    {
    }

    static uint64_t wallClockMs()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    }

    static consensus::MemberChangeKind memberChangeKindOf(proto::ChangeVotersRequest::Change change)
    {
        switch (change) {
        case proto::ChangeVotersRequest::PROMOTE:
            return consensus::MemberChangeKind::Promote;
        case proto::ChangeVotersRequest::REMOVE:
            return consensus::MemberChangeKind::Remove;
        default:
            return consensus::MemberChangeKind::AddLearner;
        }
    }

    // Starts a read that the quorum must confirm; calls back at once if this member cannot.
    void read(OnReadDecided onDecided)
    {
        const auto readId = this->durable->requestRead(this->now);
        if (!readId.ok()) {
            onDecided(false);
            return;
        }
        this->reads.insert_or_assign(*readId, std::move(onDecided));
    }

    // Sends the messages in one envelope for each peer; those for unknown peers are dropped.
    void sendMessages(const std::vector<proto::RaftMessage> &messages)
    {
        std::map<core::InstanceId, proto::Envelope> envelopes;
        for (const proto::RaftMessage &message : messages) {
            const core::InstanceId to(storage::instanceOf(message.to()));
            *envelopes[to].add_raft() = message;
        }
        for (auto &[to, envelope] : envelopes) {
            transport::PeerChannel *channel = this->peers.channelTo(to);
            if (channel == nullptr) {
                continue;
            }
            envelope.set_from(this->durable->member());
            channel->deliver(envelope);
        }
    }

    // Answers the proposals whose index has been applied: APPLIED for the entry that was proposed,
    // UNKNOWN where another entry took its place.
    void answerProposals(consensus::Output<proto::CommandResult> &output)
    {
        for (auto &applied : output.applied) {
            const auto proposal = this->proposals.find(applied.index);
            if (proposal != this->proposals.end() && proposal->second.term == applied.term) {
                proto::SubmitReply reply;
                this->counters.observe(telemetry::Latency::QuorumRound,
                                       this->now - proposal->second.proposed);
                reply.set_status(proto::SubmitReply::APPLIED);
                reply.set_leader_instance(this->leaderInstance());
                *reply.mutable_result() = std::move(applied.result);
                proposal->second.respond(std::move(reply));
                this->proposals.erase(proposal);
            }
        }
        this->counters.count(telemetry::Event::LogEntriesApplied,
                             static_cast<double>(output.applied.size()));
        // A proposal left at or before the applied index was replaced by another leader's entry.
        while (!this->proposals.empty()
               && this->proposals.begin()->first <= this->durable->appliedIndex()) {
            this->answerUnknown(this->proposals.begin());
        }
    }

    void answerReads(const consensus::Output<proto::CommandResult> &output)
    {
        for (const consensus::ReadId readId : output.confirmedReads) {
            this->answerRead(readId, true);
        }
        for (const consensus::ReadId readId : output.failedReads) {
            this->answerRead(readId, false);
        }
    }

    void answerRead(consensus::ReadId readId, bool confirmed)
    {
        auto read = this->reads.extract(readId);
        if (!read.empty()) {
            read.mapped()(confirmed);
        }
    }

    void answerUnknown(typename std::map<uint64_t, Proposal>::iterator proposal)
    {
        proto::SubmitReply reply;
        reply.set_status(proto::SubmitReply::UNKNOWN);
        reply.set_leader_instance(this->leaderInstance());
        const auto respond = std::move(proposal->second.respond);
        this->proposals.erase(proposal);
        respond(std::move(reply));
    }

    void expireProposals()
    {
        while (!this->proposals.empty()
               && this->proposals.begin()->second.expiresAt() <= this->now) {
            this->answerUnknown(this->proposals.begin());
        }
    }

    // Returns this member's view of the group and of the ledger, without a quorum round.
    proto::ReadStatusReply localStatus() const
    {
        const consensus::RaftNode &raft = this->durable->node();
        proto::ReadStatusReply reply;
        reply.set_leader_instance(this->leaderInstance());
        reply.set_term(raft.term());
        reply.set_commit_index(raft.commitIndex());
        *reply.mutable_configuration() = raft.configuration();
        reply.set_manifest_version(this->appliedManifestVersion());
        for (const core::HolderId &holder : this->machine.state().liveHolders()) {
            proto::Holder *live = reply.add_live_holders();
            live->set_instance(holder.instance.value);
            live->set_incarnation(holder.incarnation);
        }
        for (const ledger::UnresolvedClaim &claim : this->machine.state().unresolvedClaims()) {
            proto::RequestKey *key = reply.add_unresolved_claims();
            key->set_organisation(claim.key.organisation.value);
            key->set_key(claim.key.key);
        }
        return reply;
    }

    // Asks the leader for a change of this member. A member without a configuration or without a
    // known leader asks to be added, since it may never have been a member or may have been removed
    // while it was stopped or isolated. A member that stops resigns.
    void requestMembership()
    {
        const consensus::RaftNode &raft = this->durable->node();
        const bool isNew = raft.configuration().voters_size() == 0;
        const bool lacksLeader = this->now - this->lastLeaderKnown >= NoLeaderTimeout;
        proto::ChangeVotersRequest request;
        request.set_member(this->durable->member());
        if (this->isStopping) {
            request.set_change(proto::ChangeVotersRequest::RESIGN);
        } else if (isNew || lacksLeader) {
            request.set_change(proto::ChangeVotersRequest::ADD_LEARNER);
            // A member that was removed meanwhile has its place.
            request.set_resize(this->foundsFleet && isNew);
        } else {
            return;
        }
        // The leader may not be known: the request goes to every peer, and only the leader accepts
        // it.
        for (const core::InstanceId &peer : this->peers.ids()) {
            this->peers.channelTo(peer)->changeVoters(request, JoinInterval, [](const auto &) {});
        }
    }

    // Starts the change that a member or an operator asked for. A resignation is kept until the
    // membership plan has a use for it, or until it is no longer repeated.
    absl::Status startRequestedChange(const proto::ChangeVotersRequest &request)
    {
        if (request.change() != proto::ChangeVotersRequest::RESIGN) {
            return this->durable
                ->changeVoters(
                    {memberChangeKindOf(request.change()), request.member(), request.resize()},
                    this->now)
                .status();
        }
        if (!this->leads()) {
            return core::makeError(core::ErrorCode::NotLeader,
                                   "found a resignation; accepted is one at the leader");
        }
        this->resignations.insert_or_assign(request.member(), this->now);
        return absl::OkStatus();
    }

    // Returns the members that have resigned of late.
    std::vector<std::string> resignedMembers()
    {
        std::erase_if(this->resignations, [this](const auto &resignation) {
            return this->now - resignation.second >= ResignationLifetime;
        });
        std::vector<std::string> members;
        for (const auto &[member, resignedAt] : this->resignations) {
            members.push_back(member);
        }
        return members;
    }

    // Starts the next membership change that a learner or a silent voter calls for.
    void changeMembership()
    {
        const std::vector<std::string> resigned = this->resignedMembers();
        const auto change = nextMemberChange(
            this->durable->node(), this->durable->member(), resigned, this->lastContact, this->now);
        if (change) {
            this->startMemberChange(*change);
        }
    }

    // Starts a membership change. It is refused while an earlier one is pending, and tried again at
    // the next tick.
    void startMemberChange(const consensus::MemberChange &change)
    {
        if (!this->durable->changeVoters(change, this->now).ok()) {
            return;
        }
        const bool removal = change.kind == consensus::MemberChangeKind::Remove;
        this->logger.change(
            "voter_change_started",
            {{"member", change.member},
             {"change", removal ? "remove" : "add"},
             {"voters", std::to_string(this->durable->node().configuration().voters_size())}});
    }

    // Tells when the disk becomes full and when it has room again. A member without room decides
    // nothing more, so whoever waits for it is answered at once and may turn to another.
    void updateStorageFull()
    {
        const bool isFull = this->durable->isStorageFull();
        if (isFull == this->storageFull) {
            return;
        }
        this->storageFull = isFull;
        this->counters.set(telemetry::Gauge::StorageFull, isFull ? 1 : 0);
        this->logger.change(isFull ? "storage_full" : "storage_room_again");
        if (!isFull) {
            return;
        }
        while (!this->proposals.empty()) {
            this->answerUnknown(this->proposals.begin());
        }
        const auto waiting = std::exchange(this->reads, {});
        for (const auto &[readId, onDecided] : waiting) {
            onDecided(false);
        }
    }

    // Updates the gauges of term and commit index; logs and counts a change of the known leader.
    void updateLeader()
    {
        const consensus::RaftNode &raft = this->durable->node();
        this->counters.set(telemetry::Gauge::LedgerTerm, static_cast<double>(raft.term()));
        this->counters.set(telemetry::Gauge::LedgerCommitIndex,
                           static_cast<double>(raft.commitIndex()));
        const std::string leader(raft.leader());
        if (leader == this->knownLeader) {
            return;
        }
        this->knownLeader = leader;
        this->counters.count(telemetry::Event::LeaderChanges);
        this->logger.change("leader_changed",
                            {{"leader", leader}, {"term", std::to_string(raft.term())}});
    }

    // Notes what a majority has confirmed to be committed, and what is applied.
    void updateFreshness()
    {
        const consensus::RaftNode &raft = this->durable->node();
        if (raft.leadsWithCommittedTerm()) {
            this->freshness.onCommitted(raft.commitIndex(), this->lastQuorumContact());
        }
        this->freshness.onApplied(this->durable->appliedIndex());
    }

    // Returns until when a majority of the voters is known to have followed this leader.
    [[nodiscard]] core::TimePoint lastQuorumContact() const
    {
        const consensus::RaftNode &raft = this->durable->node();
        std::vector<core::TimePoint> contacts;
        for (const std::string &voter : raft.configuration().voters()) {
            contacts.push_back(voter == this->durable->member() ? this->now
                                                                : raft.lastHeard(voter));
        }
        if (contacts.empty()) {
            return {};
        }
        const auto majority = contacts.begin() + static_cast<std::ptrdiff_t>(contacts.size() / 2);
        std::nth_element(contacts.begin(), majority, contacts.end(), std::greater<>());
        return *majority;
    }

    // Updates the gauges of the ledger's tokens.
    void updateGauges()
    {
        const proto::BudgetState total = this->machine.state().total();
        const auto set = [this](telemetry::Gauge level, int64_t tokens) {
            this->counters.set(level, static_cast<double>(tokens));
        };
        set(telemetry::Gauge::LedgerTokensBilled, total.billed_tokens());
        set(telemetry::Gauge::LedgerTokensInEscrow, total.escrow_tokens());
        set(telemetry::Gauge::LedgerTokensQuarantined, total.quarantined_tokens());
        set(telemetry::Gauge::LedgerTokensInPool, total.pool_tokens());
    }

    transport::PeerSet &peers;
    telemetry::Counters &counters;
    telemetry::Logger &logger;
    const bool foundsFleet;
    const LastContact lastContact;
    LedgerMachine machine;
    DeclarationSource declarations;
    CommitFreshness freshness;
    core::BootClock clock{core::drawClockId()};
    core::MachineClock machineClock;
    std::unique_ptr<Durable> durable;
    std::optional<OutageReporter> outageReporter;
    core::TimePoint now;
    core::TimePoint lastMembershipStep;
    core::TimePoint lastGaugeUpdate;
    std::map<uint64_t, Proposal> proposals;
    std::map<consensus::ReadId, OnReadDecided> reads;
    bool storageFull = false;
    std::string knownLeader;
    core::TimePoint lastLeaderKnown;
    bool isStopping = false;
    std::map<std::string, core::TimePoint> resignations; // When each was last heard.
};

} // namespace samphirebridge::control
