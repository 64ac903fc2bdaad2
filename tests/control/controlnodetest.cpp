// The callers of a control instance whose disk is full, or which lost its leadership.
#include "samphirebridge/control/controlnode.h"
#include "samphirebridge/storage/memorystorage.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

using Node = control::ControlNode<storage::MemoryStorage>;

// A control instance that is one of the voters.
struct Member {
    storage::MemoryStorage storage;
    telemetry::Counters counters;
    telemetry::Logger logger{"control"};
    transport::PeerSet peers{std::vector<transport::PeerAddress>(), counters};
    std::unique_ptr<Node> node;
    core::TimePoint now = core::TimePoint(100s);

    explicit Member(const std::vector<std::string> &voters)
    {
        REQUIRE(consensus::initialise(this->storage, voters, voters.front()).ok());
        const control::LastContact noContact = [](std::string_view /*instance*/) {
            return std::optional<core::TimePoint>();
        };
        auto opened = Node::open(this->storage,
                                 {},
                                 this->peers,
                                 this->counters,
                                 this->logger,
                                 false,
                                 noContact,
                                 this->now);
        REQUIRE(opened.ok());
        this->node = *std::move(opened);
    }

    void advance()
    {
        this->now += 2s;
        this->node->tick(this->now);
        REQUIRE(this->node->flush(this->now).ok());
    }

    // Returns the answer to a question for the newest declaration that arrives `later` from now.
    proto::FetchDeclarationReply askForDeclaration(core::Duration later)
    {
        std::optional<proto::FetchDeclarationReply> answer;
        this->node->fetchDeclaration(
            {}, this->now + later, [&answer](const proto::FetchDeclarationReply &reply) {
                answer = reply;
            });
        REQUIRE(answer);
        return *answer;
    }

    // Submits a command and stores the reply's status.
    void submit(std::optional<proto::SubmitReply::Status> &status)
    {
        this->node->submit({},
                           [&status](const proto::SubmitReply &reply) { status = reply.status(); });
    }
};

// The only voter of a fleet, which leads.
struct SingleVoter : Member {
    SingleVoter()
        : Member({"control/0"})
    {
        this->advance();
        REQUIRE(this->node->leads());
    }

    [[nodiscard]] bool tellsFullStorage() const
    {
        return this->counters.text().find("\nsamphirebridge_storage_full 1\n") != std::string::npos;
    }
};

// One of three voters; the test acts as the others.
struct MemberOfThree : Member {
    MemberOfThree()
        : Member({"a/0", "b/0", "c/0"})
    {
    }

    void deliver(proto::RaftMessage message, uint64_t term)
    {
        message.set_from("b/0");
        message.set_to("a/0");
        message.set_term(term);
        this->node->step(message, this->now);
        REQUIRE(this->node->flush(this->now).ok());
    }

    // Lets the other voter elect this member in the term, which is the next one.
    void lead(uint64_t term)
    {
        this->advance();
        for (const bool preVote : {true, false}) {
            proto::RaftMessage vote;
            vote.mutable_vote_reply()->set_granted(true);
            vote.mutable_vote_reply()->set_pre_vote(preVote);
            this->deliver(vote, term);
        }
        REQUIRE(this->node->leads());
    }

    // Lets the other voter lead in the term and replace all entries after the first.
    void followOtherLeader(uint64_t term)
    {
        proto::RaftMessage message;
        proto::AppendRequest &request = *message.mutable_append_request();
        request.set_previous_index(1);
        request.set_previous_term(1);
        proto::LogEntry &entry = *request.add_entries();
        entry.set_index(2);
        entry.set_term(term);
        entry.set_kind(proto::NOOP);
        this->deliver(message, term);
        REQUIRE_FALSE(this->node->leads());
    }
};

} // namespace

// Calls on the own instance have no time limit: without an answer they would wait for ever.
TEST_CASE("whoever waits for a control instance is answered when its disk becomes full")
{
    SingleVoter fleet;
    std::optional<proto::SubmitReply::Status> submitted;
    std::optional<bool> readConfirmed;
    fleet.storage.fillAfter(0);
    fleet.submit(submitted);
    fleet.node->readStatus({}, [&readConfirmed](const proto::ReadStatusReply &reply) {
        readConfirmed = reply.confirmed();
    });
    REQUIRE(fleet.node->flush(fleet.now).ok());
    CHECK(submitted == proto::SubmitReply::UNKNOWN);
    CHECK(readConfirmed == false);
    CHECK_FALSE(fleet.node->leads());
    CHECK(fleet.tellsFullStorage());

    std::optional<proto::SubmitReply::Status> meanwhile;
    fleet.submit(meanwhile);
    CHECK(meanwhile == proto::SubmitReply::NOT_LEADER);
    fleet.advance();
    CHECK(fleet.tellsFullStorage());

    fleet.storage.makeRoom();
    fleet.advance();
    CHECK_FALSE(fleet.tellsFullStorage());
    fleet.advance();
    REQUIRE(fleet.node->leads());
    std::optional<proto::SubmitReply::Status> later;
    fleet.submit(later);
    REQUIRE(fleet.node->flush(fleet.now).ok());
    CHECK(later == proto::SubmitReply::APPLIED);
}

// The later proposal took the place of the earlier one, which was then never answered.
TEST_CASE("a proposal that another leader removed is answered, though its index is used again")
{
    MemberOfThree member;
    std::optional<proto::SubmitReply::Status> first;
    std::optional<proto::SubmitReply::Status> second;
    std::optional<proto::SubmitReply::Status> third;
    member.lead(2);
    member.submit(first);
    member.submit(second);
    member.followOtherLeader(3);
    member.lead(4);
    CHECK_FALSE(second.has_value());
    member.submit(third);
    CHECK(second == proto::SubmitReply::UNKNOWN);
    CHECK_FALSE(third.has_value());
    member.node->tick(member.now + 10s);
    CHECK(first == proto::SubmitReply::UNKNOWN);
    CHECK(third == proto::SubmitReply::UNKNOWN);
}

// Guards against a member that is cut off, or has applied less than was committed, and vouches for
// an old declaration.
TEST_CASE("a member vouches for its declaration as of the last commit index that it has applied")
{
    MemberOfThree member;
    CHECK_FALSE(member.askForDeclaration(0ms).confirmed());
    proto::RaftMessage heartbeat;
    heartbeat.mutable_append_request();
    member.deliver(heartbeat, 1);
    CHECK(member.askForDeclaration(0ms).confirmed());
    CHECK(member.askForDeclaration(80ms).confirmed_ms_ago() == 80);

    SECTION("no append arrives")
    {
        CHECK(member.askForDeclaration(5s).confirmed_ms_ago() == 5000);
    }
    SECTION("the leader has committed what this member lacks")
    {
        member.now += 1s;
        heartbeat.mutable_append_request()->set_commit_index(7);
        heartbeat.mutable_append_request()->set_previous_index(7);
        heartbeat.mutable_append_request()->set_previous_term(1);
        member.deliver(heartbeat, 1);
        CHECK(member.askForDeclaration(0ms).confirmed_ms_ago() == 1000);
    }
    SECTION("a leader of an earlier term sends an append")
    {
        member.deliver(heartbeat, 3);
        member.now += 1s;
        member.deliver(heartbeat, 2);
        CHECK(member.askForDeclaration(0ms).confirmed_ms_ago() == 1000);
    }
}

TEST_CASE("a leader vouches for its declaration as of its last contact with a majority")
{
    SingleVoter alone;
    CHECK(alone.askForDeclaration(0ms).confirmed());
    CHECK(alone.askForDeclaration(0ms).confirmed_ms_ago() == 0);

    MemberOfThree member;
    member.lead(2);
    CHECK_FALSE(member.askForDeclaration(0ms).confirmed());
}
