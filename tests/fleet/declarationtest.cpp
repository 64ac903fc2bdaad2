// Tests on real processes that declarations with many routes reach all instances.
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <random>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

// Generates versions of a declaration whose routes have long random names, which compress badly.
class LargeDeclaration
{
public:
    explicit LargeDeclaration(int routes)
    {
        std::mt19937_64 random(1);
        for (int index = 0; index < routes; ++index) {
            std::string name;
            for (int part = 0; part < 8; ++part) {
                name += fmt::format("{:016x}", random());
            }
            this->document["Routes"].push_back({{"Name", name},
                                                {"Host", "a.example"},
                                                {"PathPrefix", fmt::format("/r{}/", index)},
                                                {"Kind", "idempotent"},
                                                {"TimeoutMs", 1000},
                                                {"Service", "s"}});
        }
        this->document["Services"] = {{{"Name", "s"}}};
    }

    // Returns the next version, with one route's timeout changed.
    std::string next()
    {
        ++this->version;
        this->document["Version"] = this->version;
        auto &routes = this->document["Routes"];
        routes[this->version % routes.size()]["TimeoutMs"] = 1000 + this->version;
        return this->document.dump();
    }

    uint64_t version = 0;

private:
    nlohmann::json document;
};

std::string smallDeclaration()
{
    return R"({"Version":1,"Routes":[],"Services":[{"Name":"s"}]})";
}

constexpr int Instances = 5;

FleetOptions optionsOf(uint16_t basePort)
{
    return {.basePort = basePort,
            .instances = Instances,
            .relays = true,
            .maximumBodyBytes = 1 << 22,
            .platform = true};
}

// Returns the control bytes that all instances have sent since their start.
double controlBytesSent(Fleet &fleet)
{
    double sent = 0;
    for (int index = 0; index < Instances; ++index) {
        sent += fleet.metric(index, "samphirebridge_control_bytes_sent_total");
    }
    return sent;
}

} // namespace

// Guards against sending the complete declaration to every instance for each change.
TEST_CASE("a change of one route among many sends few bytes between instances")
{
    constexpr int Changes = 10;
    Fleet fleet(optionsOf(25500));
    fleet.start();
    LargeDeclaration declaration(1400);
    const std::string first = declaration.next();
    fleet.sendDeclaration(0, first);
    fleet.waitForDeclaration(declaration.version);
    const double before = controlBytesSent(fleet);
    for (int change = 0; change < Changes; ++change) {
        fleet.sendDeclaration(change % 3, declaration.next());
        fleet.waitForDeclaration(declaration.version);
    }
    const double perChange = (controlBytesSent(fleet) - before) / Changes;
    INFO(perChange << " bytes a change; the declaration has " << first.size() << " bytes");
    CHECK(perChange < static_cast<double>(first.size()) / 10);
}

// Guards against resending a message forever that is too large to arrive within its timeout, and
// against reports to the ledger that are delayed behind it until the instance counts as isolated.
TEST_CASE("a large declaration comes into force over slow links and no instance becomes isolated")
{
    Fleet fleet(optionsOf(25600));
    fleet.start();
    fleet.sendDeclaration(0, smallDeclaration());
    fleet.waitForDeclaration(1);
    fleet.limitLinkRates(250'000);
    LargeDeclaration declaration(1400);
    declaration.version = 1;
    fleet.sendDeclaration(0, declaration.next());
    fleet.waitForDeclaration(declaration.version);
    for (int index = 0; index < Instances; ++index) {
        INFO("instance " << index);
        CHECK(fleet.log(index).find("event=isolation_noticed") == std::string::npos);
    }
}

// Guards against an instance that keeps an incomplete declaration after a restart and never gets
// the rest.
TEST_CASE(
    "an instance that is killed while it receives a declaration gets the newest after its restart")
{
    constexpr int Restarted = 4;
    Fleet fleet(optionsOf(25700));
    fleet.start();
    LargeDeclaration declaration(1400);
    fleet.sendDeclaration(0, declaration.next());
    fleet.waitForDeclaration(declaration.version);
    fleet.limitLinkRates(250'000);
    for (int round = 0; round < 3; ++round) {
        fleet.instance(Restarted).kill();
        fleet.startInstance(Restarted);
        fleet.sendDeclaration(round, declaration.next());
    }
    fleet.resetLinks(Restarted);
    fleet.sendDeclaration(0, declaration.next());
    fleet.waitForDeclaration(declaration.version);
}
