#include "samphirebridge/delta/contentdelta.h"
#include "tests/ledger/testledger.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::tests;

namespace
{

// Returns a command that replaces the declaration; the delta starts from the base version's
// content.
proto::Command
replaceCommand(uint64_t version, uint64_t baseVersion, const proto::ContentDelta &delta)
{
    proto::Command command;
    proto::ReplaceDeclaration *replace = command.mutable_replace_declaration();
    replace->mutable_declaration()->set_version(version);
    replace->set_base_version(baseVersion);
    *replace->mutable_content_delta() = delta;
    return command;
}

// Returns the content after applying the change's deltas.
std::string contentAfter(std::string content, const proto::DeclarationChange &change)
{
    for (const proto::ContentDelta &delta : change.deltas()) {
        const auto next = delta::applyDelta(content, delta);
        REQUIRE(next.ok());
        content = *next;
    }
    return content;
}

} // namespace

TEST_CASE("a declaration is replaced by a delta, and the deltas since a known version are returned")
{
    TestLedger ledger;
    CHECK(ledger.apply(replaceCommand(3, 0, delta::makeDelta("", "one")))
              .replace_declaration()
              .replaced());
    CHECK(ledger.apply(replaceCommand(5, 3, delta::makeDelta("one", "one two")))
              .replace_declaration()
              .replaced());
    CHECK(ledger.ledger.declaration().content() == "one two");
    const proto::DeclarationChange change = ledger.ledger.declarationSince(3);
    CHECK(change.base_version() == 3);
    CHECK(contentAfter("one", change) == "one two");
    const proto::DeclarationChange whole = ledger.ledger.declarationSince(4); // Never in force.
    CHECK(whole.base_version() == 0);
    CHECK(contentAfter("", whole) == "one two");
    CHECK(ledger.ledger.declarationSince(5).deltas_size() == 0);
}

// Guards against applying a delta to another version than the one that it was made from.
TEST_CASE("a delta whose base is no longer in force changes nothing and reports the difference")
{
    TestLedger ledger;
    ledger.apply(replaceCommand(3, 0, delta::makeDelta("", "one")));
    ledger.apply(replaceCommand(4, 3, delta::makeDelta("one", "one two")));
    const auto result = ledger.apply(replaceCommand(5, 3, delta::makeDelta("one", "one three")));
    CHECK(result.replace_declaration().base_differs());
    CHECK_FALSE(result.replace_declaration().replaced());
    CHECK(ledger.ledger.declaration().version() == 4);
    CHECK(ledger.ledger.declaration().content() == "one two");
}

TEST_CASE("a change that was already applied is acknowledged again, whatever its base")
{
    TestLedger ledger;
    ledger.apply(replaceCommand(3, 0, delta::makeDelta("", "one")));
    const proto::Command change = replaceCommand(4, 3, delta::makeDelta("one", "one two"));
    ledger.apply(change);
    const auto again = ledger.apply(change);
    CHECK(codeOf(again) == core::ErrorCode::None);
    CHECK_FALSE(again.replace_declaration().base_differs());
    CHECK(again.replace_declaration().version() == 4);
}

TEST_CASE("a delta with a wrong checksum is refused and changes nothing")
{
    TestLedger ledger;
    ledger.apply(replaceCommand(3, 0, delta::makeDelta("", "one")));
    proto::ContentDelta damaged = delta::makeDelta("one", "one two");
    damaged.set_checksum(damaged.checksum() + 1);
    CHECK(codeOf(ledger.apply(replaceCommand(4, 3, damaged))) == core::ErrorCode::StorageCorrupt);
    CHECK(ledger.ledger.declaration().version() == 3);
}

TEST_CASE("a replica restored from a snapshot applies further deltas and returns the whole content")
{
    TestLedger ledger;
    ledger.apply(replaceCommand(3, 0, delta::makeDelta("", "one")));
    ledger::Ledger restored;
    REQUIRE(restored.restore(ledger.ledger.snapshot()).ok());
    CHECK(restored.declarationSince(0).base_version() == 0);
    restored.apply(replaceCommand(4, 3, delta::makeDelta("one", "one two")), 2);
    CHECK(restored.declaration().content() == "one two");
    CHECK(restored.declarationSince(3).base_version() == 3);
}
