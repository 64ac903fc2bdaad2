// Tests what an instance puts in force of the declaration and of the evacuations, and when it
// counts as confirmed.
#include "samphirebridge/entry/declarationkeeper.h"

#include "samphirebridge/core/errors.h"
#include "tests/entry/ledgerscene.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <map>

using namespace samphirebridge;
using namespace std::chrono_literals;
using entry::tests::LedgerScene;

namespace
{

// A keeper whose questions and requests the scene's ledger answers.
class KeeperScene : public LedgerScene
{
public:
    KeeperScene()
        : keeper(this->self,
                 this->client,
                 this->counters,
                 this->logger,
                 [](const forwarding::Declaration &) {})
    {
        this->keeper.setFetchSender([this](const core::InstanceId &,
                                           const proto::FetchDeclarationRequest &request,
                                           const auto &onReply) {
            ++this->requests;
            this->queue.post([this, request, onReply] {
                proto::FetchDeclarationReply reply = this->source.answer(request, this->ledger);
                reply.set_confirmed(this->hasQuorum);
                onReply(absl::StatusOr<proto::FetchDeclarationReply>(std::move(reply)));
            });
        });
        this->keeper.setRevisionCallback(
            [this](uint64_t inForce, const entry::Evacuations &evacuations) {
                this->revision = inForce;
                this->evacuated.clear();
                for (const proto::Evacuation &evacuation : evacuations) {
                    this->evacuated[evacuation.data_centre()] = evacuation.evacuated();
                }
            });
    }

    void useDeclarations()
    {
        this->keeper.setDecoder(
            [this](const proto::Declaration &held) -> absl::StatusOr<forwarding::Declaration> {
                ++this->decodings;
                if (!this->isReadable) {
                    return core::makeError(core::ErrorCode::InvalidManifest, "unreadable");
                }
                forwarding::Declaration declaration;
                declaration.version = held.version();
                return declaration;
            });
    }

    void run(core::Duration time)
    {
        constexpr core::Duration Step = 500ms;
        for (core::Duration passed{}; passed < time; passed += Step) {
            this->now += Step;
            this->keeper.tick(this->now);
            this->runTasks();
        }
    }

    entry::DeclarationKeeper keeper;
    core::TimePoint now = core::SteadyClock().now();
    uint64_t revision = 0;
    std::map<std::string, bool> evacuated;
    size_t requests = 0;
    size_t decodings = 0;
    bool isReadable = true;
};

} // namespace

// Guards against a fleet of manifests that learns of no evacuation, or that asks for a declaration
// that it never gets.
TEST_CASE("without declarations the evacuations come into force and nothing is fetched in vain")
{
    KeeperScene scene;
    scene.run(500ms);
    CHECK(scene.keeper.isConfirmed());
    scene.requests = 0;
    scene.run(60s);
    constexpr size_t Ticks = 120;
    CHECK(scene.requests <= Ticks);
    CHECK(scene.revision == 0);
    scene.evacuate("a", true, 0);
    scene.run(3s);
    CHECK(scene.revision == 1);
    CHECK(scene.evacuated == std::map<std::string, bool>{{"a", true}});
    scene.evacuate("a", false, 1);
    scene.run(3s);
    CHECK(scene.evacuated == std::map<std::string, bool>{{"a", false}});
}

// Guards against an instance that serves after a restart before it knows the evacuations that the
// quorum named.
TEST_CASE("an instance is not confirmed before the revision that the quorum named is in force")
{
    KeeperScene scene;
    scene.declare(1);
    scene.evacuate("a", true, 0);
    SECTION("with declarations")
    {
        scene.useDeclarations();
    }
    SECTION("without declarations")
    {
    }
    scene.hasQuorum = false;
    scene.run(2s);
    CHECK_FALSE(scene.keeper.isConfirmed());
    scene.hasQuorum = true;
    while (!scene.keeper.isConfirmed()) {
        scene.run(500ms);
    }
    CHECK(scene.revision == 2);
    CHECK(scene.evacuated == std::map<std::string, bool>{{"a", true}});
}

TEST_CASE("an evacuation before any declaration leaves an instance unconfirmed")
{
    KeeperScene scene;
    scene.useDeclarations();
    scene.evacuate("a", true, 0);
    scene.run(5s);
    CHECK(scene.evacuated == std::map<std::string, bool>{{"a", true}});
    CHECK_FALSE(scene.keeper.isConfirmed());
    scene.declare(1);
    scene.run(5s);
    CHECK(scene.keeper.isConfirmed());
    CHECK(scene.revision == 2);
}

// Guards against a decoding of the whole content, and a new start of the routes, at each
// evacuation.
TEST_CASE("an evacuation does not put the declaration in force anew")
{
    KeeperScene scene;
    scene.useDeclarations();
    scene.declare(7);
    scene.run(5s);
    const auto routes = scene.keeper.routeTable();
    scene.evacuate("a", true, 0);
    scene.run(5s);
    CHECK(scene.revision == 8);
    CHECK(scene.decodings == 1);
    CHECK(scene.keeper.routeTable() == routes);
    CHECK(scene.keeper.routeTable()->declaration().version == 7);
}

// Guards against an evacuation that waits until a declaration can be read, and against an instance
// that reports a revision whose declaration is not in force.
TEST_CASE("evacuations are in force beside a declaration that can't be decoded")
{
    KeeperScene scene;
    scene.useDeclarations();
    scene.declare(1);
    scene.run(5s);
    scene.isReadable = false;
    scene.declare(2);
    scene.evacuate("a", true, 0);
    scene.run(5s);
    CHECK(scene.evacuated == std::map<std::string, bool>{{"a", true}});
    CHECK(scene.revision == 1);
}
