// One voter's share of the ledger, on the control thread: it proposes commands, answers reads that
// the quorum confirmed and carries Raft's messages.
#pragma once

#include "instance.pb.h"
#include "samphirebridge/consensus/durablenode.h"
#include "samphirebridge/control/declarationsource.h"
#include "samphirebridge/control/joinplan.h"
#include "samphirebridge/control/ledgermachine.h"
#include "samphirebridge/control/outagereporter.h"
#include "samphirebridge/core/bootclock.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/ledger/clockreadings.h"
#include "samphirebridge/storage/memberidentity.h"
#include "samphirebridge/telemetry/counters.h"
#include "samphirebridge/telemetry/logger.h"
#include "samphirebridge/transport/peerset.h"
#include "samphirebridge/transport/rpcserver.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace samphirebridge::control
{

// Not thread-safe: every call runs on the control thread.
template <storage::Storage Storage>
class ControlNode
{
public:
    // Opens the data folder behind the storage, which outlives the node. Errors are those of
    // consensus::DurableNode::open.
    static absl::StatusOr<std::unique_ptr<ControlNode>>
    open(Storage &storage,
         consensus::DurableNodeSettings settings,
         transport::PeerSet &peers,
         telemetry::Counters &counters,
         telemetry::Logger &logger,
         core::TimePoint now)
    {
        std::unique_ptr<ControlNode> node(new ControlNode(peers, counters, logger));
        settings.machineTime = [clock = core::MachineClock()] {
            return clock.read();
        };
        auto opened = Durable::open(storage, node->machine, std::move(settings), now);
        if (!opened.ok()) {
            return opened.status();
        }
        node->durable = std::move(*opened);
        const std::string &member = node->durable->member();
        node->outages.emplace(core::InstanceId(std::string(storage::instanceOf(member))),
                              member,
                              node->durable->takeRecovered());
        return node;
    }

    void tick(core::TimePoint now)
    {
        this->now = now;
        this->durable->tick(now);
        if (!this->durable->node().leader().empty()) {
            this->leaderKnownAt = now;
        }
        if (now - this->lastJoinStep >= JoinInterval) {
            this->lastJoinStep = now;
            this->proceedJoining();
        }
        this->expireProposals();
        if (now - this->lastLevels >= LevelsInterval) {
            this->lastLevels = now;
            this->updateLevels();
        }
    }

    // Takes a Raft message from another member.
    void step(const proto::RaftMessage &message, core::TimePoint now)
    {
        this->now = now;
        this->durable->step(message, now);
    }

    // Makes everything since the last call durable with one sync, sends what may leave and answers
    // what was decided. After an error the process must stop.
    absl::Status flush(core::TimePoint now)
    {
        this->now = now;
        auto output = this->durable->flush();
        if (!output.ok()) {
            return output.status();
        }
        this->send(output->messages);
        this->answerApplied(*output);
        this->answerReads(*output);
        this->noteLeader();
        return absl::OkStatus();
    }

    // Proposes a command if this member leads. The answer is NOT_LEADER with a hint, APPLIED with
    // the ledger's result, or UNKNOWN when the entry's fate was not learned in time.
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
        this->proposals.insert_or_assign(
            *index, Proposal{this->durable->node().term(), this->now, std::move(respond)});
    }

    void readManifest(const proto::ReadManifestRequest &request,
                      transport::Respond<proto::ReadManifestReply> respond)
    {
        this->read(
            [this, known = request.known_version(), respond = std::move(respond)](bool confirmed) {
                proto::ReadManifestReply reply;
                reply.set_confirmed(confirmed);
                reply.set_leader_instance(this->leaderInstance());
                if (confirmed) {
                    *reply.mutable_delta() = this->machine.state().manifestSince(known);
                }
                respond(std::move(reply));
            });
    }

    void readDeclaration(const proto::ReadDeclarationRequest &request,
                         transport::Respond<proto::ReadDeclarationReply> respond)
    {
        this->read(
            [this, known = request.known_version(), respond = std::move(respond)](bool confirmed) {
                proto::ReadDeclarationReply reply;
                reply.set_confirmed(confirmed);
                reply.set_leader_instance(this->leaderInstance());
                const proto::Declaration &newest = this->appliedDeclaration();
                if (confirmed) {
                    reply.set_version(newest.version());
                }
                if (confirmed && newest.version() > known) {
                    *reply.mutable_declaration() = newest;
                }
                respond(std::move(reply));
            });
    }

    // Answers out of what this member has applied, without a round of the quorum.
    void fetchDeclaration(const proto::FetchDeclarationRequest &request,
                          transport::Respond<proto::FetchDeclarationReply> respond)
    {
        proto::FetchDeclarationReply reply
            = this->declarations.answer(request, this->machine.state());
        this->counters.count(telemetry::Event::DeclarationBytesSent,
                             static_cast<double>(reply.part().size()));
        const auto answer = std::move(respond);
        answer(std::move(reply));
    }

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

    void readStatus(const proto::ReadStatusRequest & /*request*/,
                    transport::Respond<proto::ReadStatusReply> respond)
    {
        this->read([this, respond = std::move(respond)](bool confirmed) {
            proto::ReadStatusReply reply = this->localStatus();
            reply.set_confirmed(confirmed);
            respond(std::move(reply));
        });
    }

    void changeVoters(const proto::ChangeVotersRequest &request,
                      transport::Respond<proto::ChangeVotersReply> respond)
    {
        proto::ChangeVotersReply reply;
        reply.set_leader_instance(this->leaderInstance());
        const auto index
            = this->durable->changeVoters({kindOf(request.change()), request.member()}, this->now);
        reply.set_error_code(static_cast<uint32_t>(core::errorCodeOf(index.status())));
        reply.set_error_message(std::string(core::messageOf(index.status())));
        const auto answer = std::move(respond);
        answer(std::move(reply));
    }

    // Hands the leadership to another voter, if this member leads; for a graceful shutdown.
    void transferLeadership()
    {
        if (!this->leads()) {
            return;
        }
        for (const std::string &voter : this->durable->node().configuration().voters()) {
            if (voter != this->durable->member()
                && this->durable->transferLeadership(voter, this->now).ok()) {
                this->logger.change("leadership_transfer_started", {{"to", voter}});
                return;
            }
        }
    }

    // Tells whether this member leads, as far as it knows.
    [[nodiscard]] bool leads() const
    {
        return this->durable->node().role() == consensus::Role::Leader;
    }

    // Returns the leader's instance id, or an empty string.
    [[nodiscard]] std::string leaderInstance() const
    {
        return std::string(storage::instanceOf(this->durable->node().leader()));
    }

    // Returns the report of an outage that the ledger should get now, if any.
    std::optional<proto::ReportOutage> outageReport()
    {
        const AppliedLog applied{this->durable->appliedIndex(), this->machine.state().proposedAt()};
        return this->outages->isDue(applied)
                   ? this->outages->report(applied, this->machineClock.read())
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

    // A command whose entry is not applied yet.
    struct Proposal {
        uint64_t term = 0;
        core::TimePoint proposed;
        transport::Respond<proto::SubmitReply> respond;

        [[nodiscard]] core::TimePoint expires() const
        {
            return this->proposed + ProposalTimeout;
        }
    };

    // Receives whether the quorum confirmed the read.
    using OnRead = std::function<void(bool)>;

    // After this time a proposal's fate is answered as unknown.
    static constexpr core::Duration ProposalTimeout = std::chrono::seconds(5);

    // A voter that was silent for this long makes room for a newcomer: twice the longest election,
    // so that one that only changes its leader is not taken for lost.
    static constexpr core::Duration SilentAfter = std::chrono::seconds(3);

    // A member that knew no leader for this long asks to be added.
    static constexpr core::Duration AbandonedAfter = std::chrono::seconds(3);

    // The time between two steps towards becoming a voter.
    static constexpr core::Duration JoinInterval = std::chrono::milliseconds(250);

    // The time between two readings of the gauges, which sum over all budgets.
    static constexpr core::Duration LevelsInterval = std::chrono::seconds(2);

    ControlNode(transport::PeerSet &peerSet,
                telemetry::Counters &processCounters,
                telemetry::Logger &processLogger)
        : peers(peerSet)
        , counters(processCounters)
        , logger(processLogger)
    {
    }

    static uint64_t wallClockMs()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    }

    static consensus::MemberChangeKind kindOf(proto::ChangeVotersRequest::Change change)
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

    void read(OnRead onRead)
    {
        const auto readId = this->durable->requestRead(this->now);
        if (!readId.ok()) {
            onRead(false);
            return;
        }
        this->reads.insert_or_assign(*readId, std::move(onRead));
    }

    void send(const std::vector<proto::RaftMessage> &messages)
    {
        std::map<core::InstanceId, proto::Envelope> envelopes;
        for (const proto::RaftMessage &message : messages) {
            const core::InstanceId to(storage::instanceOf(message.to()));
            *envelopes[to].add_raft() = message;
        }
        for (auto &[to, envelope] : envelopes) {
            transport::PeerChannel *channel = this->peers.find(to);
            if (channel == nullptr) {
                continue;
            }
            envelope.set_from(this->durable->member());
            channel->deliver(envelope);
        }
    }

    void answerApplied(consensus::Output<proto::CommandResult> &output)
    {
        for (auto &applied : output.applied) {
            const auto found = this->proposals.find(applied.index);
            if (found != this->proposals.end() && found->second.term == applied.term) {
                proto::SubmitReply reply;
                this->counters.observe(telemetry::Latency::QuorumRound,
                                       this->now - found->second.proposed);
                reply.set_status(proto::SubmitReply::APPLIED);
                reply.set_leader_instance(this->leaderInstance());
                *reply.mutable_result() = std::move(applied.result);
                found->second.respond(std::move(reply));
                this->proposals.erase(found);
            }
        }
        this->counters.count(telemetry::Event::LogEntriesApplied,
                             static_cast<double>(output.applied.size()));
        // What stands at or before the applied index now is not what was proposed there.
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
        auto node = this->reads.extract(readId);
        if (!node.empty()) {
            node.mapped()(confirmed);
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
        while (!this->proposals.empty() && this->proposals.begin()->second.expires() <= this->now) {
            this->answerUnknown(this->proposals.begin());
        }
    }

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

    // Leads learners to a vote; or, as a member that no leader speaks to, asks to be added: it may
    // never have been one, or may have been replaced while it was away.
    void proceedJoining()
    {
        const consensus::RaftNode &raft = this->durable->node();
        if (this->leads()) {
            this->promoteLearners();
            return;
        }
        const bool abandoned = this->now - this->leaderKnownAt >= AbandonedAfter;
        if (raft.configuration().voters_size() > 0 && !abandoned) {
            return;
        }
        proto::ChangeVotersRequest request;
        request.set_change(proto::ChangeVotersRequest::ADD_LEARNER);
        request.set_member(this->durable->member());
        // It knows no leader yet: every peer is asked, and only one leads.
        for (const core::InstanceId &peer : this->peers.ids()) {
            this->peers.find(peer)->changeVoters(request, JoinInterval, [](const auto &) {});
        }
    }

    void promoteLearners()
    {
        const consensus::RaftNode &raft = this->durable->node();
        const std::optional<std::string> silent = this->silentVoter();
        for (const std::string &learner : raft.configuration().learners()) {
            const auto step
                = nextJoinStep(raft.configuration(), learner, raft.isCaughtUp(learner), silent);
            if (step) {
                this->changeMembers(*step);
                return;
            }
        }
        if (const auto step = nextTrimStep(raft.configuration(), silent)) {
            this->changeMembers(*step);
        }
    }

    // Refused while an earlier change is under way; the next interval tries again.
    void changeMembers(const consensus::MemberChange &change)
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

    // Returns the voter that was not heard for longest, if that is long enough to count as lost.
    [[nodiscard]] std::optional<std::string> silentVoter() const
    {
        const consensus::RaftNode &raft = this->durable->node();
        std::optional<std::string> silent;
        core::TimePoint oldest = this->now - SilentAfter;
        for (const std::string &voter : raft.configuration().voters()) {
            if (voter != this->durable->member() && raft.lastHeard(voter) < oldest) {
                oldest = raft.lastHeard(voter);
                silent = voter;
            }
        }
        return silent;
    }

    void noteLeader()
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

    void updateLevels()
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
    LedgerMachine machine;
    DeclarationSource declarations;
    core::BootClock clock{core::drawClockId()};
    core::MachineClock machineClock;
    std::unique_ptr<Durable> durable;
    std::optional<OutageReporter> outages;
    core::TimePoint now;
    core::TimePoint lastJoinStep;
    core::TimePoint lastLevels;
    std::map<uint64_t, Proposal> proposals;
    std::map<consensus::ReadId, OnRead> reads;
    std::string knownLeader;
    core::TimePoint leaderKnownAt;
};

} // namespace samphirebridge::control
