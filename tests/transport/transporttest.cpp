#include "instance.pb.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/transport/peerset.h"
#include "samphirebridge/transport/rpcserver.h"

#include <catch2/catch.hpp>

#include <future>

using namespace samphirebridge;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view Address = "127.0.0.1:18461";

transport::RpcHandlers handlersOf(std::promise<proto::Envelope> &received)
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

TEST_CASE("a call comes back with the handler's answer and messages arrive whole")
{
    std::promise<proto::Envelope> received;
    telemetry::Counters counters;
    auto server = transport::RpcServer::start(Address, handlersOf(received), counters);
    REQUIRE(server.ok());
    const transport::PeerSet peers({{core::InstanceId("c1"), std::string(Address)}}, counters);
    transport::PeerChannel *channel = peers.find(core::InstanceId("c1"));
    REQUIRE(channel != nullptr);
    CHECK(peers.find(core::InstanceId("c9")) == nullptr);

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

TEST_CASE("an address that is taken is a typed error")
{
    std::promise<proto::Envelope> received;
    telemetry::Counters counters;
    auto first = transport::RpcServer::start(Address, handlersOf(received), counters);
    REQUIRE(first.ok());
    const auto second = transport::RpcServer::start(Address, handlersOf(received), counters);
    CHECK(core::errorCodeOf(second.status()) == core::ErrorCode::AddressInUse);
}

TEST_CASE("a call to an instance that does not run ends as unreachable or timed out")
{
    telemetry::Counters counters;
    transport::PeerChannel channel("127.0.0.1:18462", counters);
    std::promise<absl::StatusOr<proto::SubmitReply>> answered;
    channel.submit({}, 2s, [&](auto reply) { answered.set_value(std::move(reply)); });
    const auto reply = answered.get_future().get();
    const core::ErrorCode code = core::errorCodeOf(reply.status());
    CHECK((code == core::ErrorCode::Unreachable || code == core::ErrorCode::Timeout));
}

TEST_CASE("channels that go right after their reply leave nothing running in gRPC")
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
