#include "tests/ledger/testledger.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::tests;

namespace
{

// Returns a ledger with holders, shares, an opening, a claim, a change, a recall and a shortage.
TestLedger fullLedger()
{
    TestLedger ledger;
    ledger.registerHolder("a", 1);
    ledger.registerHolder("b", 1);
    proto::HolderBatch a = batchOf("a", 1);
    addRequest(a, 800, 800);
    ledger.send(a);
    addOpening(a, 1, 10);
    ledger.send(a);
    ledger.claim("a", 1, 2, "key", 100);
    proto::HolderBatch b = batchOf("b", 1);
    addRequest(b, 500, 500);
    ledger.send(b);
    ledger.topUp("letters", 5, "top-up");
    return ledger;
}

} // namespace

TEST_CASE("a restored ledger returns the same snapshot and the same manifest")
{
    TestLedger ledger = fullLedger();
    const proto::LedgerSnapshot snapshot = ledger.ledger.snapshot();
    CHECK(snapshot.shortages_size() == 1);
    CHECK(snapshot.holders(0).recalls_size() == 1);
    ledger::Ledger restored;
    REQUIRE(restored.restore(snapshot).ok());
    CHECK(restored.snapshot().SerializeAsString() == snapshot.SerializeAsString());
    CHECK(restored.manifestSince(0).SerializeAsString()
          == ledger.ledger.manifestSince(0).SerializeAsString());
}

TEST_CASE("an inconsistent snapshot is refused and changes nothing")
{
    TestLedger ledger = fullLedger();
    const proto::LedgerSnapshot whole = ledger.ledger.snapshot();
    const auto refuses = [&](const proto::LedgerSnapshot &broken) {
        const absl::Status status = ledger.ledger.restore(broken);
        CHECK(ledger.ledger.snapshot().SerializeAsString() == whole.SerializeAsString());
        return core::errorCodeOf(status) == core::ErrorCode::StorageCorrupt;
    };
    proto::LedgerSnapshot broken = whole;
    broken.mutable_budgets(0)->set_billed_tokens(100'000);
    CHECK(refuses(broken));
    broken = whole;
    broken.mutable_budgets(0)->mutable_shares(0)->set_open_tokens(1);
    CHECK(refuses(broken));
    broken = whole;
    broken.mutable_budgets(0)->set_quarantined_tokens(1);
    CHECK(refuses(broken));
    broken = whole;
    broken.mutable_holders()->DeleteSubrange(0, 1);
    CHECK(refuses(broken));
    broken = whole;
    broken.clear_claims();
    CHECK(refuses(broken));
}
