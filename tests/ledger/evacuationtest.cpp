// Tests the orders to evacuate data centres and the revision that the ledger gives to each change.
#include "samphirebridge/delta/contentdelta.h"
#include "samphirebridge/ledger/revision.h"
#include "tests/ledger/testledger.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <optional>
#include <random>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::tests;

namespace
{

proto::Command orderCommand(const std::string &dataCentre, bool evacuated, uint64_t knownNumber)
{
    proto::Command command;
    proto::ChangeEvacuation *change = command.mutable_change_evacuation();
    change->set_data_centre(dataCentre);
    change->set_evacuated(evacuated);
    change->set_known_number(knownNumber);
    return command;
}

proto::Command declarationCommand(uint64_t version, const std::string &content)
{
    proto::Command command;
    command.mutable_replace_declaration()->mutable_declaration()->set_version(version);
    command.mutable_replace_declaration()->mutable_declaration()->set_content(content);
    return command;
}

uint64_t revisionIn(const TestLedger &ledger)
{
    return ledger::revisionOf(ledger.ledger.declaration());
}

std::optional<proto::Evacuation> evacuationOf(const TestLedger &ledger,
                                              const std::string &dataCentre)
{
    for (const proto::Evacuation &evacuation : ledger.ledger.declaration().evacuations()) {
        if (evacuation.data_centre() == dataCentre) {
            return evacuation;
        }
    }
    return std::nullopt;
}

uint64_t numberOf(const TestLedger &ledger, const std::string &dataCentre)
{
    const auto evacuation = evacuationOf(ledger, dataCentre);
    return evacuation ? evacuation->number() : 0;
}

bool isEvacuated(const TestLedger &ledger, const std::string &dataCentre)
{
    const auto evacuation = evacuationOf(ledger, dataCentre);
    return evacuation && evacuation->evacuated();
}

} // namespace

// Guards against a fleet whose snapshots and messages change although it orders no evacuation.
TEST_CASE("without an evacuation the revision equals the version and is stored nowhere")
{
    TestLedger ledger;
    for (const uint64_t version : {3, 4, 9}) {
        ledger.apply(declarationCommand(version, "content"));
        CHECK(revisionIn(ledger) == version);
        CHECK(ledger.ledger.declaration().revision() == 0);
        CHECK(ledger.ledger.declarationSince(0).revision() == 0);
    }
}

// Guards against two states of the declaration and the evacuations with one revision, since an
// instance that holds the first would never fetch the second.
TEST_CASE("each change of the declaration or of an evacuation raises the revision")
{
    TestLedger ledger;
    CHECK(ledger.apply(orderCommand("a", true, 0)).change_evacuation().replaced());
    CHECK(revisionIn(ledger) == 1);
    CHECK(ledger.ledger.declaration().version() == 0);
    ledger.apply(declarationCommand(1, "one"));
    CHECK(revisionIn(ledger) == 2);
    CHECK(isEvacuated(ledger, "a"));
    ledger.apply(orderCommand("b", true, 0));
    CHECK(revisionIn(ledger) == 3);
    ledger.apply(declarationCommand(2, "two"));
    CHECK(revisionIn(ledger) == 4);
    ledger.apply(declarationCommand(20, "twenty"));
    CHECK(revisionIn(ledger) == 20);
    CHECK(ledger.ledger.declaration().version() == 20);
    const auto ended = ledger.apply(orderCommand("a", false, numberOf(ledger, "a")));
    CHECK(ended.change_evacuation().revision() == 21);
    REQUIRE(evacuationOf(ledger, "a"));
    CHECK_FALSE(isEvacuated(ledger, "a"));
    CHECK(evacuationOf(ledger, "a")->changed_at_ms() == ledger.nowMs);
    CHECK(isEvacuated(ledger, "b"));
}

// Guards against an instance that rebuilds a wrong content from deltas across evacuations, or that
// keeps the evacuations of an earlier revision.
TEST_CASE("the change since any revision gives the content and all evacuations")
{
    TestLedger ledger;
    std::vector<std::string> contents{""}; // By revision.
    for (uint64_t version = 1; version <= 4; ++version) {
        ledger.apply(declarationCommand(version, fmt::format("content {}", version)));
        contents.push_back(ledger.ledger.declaration().content());
        ledger.apply(orderCommand("a", version % 2 == 1, numberOf(ledger, "a")));
        contents.push_back(ledger.ledger.declaration().content());
    }
    REQUIRE(revisionIn(ledger) == 8);
    for (uint64_t known = 0; known < contents.size(); ++known) {
        const proto::DeclarationChange change = ledger.ledger.declarationSince(known);
        std::string content = change.base_version() == 0 ? "" : contents[known];
        for (const proto::ContentDelta &delta : change.deltas()) {
            const auto next = delta::applyDelta(content, delta);
            REQUIRE(next.ok());
            content = *next;
        }
        CAPTURE(known);
        CHECK(content == "content 4");
        CHECK(change.version() == 4);
        CHECK(ledger::revisionOf(change) == 8);
        REQUIRE(change.evacuations_size() == 1);
        CHECK_FALSE(change.evacuations(0).evacuated());
    }
}

// Guards against an acknowledged order that is refused when it is sent again, and against one that
// raises the revision although nothing changed.
TEST_CASE("an order for the state that is in force is accepted and changes no revision")
{
    TestLedger ledger;
    ledger.apply(orderCommand("a", true, 0));
    const auto again = ledger.apply(orderCommand("a", true, 0));
    CHECK(codeOf(again) == core::ErrorCode::None);
    CHECK_FALSE(again.change_evacuation().replaced());
    CHECK(revisionIn(ledger) == 1);
}

// Guards against an order that was delayed between the instances, or whose outcome was unknown, and
// that undoes a later one which was acknowledged. That one may itself have changed nothing.
TEST_CASE("an order that was overtaken by an acknowledged one changes nothing")
{
    TestLedger ledger;
    ledger.apply(orderCommand("a", true, 0));
    const uint64_t known = numberOf(ledger, "a");
    SECTION("the later orders changed the state")
    {
        ledger.apply(orderCommand("a", false, known));
        ledger.apply(orderCommand("a", true, numberOf(ledger, "a")));
    }
    SECTION("the later order was for the state in force")
    {
        ledger.apply(orderCommand("a", true, known));
    }
    const auto delayed = ledger.apply(orderCommand("a", false, known));
    CHECK(codeOf(delayed) == core::ErrorCode::VersionConflict);
    CHECK(isEvacuated(ledger, "a"));
}

TEST_CASE("an order to start that an end without a start overtook changes nothing")
{
    TestLedger ledger;
    CHECK(codeOf(ledger.apply(orderCommand("a", false, 0))) == core::ErrorCode::None);
    CHECK(revisionIn(ledger) == 0);
    CHECK(codeOf(ledger.apply(orderCommand("a", true, 0))) == core::ErrorCode::VersionConflict);
    CHECK_FALSE(isEvacuated(ledger, "a"));
}

// Guards against replicas that disagree, and against an acknowledged order that is undone by one
// whose sender had read an older number, over random interleavings of reads and submissions.
TEST_CASE("of racing orders none undoes one that was acknowledged after its read")
{
    constexpr int Seeds = 200;
    constexpr int Steps = 60;
    struct Pending {
        bool evacuated = false;
        uint64_t number = 0;
        int readAt = 0;
    };
    for (int seed = 0; seed < Seeds; ++seed) {
        std::mt19937_64 random(seed);
        TestLedger ledger;
        ledger::Ledger replica;
        std::vector<Pending> pending;
        int lastAcknowledged = -1; // The step of the last order that was acknowledged.
        for (int step = 0; step < Steps; ++step) {
            if (pending.empty() || random() % 2 == 0) {
                pending.push_back({random() % 2 == 0, numberOf(ledger, "a"), step});
                continue;
            }
            // Some orders are submitted twice, as when a reply was lost.
            const size_t chosen = random() % pending.size();
            const Pending order = pending[chosen];
            if (random() % 4 != 0) {
                pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(chosen));
            }
            const bool before = isEvacuated(ledger, "a");
            proto::Command command = orderCommand("a", order.evacuated, order.number);
            command.set_proposed_at_ms(ledger.nowMs);
            const auto result = ledger.apply(command);
            replica.apply(command, ledger.index);
            const bool isOvertaken = order.readAt < lastAcknowledged;
            CAPTURE(seed, step);
            CHECK_FALSE((isOvertaken && isEvacuated(ledger, "a") != before));
            if (codeOf(result) == core::ErrorCode::None) {
                CHECK(isEvacuated(ledger, "a") == order.evacuated);
                lastAcknowledged = step;
            }
        }
        CHECK(replica.declaration().SerializeAsString()
              == ledger.ledger.declaration().SerializeAsString());
    }
}

// Guards against a list that grows without bound, which every change carries, and against orders
// for data centres in it that are refused.
TEST_CASE("at most 256 data centres are listed in order")
{
    TestLedger ledger;
    for (int number = 255; number >= 0; --number) {
        const auto result = ledger.apply(orderCommand(fmt::format("dc{:03}", number), true, 0));
        CHECK(codeOf(result) == core::ErrorCode::None);
    }
    const auto refused = ledger.apply(orderCommand("other", true, 0));
    CHECK(codeOf(refused) == core::ErrorCode::InvalidRequest);
    CHECK(refused.error_message().find("256") != std::string::npos);
    CHECK(codeOf(ledger.apply(orderCommand("other", false, 0))) == core::ErrorCode::None);
    CHECK(codeOf(ledger.apply(orderCommand("dc007", true, 0))) == core::ErrorCode::None);
    CHECK(codeOf(ledger.apply(orderCommand("dc007", false, numberOf(ledger, "dc007"))))
          == core::ErrorCode::None);
    const auto &listed = ledger.ledger.declaration().evacuations();
    REQUIRE(listed.size() == 256);
    for (int place = 0; place < listed.size(); ++place) {
        CHECK(listed[place].data_centre() == fmt::format("dc{:03}", place));
    }
}

TEST_CASE("an order for a name that is no valid id is refused")
{
    TestLedger ledger;
    CHECK(codeOf(ledger.apply(orderCommand("", true, 0))) == core::ErrorCode::InvalidName);
    CHECK(codeOf(ledger.apply(orderCommand("a b", true, 0))) == core::ErrorCode::InvalidName);
}

// Guards against evacuations that a restart from a snapshot loses, also before any declaration.
TEST_CASE("a snapshot keeps the evacuations and the revision")
{
    TestLedger ledger;
    SECTION("before any declaration")
    {
        ledger.apply(orderCommand("a", true, 0));
    }
    SECTION("with only the number of an order")
    {
        ledger.apply(orderCommand("a", false, 0));
    }
    SECTION("after a declaration")
    {
        ledger.apply(declarationCommand(7, "seven"));
        ledger.apply(orderCommand("a", true, 0));
    }
    ledger::Ledger restored;
    REQUIRE(restored.restore(ledger.ledger.snapshot()).ok());
    CHECK(restored.declaration().SerializeAsString()
          == ledger.ledger.declaration().SerializeAsString());
}

// Guards against a first evacuation after an update whose revision is below that of the
// declaration.
TEST_CASE("in a snapshot of an earlier release the revision equals the version")
{
    proto::LedgerSnapshot snapshot;
    snapshot.mutable_declaration()->set_version(12);
    snapshot.mutable_declaration()->set_content("twelve");
    TestLedger ledger;
    REQUIRE(ledger.ledger.restore(snapshot).ok());
    CHECK(revisionIn(ledger) == 12);
    ledger.apply(orderCommand("a", true, 0));
    CHECK(revisionIn(ledger) == 13);
    CHECK(ledger.ledger.declaration().version() == 12);
    CHECK(ledger.ledger.declarationSince(12).base_version() == 12);
}
