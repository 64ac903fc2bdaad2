#include "instance.pb.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/transport/peerset.h"
#include "samphirebridge/transport/rpcserver.h"

#include <catch2/catch.hpp>

#include <future>
#include <mutex>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view Address = "127.0.0.1:18461";

transport::RpcHandlers makeHandlers(std::promise<proto::Envelope> &received)
{
    transport::RpcHandlers handlers;
    handlers.deliver = [&received](const proto::Envelope &envelope) {
        received.set_value(envelope);
    };
    handlers.submit = [](const proto::SubmitRequest &, auto respond) {
        proto::SubmitReply reply;
        reply.set_status(proto::SubmitReply::NOT_LEADER);
        reply.set_leader_instance("c2");
        respond(reply);
    };
    return handlers;
}

} // namespace

TEST_CASE("a call returns the handler's reply, and a one-way message arrives complete")
{
    std::promise<proto::Envelope> received;
    telemetry::Counters counters;
    auto server = transport::RpcServer::start(Address, makeHandlers(received), counters);
    REQUIRE(server.ok());
    const transport::PeerSet peers({{core::InstanceId("c1"), std::string(Address)}}, counters);
    transport::PeerChannel *channel = peers.channelTo(core::InstanceId("c1"));
    REQUIRE(channel != nullptr);
    CHECK(peers.channelTo(core::InstanceId("c9")) == nullptr);

    std::promise<absl::StatusOr<proto::SubmitReply>> answered;
    channel->submit({}, 10s, [&](auto reply) { answered.set_value(std::move(reply)); });
    const auto reply = answered.get_future().get();
    REQUIRE(reply.ok());
    CHECK(reply->leader_instance() == "c2");

    proto::Envelope envelope;
    envelope.set_from("c2");
    envelope.add_updates()->set_from("c2");
    channel->deliver(envelope);
    CHECK(received.get_future().get().updates_size() == 1);
}

// Guards against envelopes that grow with the queue until a slow link cannot carry them in time.
TEST_CASE("queued messages are sent in order, in envelopes of a bounded size")
{
    constexpr int Messages = 100;
    constexpr size_t MessageBytes = 10'000;
    std::mutex mutex;
    std::vector<proto::Envelope> received;
    std::promise<void> lastReceived;
    std::promise<void> allMessagesQueued;
    const std::shared_future<void> allQueued = allMessagesQueued.get_future().share();
    transport::RpcHandlers handlers;
    handlers.deliver = [&](const proto::Envelope &envelope) {
        allQueued.wait();
        const std::lock_guard lock(mutex);
        received.push_back(envelope);
        const auto &updates = envelope.updates();
        if (updates.rbegin()->instances(0).heartbeat() == Messages) {
            lastReceived.set_value();
        }
    };
    telemetry::Counters counters;
    auto server = transport::RpcServer::start("127.0.0.1:18464", handlers, counters);
    REQUIRE(server.ok());
    transport::PeerChannel channel("127.0.0.1:18464", counters);
    for (int number = 1; number <= Messages; ++number) {
        proto::Envelope envelope;
        proto::InstanceRecord *record = envelope.add_updates()->add_instances();
        record->set_heartbeat(number);
        record->set_id(std::string(MessageBytes, 'x'));
        channel.deliver(envelope);
    }
    allMessagesQueued.set_value();
    lastReceived.get_future().wait();
    const std::lock_guard lock(mutex);
    uint64_t newest = 0;
    for (const proto::Envelope &envelope : received) {
        CHECK(envelope.ByteSizeLong() <= size_t{64} * 1024);
        for (const proto::MembershipUpdate &update : envelope.updates()) {
            CHECK(update.instances(0).heartbeat() > newest);
            newest = update.instances(0).heartbeat();
        }
    }
    CHECK(received.size() > 5);
}

TEST_CASE("listening on an address in use fails with AddressInUse")
{
    std::promise<proto::Envelope> received;
    telemetry::Counters counters;
    auto first = transport::RpcServer::start(Address, makeHandlers(received), counters);
    REQUIRE(first.ok());
    const auto second = transport::RpcServer::start(Address, makeHandlers(received), counters);
    CHECK(core::errorCodeOf(second.status()) == core::ErrorCode::AddressInUse);
}

TEST_CASE("a call to an instance that is not running fails as unreachable or timed out")
{
    telemetry::Counters counters;
    transport::PeerChannel channel("127.0.0.1:18462", counters);
    std::promise<absl::StatusOr<proto::SubmitReply>> answered;
    channel.submit({}, 2s, [&](auto reply) { answered.set_value(std::move(reply)); });
    const auto reply = answered.get_future().get();
    const core::ErrorCode code = core::errorCodeOf(reply.status());
    CHECK((code == core::ErrorCode::Unreachable || code == core::ErrorCode::Timeout));
}

TEST_CASE("channels destroyed right after their reply leave nothing running in gRPC")
{
    constexpr int Rounds = 200;
    telemetry::Counters counters;
    for (int round = 0; round < Rounds; ++round) {
        transport::PeerChannel channel("127.0.0.1:18463", counters);
        std::promise<void> answered;
        channel.submit({}, 2s, [&](const auto & /*reply*/) { answered.set_value(); });
        answered.get_future().wait();
    }
}
