// Tests one EscrowBook against scripted answers of the ledger.
#include "samphirebridge/budget/escrowbook.h"
#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::budget;

namespace
{

const core::BudgetId Letters{"letters"};

// An EscrowBook with virtual time, for which the test plays the ledger.
struct TestBook {
    EscrowBook book;
    core::TimePoint now{std::chrono::seconds(100)};
    proto::HolderBatch batch;

    explicit TestBook(int64_t exposure = 1'000)
        : book({core::InstanceId("a"), 1}, optionsWith(exposure))
    {
    }

    static EscrowOptions optionsWith(int64_t exposure)
    {
        EscrowOptions options;
        options.exposureLimit = core::Tokens{exposure};
        return options;
    }

    Decision tryReserve(int64_t tokens, Recording recording = Recording::Batch)
    {
        return this->book.reserve(Letters, core::Tokens{tokens}, this->now, recording);
    }

    // Stores the batch that is due in `batch`. Returns false if none is due.
    bool pollBatch()
    {
        auto due = this->book.nextBatch(this->now);
        this->batch = due.value_or(proto::HolderBatch{});
        return due.has_value();
    }

    // Answers `batch`, and each of its escrow requests with the same grant.
    absl::Status answerBatch(int64_t granted = 0, int64_t pool = 0, int64_t recallable = 0)
    {
        proto::CommandResult result;
        result.mutable_holder_batch()->set_sequence(this->batch.sequence());
        for (const proto::EscrowRequest &request : this->batch.requests()) {
            proto::EscrowGrant *grant = result.mutable_holder_batch()->add_grants();
            grant->set_budget(request.budget());
            grant->set_granted_tokens(granted);
            grant->set_pool_tokens(pool);
            grant->set_recallable_tokens(recallable);
        }
        return this->book.onBatchResult(result, this->now);
    }

    // Lets a flush interval pass, and answers the batch that is due then.
    void exchangeBatch(int64_t granted = 0, int64_t pool = 0, int64_t recallable = 0)
    {
        this->now += std::chrono::milliseconds(100);
        this->pollBatch();
        REQUIRE(this->answerBatch(granted, pool, recallable).ok());
    }

    // Gets escrow through a request that is then abandoned.
    void obtainEscrow(int64_t tokens)
    {
        CHECK(this->tryReserve(1).cause == WaitCause::Grant);
        REQUIRE(this->pollBatch());
        REQUIRE(this->answerBatch(tokens).ok());
    }

    int64_t heldEscrow() const
    {
        return this->book.shares().at(0).escrow.count;
    }
};

// Answers the batch in flight with a recall.
void recallTokens(TestBook &test, int64_t tokens)
{
    proto::CommandResult result;
    result.mutable_holder_batch()->set_sequence(test.batch.sequence());
    result.mutable_holder_batch()->add_recalls()->set_budget(Letters.value);
    result.mutable_holder_batch()->mutable_recalls(0)->set_tokens(tokens);
    REQUIRE(test.book.onBatchResult(result, test.now).ok());
}

} // namespace

TEST_CASE("a waiting request is asked for at once, as a minimum")
{
    TestBook test;
    const Decision decision = test.tryReserve(70);
    CHECK(decision.kind == DecisionKind::Wait);
    CHECK(decision.flushNow);
    REQUIRE(test.pollBatch());
    REQUIRE(test.batch.requests_size() == 1);
    CHECK(test.batch.requests(0).minimum_tokens() == 70);
    CHECK_FALSE(test.tryReserve(20).flushNow); // A batch is in flight.
    REQUIRE(test.answerBatch(70).ok());
    CHECK(test.tryReserve(70).kind == DecisionKind::Reserved);
}

TEST_CASE(
    "a request is exhausted only when the ledger's answers were too small for a settling time")
{
    TestBook test;
    CHECK(test.tryReserve(70).kind == DecisionKind::Wait);
    test.exchangeBatch(0, 30, 39);
    CHECK(test.tryReserve(70).kind == DecisionKind::Wait);
    test.exchangeBatch(0, 30, 40);
    CHECK(test.tryReserve(70).kind == DecisionKind::Wait);
    for (int round = 0; round < 4; ++round) {
        test.exchangeBatch(0, 30, 39);
        (void)test.tryReserve(70);
    }
    const Decision decision = test.tryReserve(70);
    CHECK(decision.kind == DecisionKind::Exhausted);
    CHECK(decision.retryAfter > core::Duration::zero());
    CHECK(test.tryReserve(69).cause == WaitCause::Grant);
    test.now
        += std::chrono::seconds(1); // The last answer is out of date: the ledger is asked again.
    CHECK(test.tryReserve(70).kind == DecisionKind::Wait);
}

TEST_CASE("a request waits for what open requests of the holder are expected to leave unused")
{
    TestBook test;
    test.obtainEscrow(1'000);
    for (int count = 0; count < 100; ++count) { // Requests here use a tenth of their bound.
        const Decision decision = test.tryReserve(10);
        REQUIRE(test.book.settle(decision.reservation, core::Tokens{1}, test.now).ok());
        test.exchangeBatch();
    }
    const Decision open = test.tryReserve(800);
    REQUIRE(open.kind == DecisionKind::Reserved);
    (void)test.tryReserve(500);
    for (int round = 0; round < 5; ++round) {
        test.exchangeBatch();
        CHECK(test.tryReserve(500).kind == DecisionKind::Wait);
    }
    CHECK(test.tryReserve(500).cause == WaitCause::Settlement);
    CHECK(test.tryReserve(900).kind == DecisionKind::Exhausted);
}

TEST_CASE("without an answer from the ledger a request that doesn't fit is unconfirmed")
{
    TestBook test;
    test.obtainEscrow(100);
    REQUIRE(test.tryReserve(60).kind == DecisionKind::Reserved);
    CHECK(test.tryReserve(60).kind == DecisionKind::Wait);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.pollBatch());
    const proto::HolderBatch first = test.batch;
    test.book.onBatchLost(test.now);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.pollBatch());
    CHECK(test.batch.SerializeAsString() == first.SerializeAsString());
    test.now += std::chrono::seconds(2);
    CHECK_FALSE(test.book.inContact(test.now));
    CHECK(test.tryReserve(60).kind == DecisionKind::Unconfirmed);
    CHECK(test.tryReserve(40).kind == DecisionKind::Reserved);
    REQUIRE(test.answerBatch(0).ok());
    CHECK(test.book.inContact(test.now));
}

TEST_CASE("openings without a confirmed record stay within the exposure limit")
{
    TestBook test(100);
    test.obtainEscrow(1'000);
    const Decision first = test.tryReserve(60);
    REQUIRE(first.kind == DecisionKind::Reserved);
    const Decision second = test.tryReserve(60);
    CHECK(second.cause == WaitCause::Opening);
    CHECK(second.flushNow);
    REQUIRE(test.book.settle(first.reservation, core::Tokens{50}, test.now).ok());
    CHECK(test.tryReserve(60).kind == DecisionKind::Wait); // What was used still has no record.
    REQUIRE(test.pollBatch());
    CHECK(test.tryReserve(60).kind == DecisionKind::Wait);
    REQUIRE(test.answerBatch().ok());
    CHECK(test.tryReserve(60).kind == DecisionKind::Reserved);
}

TEST_CASE("in contact a budget may have one second of its ramp's rate open without a record")
{
    TestBook test(4'000);
    test.obtainEscrow(10'000);
    EscrowOptions options = TestBook::optionsWith(4'000);
    options.minIsolationRate = 200;
    test.book.setOptions(options);
    CHECK(test.tryReserve(200).kind == DecisionKind::Reserved);
    CHECK_FALSE(test.book.exceedsContactExposure(core::Tokens{4'000}));
    // The next request waits for the record of the first; one above the limit waits for its own.
    CHECK(test.tryReserve(100).cause == WaitCause::Opening);
    CHECK(test.tryReserve(201).cause == WaitCause::Opening);
    test.exchangeBatch();
    CHECK(test.tryReserve(100).kind == DecisionKind::Reserved);
    CHECK(test.tryReserve(201).kind == DecisionKind::Reserved);
}

TEST_CASE("out of contact the exposure limit grows with time")
{
    TestBook test(100);
    test.obtainEscrow(1'000);
    EscrowOptions options = TestBook::optionsWith(800);
    options.exposureRamp = ExposureRamp{test.now, core::Tokens{100}};
    options.minIsolationRate = 200;
    test.book.setOptions(options);
    CHECK(test.tryReserve(100).kind == DecisionKind::Reserved);
    CHECK(test.tryReserve(80).cause == WaitCause::Ramp); // Covered in 400 ms.
    CHECK(test.tryReserve(200).kind == DecisionKind::Unconfirmed);
    test.now += std::chrono::seconds(1);
    CHECK(test.tryReserve(200).kind == DecisionKind::Reserved);
    test.now += std::chrono::seconds(10);
    CHECK(test.tryReserve(501).kind == DecisionKind::Unconfirmed); // Above the final limit.
    const BudgetInputs inputs = test.book.decisionInputs(Letters, test.now);
    CHECK(inputs.free.count == 700);
    CHECK(inputs.unrecorded.count == 300);
    CHECK(inputs.limit.count == 800);
    CHECK(test.tryReserve(500).kind == DecisionKind::Reserved);
}

TEST_CASE("out of contact the limit grows by the lower of the confirmed and the last reported rate")
{
    TestBook test(100);
    test.obtainEscrow(100'000);
    EscrowOptions options = TestBook::optionsWith(100'000);
    options.minIsolationRate = 200;
    test.book.setOptions(options);
    // About 500 tokens per second, which are reported once.
    for (int count = 0; count < 100; ++count) {
        REQUIRE(test.tryReserve(50).kind == DecisionKind::Reserved);
        test.exchangeBatch();
    }
    const auto ramp = [&test, &options] {
        options.exposureRamp = ExposureRamp{test.now, core::Tokens{100}};
        test.book.setOptions(options);
        test.now += std::chrono::seconds(1);
    };
    ramp();
    const Decision aboveMinimum = test.tryReserve(600);
    REQUIRE(aboveMinimum.kind == DecisionKind::Reserved);
    REQUIRE(test.book.release(aboveMinimum.reservation, test.now).ok());
    CHECK(test.tryReserve(1'500).kind != DecisionKind::Reserved);
    // A higher rate counts once the ledger has confirmed it.
    REQUIRE(test.tryReserve(20'000, Recording::Claim).kind == DecisionKind::Reserved);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.pollBatch());
    REQUIRE(test.batch.isolation_rates_size() == 1);
    CHECK(test.batch.isolation_rates(0).tokens_per_s() > 2'000);
    ramp();
    CHECK(test.tryReserve(1'500).kind != DecisionKind::Reserved);
    REQUIRE(test.answerBatch().ok());
    ramp();
    CHECK(test.tryReserve(1'500).kind == DecisionKind::Reserved);
}

TEST_CASE("a loan counts as unrecorded until the ledger has confirmed it")
{
    TestBook test(100);
    test.obtainEscrow(1'000);
    EscrowOptions options = TestBook::optionsWith(800);
    options.exposureRamp = ExposureRamp{test.now, core::Tokens{100}};
    options.minIsolationRate = 200;
    test.book.setOptions(options);
    proto::LoanRequest request;
    request.set_budget(Letters.value);
    request.set_minimum_tokens(10);
    request.set_wanted_tokens(400);
    const auto loan = test.book.lend(request, test.now);
    REQUIRE(loan);
    CHECK(loan->tokens() == 100);
    CHECK_FALSE(test.book.lend(request, test.now));
    CHECK(test.tryReserve(60).kind == DecisionKind::Wait);
    test.exchangeBatch();
    CHECK(test.batch.loans_size() == 1);
    CHECK(test.tryReserve(60).kind == DecisionKind::Reserved);
}

TEST_CASE("borrowed tokens are lent only after the ledger has confirmed their loan")
{
    TestBook test(10'000);
    test.obtainEscrow(100);
    proto::Loan taken;
    taken.mutable_lender()->set_instance("b");
    taken.mutable_lender()->set_incarnation(1);
    taken.mutable_borrower()->set_instance("a");
    taken.mutable_borrower()->set_incarnation(1);
    taken.set_number(1);
    taken.set_budget(Letters.value);
    taken.set_tokens(1'000);
    test.book.takeLoan(taken);
    proto::LoanRequest request;
    request.set_budget(Letters.value);
    request.set_wanted_tokens(400);
    const auto own = test.book.lend(request, test.now);
    REQUIRE(own);
    CHECK(own->tokens() == 100);
    CHECK_FALSE(test.book.lend(request, test.now));
    test.exchangeBatch();
    const auto passedOn = test.book.lend(request, test.now);
    REQUIRE(passedOn);
    CHECK(passedOn->tokens() == 400);
}

TEST_CASE("a batch that can't hold all records is marked as partial")
{
    TestBook test(10'000);
    test.obtainEscrow(5'000);
    for (int count = 0; count < 1'500; ++count) {
        REQUIRE(test.tryReserve(1).kind == DecisionKind::Reserved);
    }
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.pollBatch());
    CHECK(test.batch.partial());
    REQUIRE(test.answerBatch().ok());
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.pollBatch());
    CHECK_FALSE(test.batch.partial());
}

TEST_CASE("a reservation above the exposure limit is returned once it is recorded")
{
    TestBook test(100);
    test.obtainEscrow(1'000);
    CHECK(test.tryReserve(300).cause == WaitCause::Opening);
    CHECK(test.tryReserve(300).cause == WaitCause::Opening); // Another request.
    REQUIRE(test.pollBatch());
    CHECK(test.batch.openings_size() == 2);
    REQUIRE(test.answerBatch().ok());
    CHECK(test.tryReserve(300).reservation == 1);
    CHECK(test.tryReserve(300).reservation == 2);
    CHECK(test.tryReserve(300).kind == DecisionKind::Wait);
}

TEST_CASE("a recorded reservation that its request does not ask for again is released")
{
    TestBook test(100);
    test.obtainEscrow(1'000);
    (void)test.tryReserve(300);
    test.exchangeBatch();
    test.now += std::chrono::seconds(3);
    REQUIRE(test.pollBatch());
    REQUIRE(test.batch.settlements_size() == 1);
    CHECK(test.batch.settlements(0).used_tokens() == 0);
}

TEST_CASE(
    "tokens that a recorded reservation leaves unused are free once its settlement is confirmed")
{
    TestBook test;
    test.obtainEscrow(100);
    const Decision decision = test.tryReserve(100);
    test.exchangeBatch();
    REQUIRE(test.book.settle(decision.reservation, core::Tokens{30}, test.now).ok());
    CHECK(test.tryReserve(70).kind == DecisionKind::Wait);
    test.exchangeBatch();
    CHECK(test.tryReserve(70).kind == DecisionKind::Reserved);
    CHECK(test.heldEscrow() == 70);
}

TEST_CASE("a settlement is refused after the first, above the bound, and before the claim's answer")
{
    TestBook test;
    test.obtainEscrow(100);
    const Decision decision = test.tryReserve(40);
    const Decision claimed = test.tryReserve(40, Recording::Claim);
    const auto settle = [&](ReservationId reservation, int64_t used) {
        return core::errorCodeOf(test.book.settle(reservation, core::Tokens{used}, test.now));
    };
    CHECK(settle(decision.reservation, 41) == core::ErrorCode::InvalidRequest);
    CHECK(settle(decision.reservation, 40) == core::ErrorCode::None);
    CHECK(settle(decision.reservation, 40) == core::ErrorCode::UnknownReservation);
    CHECK(settle(claimed.reservation, 1) == core::ErrorCode::InvalidRequest);
    REQUIRE(test.book.openClaimed(claimed.reservation).ok());
    CHECK(settle(claimed.reservation, 1) == core::ErrorCode::None);
    CHECK_FALSE(test.book.release(claimed.reservation, test.now).ok());
}

TEST_CASE(
    "a claimed reservation is not reported in a batch, and its release frees the tokens at once")
{
    TestBook test;
    test.obtainEscrow(100);
    const Decision claimed = test.tryReserve(100, Recording::Claim);
    test.exchangeBatch();
    CHECK(test.batch.openings_size() == 0);
    REQUIRE(test.book.release(claimed.reservation, test.now).ok());
    CHECK(test.tryReserve(100).kind == DecisionKind::Reserved);
}

TEST_CASE("a recall returns the free tokens")
{
    TestBook test;
    test.obtainEscrow(100);
    REQUIRE(test.tryReserve(30).kind == DecisionKind::Reserved);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.pollBatch());
    recallTokens(test, 90);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.pollBatch());
    REQUIRE(test.batch.returns_size() == 1);
    CHECK(test.batch.returns(0).tokens() == 70);
    CHECK(test.heldEscrow() == 30);
}

TEST_CASE("escrow covers the demand of the horizon and is returned when idle")
{
    TestBook test(1'000'000);
    test.obtainEscrow(100);
    int64_t wanted = 0;
    for (int round = 0; round < 200; ++round) { // 100 tokens a second.
        const Decision decision = test.tryReserve(10);
        if (decision.kind == DecisionKind::Reserved) {
            REQUIRE(test.book.settle(decision.reservation, core::Tokens{10}, test.now).ok());
        }
        test.now += std::chrono::milliseconds(100);
        if (test.pollBatch()) {
            wanted = test.batch.requests_size() > 0 ? test.batch.requests(0).wanted_tokens() : 0;
            REQUIRE(test.answerBatch(wanted, 1'000'000).ok());
        }
    }
    const int64_t covered = test.heldEscrow(); // 60 s at 86 to 100 tokens a second, or half of it.
    CHECK(covered > 2'500);
    CHECK(covered < 6'100);
    test.now += std::chrono::minutes(3);
    REQUIRE(test.pollBatch());
    REQUIRE(test.batch.returns_size() == 1);
    CHECK(test.batch.returns(0).tokens() == covered);
}

TEST_CASE("results for another batch than the one in flight are ignored")
{
    TestBook test;
    test.obtainEscrow(100);
    const proto::HolderBatch first = test.batch;
    test.now += std::chrono::seconds(1);
    REQUIRE(test.pollBatch());
    const proto::HolderBatch second = test.batch;
    test.batch = first;
    REQUIRE(test.answerBatch(100).ok());
    CHECK(test.heldEscrow() == 100);
    test.now += std::chrono::milliseconds(200);
    CHECK_FALSE(test.pollBatch()); // The second is still in flight.
    test.batch = second;
    REQUIRE(test.answerBatch().ok());
    test.now += std::chrono::seconds(1);
    CHECK(test.pollBatch());
}

TEST_CASE("the book of a retired holder reserves nothing and still reports settlements")
{
    TestBook test;
    test.obtainEscrow(100);
    const Decision decision = test.tryReserve(40);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.pollBatch());
    proto::CommandResult result;
    result.set_error_code(static_cast<uint32_t>(core::ErrorCode::HolderRetired));
    result.mutable_holder_batch()->set_sequence(test.batch.sequence());
    CHECK(core::errorCodeOf(test.book.onBatchResult(result, test.now))
          == core::ErrorCode::HolderRetired);
    CHECK(test.tryReserve(10).kind == DecisionKind::Unconfirmed);
    REQUIRE(test.book.settle(decision.reservation, core::Tokens{40}, test.now).ok());
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.pollBatch());
    CHECK(test.batch.settlements_size() == 1);
}

TEST_CASE("a shutdown settles and returns everything")
{
    TestBook test;
    test.obtainEscrow(100);
    const Decision decision = test.tryReserve(40);
    REQUIRE(test.book.settle(decision.reservation, core::Tokens{10}, test.now).ok());
    auto batch = test.book.shutdownBatch(test.now);
    REQUIRE(batch);
    CHECK(batch->settlements(0).used_tokens() == 10);
    CHECK(batch->returns(0).tokens() == 90);
    CHECK(test.tryReserve(1).kind == DecisionKind::Unconfirmed);
    CHECK_FALSE(test.book.isSettled());
    test.batch = *batch;
    REQUIRE(test.answerBatch().ok());
    CHECK_FALSE(test.book.shutdownBatch(test.now));
    CHECK(test.book.isSettled());
}
