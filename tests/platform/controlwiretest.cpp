// Tests which calls of operators order an evacuation.
#include "platform/controlwire.h"

#include "platform/names.h"
#include "tests/entry/ledgerscene.h"

#include <catch2/catch.hpp>

#include <string>
#include <string_view>

using namespace samphirebridge;

namespace
{

class WireScene : public entry::tests::LedgerScene
{
public:
    WireScene()
        : node({.holder = {this->self, 1}, .dataCentre = core::DataCentreId("a")},
               this->client,
               this->peers,
               this->counters,
               this->logger)
        , control(this->node, this->client, this->logger)
        , wire(this->control)
    {
    }

    void call(std::string_view method, const std::string &target)
    {
        net::IncomingRequest request;
        request.head.method = method;
        request.head.target = target;
        this->wire.serve(
            request,
            std::make_shared<net::Responder>(std::weak_ptr<net::ServerConnection>(), uint64_t{1}));
        this->runTasks();
    }

    entry::EntryNode node;
    entry::FleetControl control;
    platform::ControlWire wire;
};

const std::string Start(platform::call::StartEvacuation);
const std::string Finish(platform::call::FinishEvacuation);

} // namespace

TEST_CASE("a call to start or to finish orders that for the data centre of its path")
{
    WireScene scene;
    scene.call("POST", Start + "quito-1");
    scene.call("POST", Start + "quito-2?trace=1");
    scene.call("POST", Finish + "quito-1");
    REQUIRE(scene.commands.size() == 3);
    const auto orderAt = [&](size_t place) {
        const proto::ChangeEvacuation &order = scene.commands[place].change_evacuation();
        return order.data_centre() + (order.evacuated() ? " starts" : " ends");
    };
    CHECK(orderAt(0) == "quito-1 starts");
    CHECK(orderAt(1) == "quito-2 starts");
    CHECK(orderAt(2) == "quito-1 ends");
}

// Guards against an order that the operator did not give.
TEST_CASE("calls of another method or without a valid name order nothing")
{
    WireScene scene;
    scene.call("GET", Start + "a");
    scene.call("DELETE", Finish + "a");
    scene.call("POST", Start);
    scene.call("POST", Start + "a%20b");
    scene.call("POST", "/v1/Evacuations.Start");
    scene.call("POST", "/v1/Evacuations.Cancel/a");
    CHECK(scene.commands.empty());
}
