#include "tests/ledger/testledger.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::tests;

TEST_CASE("a resent batch changes nothing and is answered with the first result")
{
    TestLedger ledger;
    ledger.registerHolder("a", 1);
    proto::HolderBatch batch = batchOf("a", 1);
    addRequest(batch, 200, 200);
    const proto::CommandResult first = ledger.sendAs(batch, 1);
    CHECK(first.holder_batch().grants(0).granted_tokens() == 200);
    const proto::CommandResult second = ledger.sendAs(batch, 1);
    CHECK(second.SerializeAsString() == first.SerializeAsString());
    CHECK(ledger.budget().escrow_tokens() == 200);
}

TEST_CASE("a batch is refused if it leaves a gap, comes late or names an unknown holder")
{
    TestLedger ledger;
    ledger.registerHolder("a", 1);
    proto::HolderBatch batch = batchOf("a", 1);
    addRequest(batch, 100, 100);
    CHECK(codeOf(ledger.sendAs(batch, 2)) == core::ErrorCode::SequenceGap);
    CHECK(codeOf(ledger.sendAs(batch, 0)) == core::ErrorCode::SequenceGap);
    CHECK(codeOf(ledger.sendAs(batch, 1)) == core::ErrorCode::None);
    CHECK(codeOf(ledger.sendAs(batch, 2)) == core::ErrorCode::None);
    CHECK(codeOf(ledger.sendAs(batch, 1)) == core::ErrorCode::SequenceGap);
    CHECK(codeOf(ledger.sendAs(batchOf("b", 1), 1)) == core::ErrorCode::UnknownHolder);
    CHECK(ledger.budget().escrow_tokens() == 200);
}

TEST_CASE("a settlement bills the used tokens and leaves the rest in the holder's escrow")
{
    TestLedger ledger;
    ledger.registerHolder("a", 1);
    proto::HolderBatch batch = batchOf("a", 1);
    addRequest(batch, 300, 300);
    ledger.send(batch);
    addOpening(batch, 1, 100);
    ledger.send(batch);
    addSettlement(batch, 1, 100, 30);
    addSettlement(batch, 2, 50, 20); // Opened and settled between two batches.
    ledger.send(batch);
    CHECK(ledger.budget().billed_tokens() == 50);
    CHECK(ledger.budget().escrow_tokens() == 250);
    addReturn(batch, 1'000);
    ledger.send(batch);
    CHECK(ledger.budget().escrow_tokens() == 0);
    CHECK(ledger.budget().pool_tokens() == 950);
}

TEST_CASE("demand is granted a share of the pool, a waiting request all that it needs")
{
    TestLedger ledger;
    ledger.registerHolder("a", 1);
    ledger.registerHolder("b", 1);
    proto::HolderBatch a = batchOf("a", 1);
    proto::HolderBatch b = batchOf("b", 1);
    addRequest(a, 100'000, 0);
    const int64_t granted = ledger.send(a).holder_batch().grants(0).granted_tokens();
    CHECK(granted == 500);
    addRequest(b, 450, 450);
    CHECK(ledger.send(b).holder_batch().grants(0).granted_tokens() == 450);
    addRequest(a, 100'000, 0);
    const proto::CommandResult last = ledger.send(a);
    CHECK(last.holder_batch().grants(0).granted_tokens() < 50);
    CHECK(last.holder_batch().grants(0).recallable_tokens() == 450);
}

TEST_CASE("free escrow is recalled for a request that waits at another holder")
{
    TestLedger ledger;
    ledger.registerHolder("a", 1);
    ledger.registerHolder("b", 1);
    proto::HolderBatch a = batchOf("a", 1);
    proto::HolderBatch b = batchOf("b", 1);
    addRequest(a, 900, 900);
    ledger.send(a);
    addRequest(b, 400, 400);
    const proto::CommandResult partialGrant = ledger.send(b);
    CHECK(partialGrant.holder_batch().grants(0).granted_tokens() == 100);
    CHECK(partialGrant.holder_batch().grants(0).recallable_tokens() == 900);
    const proto::CommandResult recalled = ledger.send(a);
    REQUIRE(recalled.holder_batch().recalls_size() == 1);
    CHECK(recalled.holder_batch().recalls(0).tokens() == 300);
    addReturn(a, 300);
    addRequest(a, 300, 0);
    CHECK(ledger.send(a).holder_batch().grants(0).granted_tokens() == 0);
    addRequest(b, 300, 300);
    CHECK(ledger.send(b).holder_batch().grants(0).granted_tokens() == 300);
}

TEST_CASE("escrow is recalled from other holders if the first one does not respond")
{
    TestLedger ledger;
    proto::HolderBatch holders[] = {batchOf("a", 1), batchOf("b", 1), batchOf("c", 1)};
    const int64_t shares[] = {500, 300, 200};
    for (int index = 0; index < 3; ++index) {
        ledger.registerHolder(holders[index].holder().instance(), 1);
        addRequest(holders[index], shares[index], shares[index]);
        ledger.send(holders[index]);
    }
    addRequest(holders[2], 250, 250);
    ledger.send(holders[2]);
    // "a" has more free escrow, so it is asked first.
    CHECK(ledger.send(holders[1]).holder_batch().recalls_size() == 0);
    ledger.nowMs += 300;
    addRequest(holders[2], 250, 250);
    ledger.send(holders[2]);
    const proto::HolderBatchResult result = ledger.send(holders[1]).holder_batch();
    REQUIRE(result.recalls_size() == 1);
    CHECK(result.recalls(0).tokens() == 250);
}

TEST_CASE("a request that the whole free budget can't cover gets no priority and no recalls")
{
    TestLedger ledger;
    ledger.registerHolder("a", 1);
    ledger.registerHolder("b", 1);
    proto::HolderBatch a = batchOf("a", 1);
    proto::HolderBatch b = batchOf("b", 1);
    addRequest(a, 600, 600);
    ledger.send(a);
    addRequest(b, 1'001, 1'001);
    const proto::EscrowGrant grant = ledger.send(b).holder_batch().grants(0);
    CHECK(grant.granted_tokens() == 133); // Only its share of the pool, as for other demand.
    CHECK(grant.pool_tokens() + grant.recallable_tokens() + grant.granted_tokens() == 1'000);
    CHECK(ledger.send(a).holder_batch().recalls_size() == 0);
}
