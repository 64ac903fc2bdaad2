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

// The node a/0 of the group a/0, b/0, c/0. The test sends the messages of the other two.
struct NodeFixture {
    core::TimePoint now = core::TimePoint(1s);
    RaftNode node;

    explicit NodeFixture(uint64_t term = FirstTerm, const std::vector<uint64_t> &commandTerms = {})
        : node(RaftSettings{.member = "a/0"}, restoredState(term, commandTerms), now)
    {
    }

    // Returns a state in `term` whose log has the configuration and one command per term given.
    static RestoredState restoredState(uint64_t term, const std::vector<uint64_t> &commandTerms)
    {
        const std::vector<std::string> voters{"a/0", "b/0", "c/0"};
        RestoredState restored;
        restored.hardState.set_term(term);
        restored.entries.push_back(*firstConfigurationEntry(voters, "a/0"));
        for (const uint64_t commandTerm : commandTerms) {
            proto::LogEntry &entry = restored.entries.emplace_back();
            entry.set_term(commandTerm);
            entry.set_index(restored.entries.size());
            entry.set_kind(proto::COMMAND);
        }
        return restored;
    }

    // Returns a message to the node, without content.
    proto::RaftMessage messageFrom(const std::string &member, uint64_t term) const
    {
        proto::RaftMessage message;
        message.set_from(member);
        message.set_to("a/0");
        message.set_term(term);
        return message;
    }

    // Takes everything that is ready and reports it as stored.
    Ready takeAllReady()
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

    // Has b/0 grant a vote or a pre-vote.
    void receiveGrant(bool preVote, uint64_t term)
    {
        proto::RaftMessage message = this->messageFrom("b/0", term);
        message.mutable_vote_reply()->set_granted(true);
        message.mutable_vote_reply()->set_pre_vote(preVote);
        this->node.step(message, this->now);
        this->takeAllReady();
    }

    // Lets the election timeout pass and has the node win the election.
    void becomeLeader()
    {
        this->now += 1s;
        this->node.tick(this->now);
        this->takeAllReady();
        this->receiveGrant(true, this->node.term() + 1);
        this->receiveGrant(false, this->node.term());
        REQUIRE(this->node.role() == Role::Leader);
    }

    // Has b/0 acknowledge the entries up to `index` and echo a read round.
    Ready receiveAcknowledgement(uint64_t index, uint64_t round = 0)
    {
        proto::RaftMessage message = this->messageFrom("b/0", this->node.term());
        message.mutable_append_reply()->set_success(true);
        message.mutable_append_reply()->set_match_index(index);
        message.mutable_append_reply()->set_read_round(round);
        this->node.step(message, this->now);
        return this->takeAllReady();
    }

    // Requests the node's vote and returns whether it was granted.
    bool grantsVote(const std::string &member, uint64_t term, uint64_t index, uint64_t indexTerm)
    {
        proto::RaftMessage message = this->messageFrom(member, term);
        message.mutable_vote_request()->set_last_log_index(index);
        message.mutable_vote_request()->set_last_log_term(indexTerm);
        this->node.step(message, this->now);
        const Ready ready = this->takeAllReady();
        return ready.messages.size() == 1 && ready.messages.front().vote_reply().granted();
    }
};

} // namespace

TEST_CASE("an entry of an earlier term is not committed by counting its copies")
{
    NodeFixture fixture(3, {2});
    fixture.becomeLeader();
    CHECK(fixture.receiveAcknowledgement(2).committed.empty());
    CHECK(fixture.node.commitIndex() == 0);
    CHECK(fixture.receiveAcknowledgement(3).committed.size() == 3);
}

TEST_CASE("a leader confirms no read and changes no member until its first entry is committed")
{
    NodeFixture fixture(3, {2});
    fixture.becomeLeader();
    REQUIRE(fixture.node.requestRead(fixture.now).ok());
    CHECK(fixture.receiveAcknowledgement(2, 1).confirmedReads.empty());
    CHECK_FALSE(fixture.node.leadsWithCommittedTerm());
    CHECK(fixture.receiveAcknowledgement(3, 1).confirmedReads.size() == 1);
    CHECK(fixture.node.leadsWithCommittedTerm());

    // The same in a second leadership, when the configuration itself is committed already.
    proto::RaftMessage append = fixture.messageFrom("b/0", fixture.node.term() + 1);
    append.mutable_append_request();
    fixture.node.step(append, fixture.now);
    fixture.takeAllReady();
    fixture.becomeLeader();
    CHECK(fixture.node.configurationCommitted());
    const auto change = fixture.node.changeVoters({MemberChangeKind::Remove, "c/0"}, fixture.now);
    CHECK(core::errorCodeOf(change.status()) == core::ErrorCode::ConfigurationChangePending);
    fixture.receiveAcknowledgement(4);
    CHECK(fixture.node.changeVoters({MemberChangeKind::Remove, "c/0"}, fixture.now).ok());
}

TEST_CASE("a read is confirmed only by answers to a round that began after it was requested")
{
    NodeFixture fixture;
    fixture.becomeLeader();
    fixture.receiveAcknowledgement(2);
    REQUIRE(fixture.node.requestRead(fixture.now).ok());
    fixture.takeAllReady();
    REQUIRE(fixture.node.requestRead(fixture.now).ok());
    CHECK(fixture.receiveAcknowledgement(2, 0).confirmedReads.empty());
    const Ready first = fixture.receiveAcknowledgement(2, 1);
    REQUIRE(first.confirmedReads.size() == 1);
    CHECK(first.confirmedReads.front().id == 1);
    CHECK(fixture.receiveAcknowledgement(2, 2).confirmedReads.size() == 1);
}

TEST_CASE(
    "an entry sent before the leader stored it is committed only when the leader has stored it")
{
    NodeFixture fixture;
    fixture.becomeLeader();
    fixture.receiveAcknowledgement(2);
    REQUIRE(fixture.node.propose("early", fixture.now).ok());
    CHECK(fixture.node.takeEarlyMessages().size() == 1);
    proto::RaftMessage message = fixture.messageFrom("b/0", fixture.node.term());
    message.mutable_append_reply()->set_success(true);
    message.mutable_append_reply()->set_match_index(3);
    fixture.node.step(message, fixture.now);
    CHECK(fixture.node.takeReady().committed.empty());
    fixture.node.persisted();
    CHECK(fixture.node.takeReady().committed.size() == 1);
}

TEST_CASE("a leader sends nothing early while its term is not stored")
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

TEST_CASE("a node votes once per term, and only for a log at least as up to date as its own")
{
    NodeFixture fixture(3, {2, 3});
    CHECK_FALSE(fixture.grantsVote("b/0", 4, 9, 2));
    CHECK_FALSE(fixture.grantsVote("b/0", 5, 2, 3));
    CHECK(fixture.grantsVote("b/0", 6, 3, 3));
    CHECK_FALSE(fixture.grantsVote("c/0", 6, 9, 5));
    CHECK(fixture.grantsVote("b/0", 6, 3, 3));
    CHECK_FALSE(fixture.grantsVote("c/0", 5, 9, 5));
    CHECK(fixture.grantsVote("c/0", 7, 3, 3));
}

TEST_CASE("a granted vote is in the hard state to be stored before the reply is sent")
{
    NodeFixture fixture;
    proto::RaftMessage message = fixture.messageFrom("b/0", 5);
    message.mutable_vote_request()->set_last_log_index(1);
    message.mutable_vote_request()->set_last_log_term(1);
    fixture.node.step(message, fixture.now);
    const Ready ready = fixture.node.takeReady();
    REQUIRE(ready.hardState);
    CHECK(ready.hardState->term() == 5);
    CHECK(ready.hardState->voted_for() == "b/0");
    REQUIRE(ready.messages.size() == 1);
    CHECK(ready.messages.front().vote_reply().granted());
}

TEST_CASE(
    "a follower that heard its leader recently grants no vote, except in a leadership transfer")
{
    NodeFixture fixture;
    proto::RaftMessage append = fixture.messageFrom("b/0", 2);
    append.mutable_append_request()->set_previous_index(1);
    append.mutable_append_request()->set_previous_term(1);
    fixture.node.step(append, fixture.now);
    fixture.takeAllReady();
    CHECK(fixture.node.leader() == "b/0");
    CHECK_FALSE(fixture.grantsVote("c/0", 3, 9, 2));
    CHECK(fixture.node.term() == 2);
    proto::RaftMessage transfer = fixture.messageFrom("c/0", 3);
    transfer.mutable_vote_request()->set_last_log_index(9);
    transfer.mutable_vote_request()->set_last_log_term(2);
    transfer.mutable_vote_request()->set_transfer(true);
    fixture.node.step(transfer, fixture.now);
    REQUIRE(fixture.takeAllReady().messages.front().vote_reply().granted());
}

TEST_CASE("messages for another member and replies of an earlier term change nothing")
{
    NodeFixture fixture;
    fixture.becomeLeader();
    const uint64_t term = fixture.node.term();
    proto::RaftMessage message = fixture.messageFrom("b/0", term + 5);
    message.set_to("a/1");
    message.mutable_append_request();
    fixture.node.step(message, fixture.now);
    proto::RaftMessage outdated = fixture.messageFrom("b/0", term - 1);
    outdated.mutable_append_reply()->set_success(true);
    outdated.mutable_append_reply()->set_match_index(2);
    fixture.node.step(outdated, fixture.now);
    CHECK(fixture.node.term() == term);
    CHECK(fixture.node.commitIndex() == 0);
}

TEST_CASE("a member starts elections after a shorter timeout until it first hears from a leader")
{
    // After a power loss, all members start at the same time and callers wait for a leader.
    NodeFixture fixture;
    const RaftSettings settings;
    fixture.now += settings.electionTimeoutMaximum / 4;
    fixture.node.tick(fixture.now);
    CHECK(fixture.node.role() == Role::PreCandidate);
    // Pre-votes never raise the term, however often they are requested.
    fixture.now += settings.electionTimeoutMaximum / 4;
    fixture.node.tick(fixture.now);
    CHECK(fixture.node.term() == FirstTerm);

    proto::RaftMessage heartbeat = fixture.messageFrom("b/0", FirstTerm);
    heartbeat.mutable_append_request();
    fixture.node.step(heartbeat, fixture.now);
    fixture.takeAllReady();
    fixture.now += settings.electionTimeoutMinimum - 1ms;
    fixture.node.tick(fixture.now);
    CHECK(fixture.node.role() == Role::Follower);
}
