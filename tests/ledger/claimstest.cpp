#include "tests/ledger/testledger.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::tests;

namespace
{

// A ledger with holders "a" and "b", incarnation 1, which have 300 tokens of escrow each.
struct TwoHolders : TestLedger {
    proto::HolderBatch a = batchOf("a", 1);
    proto::HolderBatch b = batchOf("b", 1);

    TwoHolders()
    {
        this->registerHolder("a", 1);
        this->registerHolder("b", 1);
        addRequest(this->a, 300, 300);
        addRequest(this->b, 300, 300);
        this->send(this->a);
        this->send(this->b);
    }

    // Settles the reservation of 100 tokens that a claim of key "key" opened.
    void settleClaim(proto::HolderBatch &batch,
                     uint64_t reservation,
                     int64_t used,
                     proto::RequestOutcome outcome)
    {
        proto::Settlement &settlement = addSettlement(batch, reservation, 100, used);
        settlement.mutable_key()->set_organisation("school");
        settlement.mutable_key()->set_key("key");
        settlement.mutable_answer()->set_outcome(outcome);
        settlement.mutable_answer()->set_body("answer");
        this->send(batch);
    }
};

proto::ClaimVerdict verdictOf(const proto::CommandResult &result)
{
    return result.claim().verdict();
}

} // namespace

TEST_CASE("a key is claimed by one holder, also if resent, and keeps the answer once finished")
{
    TwoHolders ledger;
    CHECK(verdictOf(ledger.claim("a", 1, 1, "key", 100)) == proto::CLAIMED);
    CHECK(verdictOf(ledger.claim("a", 1, 1, "key", 100)) == proto::CLAIMED);
    CHECK(verdictOf(ledger.claim("a", 1, 2, "key", 100)) == proto::RUNNING);
    const proto::CommandResult running = ledger.claim("b", 1, 1, "key", 100);
    CHECK(verdictOf(running) == proto::RUNNING);
    CHECK(running.claim().holder().instance() == "a");
    CHECK(verdictOf(ledger.claim("b", 1, 1, "key", 100, proto::NEVER, "other"))
          == proto::BODY_MISMATCH);
    ledger.settleClaim(ledger.a, 1, 40, proto::RAN);
    const proto::CommandResult finished = ledger.claim("b", 1, 1, "key", 100);
    CHECK(verdictOf(finished) == proto::FINISHED);
    CHECK(finished.claim().answer().body() == "answer");
    CHECK(ledger.budget().billed_tokens() == 40);
}

TEST_CASE("a claim that exceeds the holder's free escrow is refused and changes nothing")
{
    TwoHolders ledger;
    CHECK(codeOf(ledger.claim("a", 1, 1, "key", 301)) == core::ErrorCode::InsufficientTokens);
    CHECK(verdictOf(ledger.claim("b", 1, 1, "key", 300)) == proto::CLAIMED);
    CHECK(codeOf(ledger.claim("b", 1, 2, "key-2", 1)) == core::ErrorCode::InsufficientTokens);
}

TEST_CASE("a repeatable request is taken over from an ended holder and billed once")
{
    TwoHolders ledger;
    ledger.claim("a", 1, 1, "key", 100, proto::REPEATABLE);
    ledger.registerHolder("a", 2);
    CHECK(ledger.ledger.unresolvedClaims().size() == 1);
    CHECK(verdictOf(ledger.claim("b", 1, 7, "key", 100, proto::REPEATABLE)) == proto::TAKEN_OVER);
    CHECK(verdictOf(ledger.claim("b", 1, 7, "key", 100, proto::REPEATABLE)) == proto::CLAIMED);
    CHECK(ledger.ledger.unresolvedClaims().empty());
    ledger.settleClaim(ledger.a, 1, 60, proto::RAN);
    CHECK(ledger.budget().billed_tokens() == 0);
    ledger.settleClaim(ledger.b, 7, 50, proto::RAN);
    ledger.settleClaim(ledger.b, 7, 50, proto::RAN);
    CHECK(ledger.budget().billed_tokens() == 50);
}

TEST_CASE("a claim of a request that may not be repeated stays in doubt until it is resolved once")
{
    TwoHolders ledger;
    ledger.claim("a", 1, 1, "key", 100);
    CHECK(codeOf(ledger.resolve("key", true, "early")) == core::ErrorCode::ClaimNotInDoubt);
    ledger.retire("a", 1, "retire");
    CHECK(verdictOf(ledger.claim("b", 1, 1, "key", 100)) == proto::OUTCOME_UNKNOWN);
    CHECK(ledger.ledger.unresolvedClaims().at(0).tokens.count == 100);
    CHECK(codeOf(ledger.resolve("no-key", true, "none")) == core::ErrorCode::UnknownClaim);
    CHECK(codeOf(ledger.resolve("key", true, "decision")) == core::ErrorCode::None);
    CHECK(codeOf(ledger.resolve("key", true, "decision")) == core::ErrorCode::None);
    CHECK(codeOf(ledger.resolve("key", false, "decision")) == core::ErrorCode::ChangeIdReused);
    CHECK(codeOf(ledger.resolve("key", false, "second")) == core::ErrorCode::ClaimNotInDoubt);
    CHECK(ledger.budget().billed_tokens() == 100);
    ledger.settleClaim(ledger.a, 1, 60, proto::RAN);
    CHECK(ledger.budget().billed_tokens() == 100);
    CHECK(verdictOf(ledger.claim("b", 1, 1, "key", 100)) == proto::FINISHED);
}

TEST_CASE("a late settlement of an ended holder resolves its claim")
{
    TwoHolders ledger;
    ledger.claim("a", 1, 1, "key", 100);
    ledger.retire("a", 1, "retire");
    ledger.settleClaim(ledger.a, 1, 60, proto::RAN);
    CHECK(ledger.ledger.unresolvedClaims().empty());
    CHECK(ledger.budget().billed_tokens() == 60);
    CHECK(codeOf(ledger.resolve("key", true, "decision")) == core::ErrorCode::ClaimNotInDoubt);
}

TEST_CASE("a key whose request did not run can be claimed again, but not by a resent claim")
{
    TwoHolders ledger;
    ledger.claim("a", 1, 1, "key", 100);
    ledger.settleClaim(ledger.a, 1, 0, proto::NOT_RUN);
    CHECK(verdictOf(ledger.claim("a", 1, 1, "key", 100)) == proto::FINISHED);
    CHECK(verdictOf(ledger.claim("b", 1, 1, "key", 100)) == proto::CLAIMED);
    ledger.settleClaim(ledger.b, 1, 10, proto::RAN);
    CHECK(verdictOf(ledger.claim("a", 1, 2, "key", 100)) == proto::FINISHED);
}

TEST_CASE("a finished key is remembered for its retention time, counted by the ledger's time")
{
    TwoHolders ledger;
    ledger.claim("a", 1, 1, "key", 100);
    ledger.settleClaim(ledger.a, 1, 10, proto::RAN);
    ledger.nowMs += 59'999;
    CHECK(verdictOf(ledger.claim("b", 1, 1, "key", 100)) == proto::FINISHED);
    ledger.nowMs += 1;
    ledger.topUp("letters", 1, "later");
    ledger.nowMs -= 30'000; // The next proposer's clock is behind.
    CHECK(verdictOf(ledger.claim("b", 1, 1, "key", 100)) == proto::CLAIMED);
}

TEST_CASE("a claim whose holder reports an unknown outcome is in doubt and unbilled until resolved")
{
    for (const bool ran : {false, true}) {
        TwoHolders ledger;
        const int64_t pool = ledger.budget().pool_tokens();
        ledger.claim("a", 1, 1, "key", 100);
        ledger.settleClaim(ledger.a, 1, 100, proto::UNKNOWN);
        CHECK(ledger.budget().billed_tokens() == 0);
        CHECK(verdictOf(ledger.claim("a", 1, 1, "key", 100)) == proto::OUTCOME_UNKNOWN);
        CHECK(verdictOf(ledger.claim("b", 1, 1, "key", 100)) == proto::OUTCOME_UNKNOWN);
        REQUIRE(ledger.ledger.unresolvedClaims().size() == 1);
        CHECK(ledger.ledger.unresolvedClaims()[0].key.key == "key");

        ledger::Ledger copy;
        REQUIRE(copy.restore(ledger.ledger.snapshot()).ok());
        CHECK(copy.unresolvedClaims().size() == 1);

        CHECK(codeOf(ledger.resolve("key", ran, "decided")) == core::ErrorCode::None);
        CHECK(ledger.ledger.unresolvedClaims().empty());
        CHECK(ledger.budget().billed_tokens() == (ran ? 100 : 0));
        CHECK(ledger.budget().pool_tokens() == pool + (ran ? 0 : 100));
        const proto::CommandResult again = ledger.claim("b", 1, 2, "key", 100);
        CHECK(verdictOf(again) == (ran ? proto::FINISHED : proto::CLAIMED));
    }
}
