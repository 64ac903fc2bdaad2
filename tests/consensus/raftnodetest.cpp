#include "samphirebridge/consensus/raftnode.h"
#include "samphirebridge/consensus/datafolder.h"
#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::consensus;
using namespace std::chrono_literals;

namespace
{

// One node of the group a/0, b/0, c/0; the test plays the other two.
struct Alone {
    core::TimePoint now = core::TimePoint(1s);
    RaftNode node;

    explicit Alone(uint64_t term = FirstTerm, const std::vector<uint64_t> &commandTerms = {})
        : node(RaftSettings{.member = "a/0"}, restoredState(term, commandTerms), now)
    {
    }

    static RestoredState restoredState(uint64_t term, const std::vector<uint64_t> &commandTerms)
    {
        const std::vector<std::string> voters{"a/0", "b/0", "c/0"};
        RestoredState restored;
        restored.hardState.set_term(term);
        restored.entries.push_back(*firstEntry(voters, "a/0"));
        for (const uint64_t commandTerm : commandTerms) {
            proto::LogEntry &entry = restored.entries.emplace_back();
            entry.set_term(commandTerm);
            entry.set_index(restored.entries.size());
            entry.set_kind(proto::COMMAND);
        }
        return restored;
    }

    proto::RaftMessage from(const std::string &member, uint64_t term) const
    {
        proto::RaftMessage message;
        message.set_from(member);
        message.set_to("a/0");
        message.set_term(term);
        return message;
    }

    // Takes everything that is ready, as if it were stored.
    Ready take()
    {
        Ready all;
        while (this->node.hasReady()) {
            Ready ready = this->node.takeReady();
            this->node.persisted();
            all.messages.insert(all.messages.end(), ready.messages.begin(), ready.messages.end());
            all.committed.insert(
                all.committed.end(), ready.committed.begin(), ready.committed.end());
            all.confirmedReads.insert(
                all.confirmedReads.end(), ready.confirmedReads.begin(), ready.confirmedReads.end());
        }
        return all;
    }

    void grant(bool preVote, uint64_t term)
    {
        proto::RaftMessage message = this->from("b/0", term);
        message.mutable_vote_reply()->set_granted(true);
        message.mutable_vote_reply()->set_pre_vote(preVote);
        this->node.step(message, this->now);
        this->take();
    }

    void becomeLeader()
    {
        this->now += 1s;
        this->node.tick(this->now);
        this->take();
        this->grant(true, this->node.term() + 1);
        this->grant(false, this->node.term());
        REQUIRE(this->node.role() == Role::Leader);
    }

    Ready acknowledge(uint64_t index, uint64_t round = 0)
    {
        proto::RaftMessage message = this->from("b/0", this->node.term());
        message.mutable_append_reply()->set_success(true);
        message.mutable_append_reply()->set_match_index(index);
        message.mutable_append_reply()->set_read_round(round);
        this->node.step(message, this->now);
        return this->take();
    }

    // Returns whether the node granted the request.
    bool asksForVote(const std::string &member, uint64_t term, uint64_t index, uint64_t indexTerm)
    {
        proto::RaftMessage message = this->from(member, term);
        message.mutable_vote_request()->set_last_log_index(index);
        message.mutable_vote_request()->set_last_log_term(indexTerm);
        this->node.step(message, this->now);
        const Ready ready = this->take();
        return ready.messages.size() == 1 && ready.messages.front().vote_reply().granted();
    }
};

} // namespace

TEST_CASE("an entry of an earlier term is not committed by counting its copies")
{
    Alone alone(3, {2});
    alone.becomeLeader();
    CHECK(alone.acknowledge(2).committed.empty());
    CHECK(alone.node.commitIndex() == 0);
    CHECK(alone.acknowledge(3).committed.size() == 3);
}

TEST_CASE("before its first entry is committed a leader confirms no read and changes no member")
{
    Alone alone(3, {2});
    alone.becomeLeader();
    REQUIRE(alone.node.requestRead(alone.now).ok());
    CHECK(alone.acknowledge(2, 1).confirmedReads.empty());
    CHECK_FALSE(alone.node.leadsWithCommittedTerm());
    CHECK(alone.acknowledge(3, 1).confirmedReads.size() == 1);
    CHECK(alone.node.leadsWithCommittedTerm());

    // Again, now that the configuration itself is committed.
    proto::RaftMessage append = alone.from("b/0", alone.node.term() + 1);
    append.mutable_append_request();
    alone.node.step(append, alone.now);
    alone.take();
    alone.becomeLeader();
    CHECK(alone.node.configurationCommitted());
    const auto change = alone.node.changeVoters({MemberChangeKind::Remove, "c/0"}, alone.now);
    CHECK(core::errorCodeOf(change.status()) == core::ErrorCode::ConfigurationChangePending);
    alone.acknowledge(4);
    CHECK(alone.node.changeVoters({MemberChangeKind::Remove, "c/0"}, alone.now).ok());
}

TEST_CASE("a read is confirmed only by answers to a round that began after it was requested")
{
    Alone alone;
    alone.becomeLeader();
    alone.acknowledge(2);
    REQUIRE(alone.node.requestRead(alone.now).ok());
    alone.take();
    REQUIRE(alone.node.requestRead(alone.now).ok());
    CHECK(alone.acknowledge(2, 0).confirmedReads.empty());
    const Ready first = alone.acknowledge(2, 1);
    REQUIRE(first.confirmedReads.size() == 1);
    CHECK(first.confirmedReads.front().id == 1);
    CHECK(alone.acknowledge(2, 2).confirmedReads.size() == 1);
}

TEST_CASE("a leader's entry that left early is committed only when its own copy is stored")
{
    Alone alone;
    alone.becomeLeader();
    alone.acknowledge(2);
    REQUIRE(alone.node.propose("early", alone.now).ok());
    CHECK(alone.node.takeEarlyMessages().size() == 1);
    proto::RaftMessage message = alone.from("b/0", alone.node.term());
    message.mutable_append_reply()->set_success(true);
    message.mutable_append_reply()->set_match_index(3);
    alone.node.step(message, alone.now);
    CHECK(alone.node.takeReady().committed.empty());
    alone.node.persisted();
    CHECK(alone.node.takeReady().committed.size() == 1);
}

TEST_CASE("nothing leaves early while the leader's term is not stored")
{
    RestoredState restored;
    restored.hardState.set_term(FirstTerm);
    restored.snapshot.meta.set_index(1);
    restored.snapshot.meta.set_term(FirstTerm);
    restored.snapshot.meta.mutable_configuration()->add_voters("a/0");
    restored.snapshot.meta.mutable_configuration()->add_learners("b/1");
    restored.snapshot.data = std::make_shared<const std::string>();
    core::TimePoint now(1s);
    RaftNode node(RaftSettings{.member = "a/0"}, restored, now);
    now += 1s;
    node.tick(now);
    REQUIRE(node.role() == Role::Leader);
    CHECK(node.takeEarlyMessages().empty());
    CHECK(node.takeReady().hardState.has_value());
    node.persisted();
    REQUIRE(node.propose("early", now).ok());
    proto::RaftMessage reply;
    reply.set_from("b/1");
    reply.set_to("a/0");
    reply.set_term(node.term());
    reply.mutable_append_reply()->set_success(true);
    reply.mutable_append_reply()->set_match_index(2);
    node.step(reply, now);
    CHECK(node.takeEarlyMessages().size() == 1);
}

TEST_CASE("a node votes once a term, and only for logs that lack nothing")
{
    Alone alone(3, {2, 3});
    CHECK_FALSE(alone.asksForVote("b/0", 4, 9, 2));
    CHECK_FALSE(alone.asksForVote("b/0", 5, 2, 3));
    CHECK(alone.asksForVote("b/0", 6, 3, 3));
    CHECK_FALSE(alone.asksForVote("c/0", 6, 9, 5));
    CHECK(alone.asksForVote("b/0", 6, 3, 3));
    CHECK_FALSE(alone.asksForVote("c/0", 5, 9, 5));
    CHECK(alone.asksForVote("c/0", 7, 3, 3));
}

TEST_CASE("a vote is to be stored before the answer that grants it")
{
    Alone alone;
    proto::RaftMessage message = alone.from("b/0", 5);
    message.mutable_vote_request()->set_last_log_index(1);
    message.mutable_vote_request()->set_last_log_term(1);
    alone.node.step(message, alone.now);
    const Ready ready = alone.node.takeReady();
    REQUIRE(ready.hardState);
    CHECK(ready.hardState->term() == 5);
    CHECK(ready.hardState->voted_for() == "b/0");
    REQUIRE(ready.messages.size() == 1);
    CHECK(ready.messages.front().vote_reply().granted());
}

TEST_CASE(
    "a follower that heard its leader lately grants no vote, unless leadership is handed over")
{
    Alone alone;
    proto::RaftMessage append = alone.from("b/0", 2);
    append.mutable_append_request()->set_previous_index(1);
    append.mutable_append_request()->set_previous_term(1);
    alone.node.step(append, alone.now);
    alone.take();
    CHECK(alone.node.leader() == "b/0");
    CHECK_FALSE(alone.asksForVote("c/0", 3, 9, 2));
    CHECK(alone.node.term() == 2);
    proto::RaftMessage handover = alone.from("c/0", 3);
    handover.mutable_vote_request()->set_last_log_index(9);
    handover.mutable_vote_request()->set_last_log_term(2);
    handover.mutable_vote_request()->set_transfer(true);
    alone.node.step(handover, alone.now);
    REQUIRE(alone.take().messages.front().vote_reply().granted());
}

TEST_CASE("messages for another member and answers of an earlier term change nothing")
{
    Alone alone;
    alone.becomeLeader();
    const uint64_t term = alone.node.term();
    proto::RaftMessage message = alone.from("b/0", term + 5);
    message.set_to("a/1");
    message.mutable_append_request();
    alone.node.step(message, alone.now);
    proto::RaftMessage late = alone.from("b/0", term - 1);
    late.mutable_append_reply()->set_success(true);
    late.mutable_append_reply()->set_match_index(2);
    alone.node.step(late, alone.now);
    CHECK(alone.node.term() == term);
    CHECK(alone.node.commitIndex() == 0);
}

TEST_CASE("a member that has heard no leader since its start asks early, and later no more")
{
    // The load: every member starts at once after a loss of power, and callers wait for a leader.
    Alone alone;
    const RaftSettings settings;
    alone.now += settings.electionTimeoutMaximum / 4;
    alone.node.tick(alone.now);
    CHECK(alone.node.role() == Role::PreCandidate);
    // Pre-votes leave the term as it is, however often they are asked for.
    alone.now += settings.electionTimeoutMaximum / 4;
    alone.node.tick(alone.now);
    CHECK(alone.node.term() == FirstTerm);

    proto::RaftMessage heartbeat = alone.from("b/0", FirstTerm);
    heartbeat.mutable_append_request();
    alone.node.step(heartbeat, alone.now);
    alone.take();
    alone.now += settings.electionTimeoutMinimum - 1ms;
    alone.node.tick(alone.now);
    CHECK(alone.node.role() == Role::Follower);
}
