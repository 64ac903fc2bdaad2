// Tests the orders to evacuate data centres as control instances take them.
#include "samphirebridge/entry/fleetcontrol.h"

#include "samphirebridge/core/errors.h"
#include "tests/entry/ledgerscene.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace samphirebridge;
using entry::tests::LedgerScene;

namespace
{

class ControlScene : public LedgerScene
{
public:
    explicit ControlScene(std::vector<std::string> knownDataCentres = {})
        : node({.holder = {this->self, 1}, .dataCentre = core::DataCentreId("a")},
               this->client,
               this->peers,
               this->counters,
               this->logger)
        , control(this->node, this->client, this->logger, std::move(knownDataCentres))
    {
    }

    // Returns the error code of the order's outcome.
    core::ErrorCode order(const std::string &dataCentre, bool evacuated)
    {
        std::optional<absl::Status> outcome;
        this->control.changeEvacuation(
            dataCentre, evacuated, [&](const auto &result) { outcome = result.status(); });
        this->runTasks();
        REQUIRE(outcome);
        this->message = std::string(core::messageOf(*outcome));
        return core::errorCodeOf(*outcome);
    }

    [[nodiscard]] bool isEvacuated() const
    {
        const auto &evacuations = this->ledger.declaration().evacuations();
        return evacuations.size() == 1 && evacuations[0].evacuated();
    }

    entry::EntryNode node;
    entry::FleetControl control;
    std::string message;
};

} // namespace

TEST_CASE("an order is committed with the number that the quorum named, and accepted again")
{
    ControlScene scene;
    CHECK(scene.order("a", true) == core::ErrorCode::None);
    CHECK(scene.isEvacuated());
    CHECK(scene.order("a", true) == core::ErrorCode::None);
    CHECK(scene.order("a", false) == core::ErrorCode::None);
    CHECK_FALSE(scene.isEvacuated());
    REQUIRE(scene.commands.size() == 3);
    CHECK(scene.commands[0].change_evacuation().known_number() == 0);
    CHECK(scene.commands[2].change_evacuation().known_number() == 2);
}

// Guards against a definite refusal of an order that another one overtook: the operator would not
// send it again.
TEST_CASE("an order that another one overtook has no definite outcome")
{
    ControlScene scene;
    std::optional<absl::Status> outcome;
    scene.control.changeEvacuation(
        "a", true, [&](const auto &result) { outcome = result.status(); });
    // The read is answered, and an order through another control instance is committed before the
    // command is submitted.
    scene.evacuate("a", false, 0);
    scene.runTasks();
    REQUIRE(outcome);
    CHECK(core::errorCodeOf(*outcome) == core::ErrorCode::OutcomeUnknown);
    CHECK_FALSE(scene.isEvacuated());
}

TEST_CASE("only data centres of the settings are evacuated, and the error names them")
{
    ControlScene scene({"a", "b"});
    CHECK(scene.order("c", true) == core::ErrorCode::InvalidRequest);
    CHECK(scene.message.find("'c'") != std::string::npos);
    CHECK(scene.message.find("a, b") != std::string::npos);
    CHECK(scene.commands.empty());
    CHECK(scene.order("b", true) == core::ErrorCode::None);
}

TEST_CASE("without known data centres any valid name is accepted")
{
    ControlScene scene;
    CHECK(scene.order("", true) == core::ErrorCode::InvalidName);
    CHECK(scene.order("a b", true) == core::ErrorCode::InvalidName);
    CHECK(scene.commands.empty());
    CHECK(scene.order("quito-1", true) == core::ErrorCode::None);
}

// Guards against a declaration that operators see change by an evacuation.
TEST_CASE("an evacuation before any declaration leaves the declaration unread")
{
    ControlScene scene;
    scene.order("a", true);
    std::optional<absl::Status> outcome;
    scene.control.readDeclaration([&](const auto &read) { outcome = read.status(); });
    scene.runTasks();
    REQUIRE(outcome);
    CHECK(core::errorCodeOf(*outcome) == core::ErrorCode::NotFound);
}

// Guards against control instances that keep a target's cold state to themselves, because they do
// not know which services limit it.
TEST_CASE("a declaration tells the control instances which services limit cold targets")
{
    ControlScene scene;
    forwarding::Declaration declaration;
    declaration.version = 1;
    for (const std::string name : {"limited", "unlimited"}) {
        forwarding::Service &service = declaration.services.emplace_back();
        service.id = core::ServiceId(name);
        service.coldRequestsPerSecond = name == "limited" ? 14 : 0;
    }
    scene.control.replaceDeclaration(declaration, "content", [](const auto &) {});
    scene.runTasks();
    const auto &services = scene.ledger.declaration().cold_limited_services();
    REQUIRE(services.size() == 1);
    CHECK(services[0] == "limited");
}
