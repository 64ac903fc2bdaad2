// A control instance and its callers while the disk is full.
#include "samphirebridge/control/controlnode.h"
#include "samphirebridge/storage/memorystorage.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

using Node = control::ControlNode<storage::MemoryStorage>;

// The only voter of a fleet, which leads.
struct SingleVoter {
    storage::MemoryStorage storage;
    telemetry::Counters counters;
    telemetry::Logger logger{"control"};
    transport::PeerSet peers{std::vector<transport::PeerAddress>(), counters};
    std::unique_ptr<Node> node;
    core::TimePoint now = core::TimePoint(100s);

    SingleVoter()
    {
        const std::vector<std::string> voters{"control/0"};
        REQUIRE(consensus::initialise(this->storage, voters, "control/0").ok());
        auto opened
            = Node::open(this->storage, {}, this->peers, this->counters, this->logger, this->now);
        REQUIRE(opened.ok());
        this->node = *std::move(opened);
        this->advance();
        REQUIRE(this->node->leads());
    }

    void advance()
    {
        this->now += 2s;
        this->node->tick(this->now);
        REQUIRE(this->node->flush(this->now).ok());
    }

    // Submits a command and stores the reply's status.
    void submit(std::optional<proto::SubmitReply::Status> &status)
    {
        this->node->submit({},
                           [&status](const proto::SubmitReply &reply) { status = reply.status(); });
    }

    [[nodiscard]] bool tellsFullStorage() const
    {
        return this->counters.text().find("\nsamphirebridge_storage_full 1\n") != std::string::npos;
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
