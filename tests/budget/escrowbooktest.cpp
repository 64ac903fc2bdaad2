#include "samphirebridge/budget/escrowbook.h"
#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::budget;

namespace
{

const core::BudgetId Letters{"letters"};

// A book whose ledger answers as the test says.
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

    Decision ask(int64_t tokens, Recording recording = Recording::Batch)
    {
        return this->book.reserve(Letters, core::Tokens{tokens}, this->now, recording);
    }

    bool next()
    {
        auto due = this->book.nextBatch(this->now);
        this->batch = due.value_or(proto::HolderBatch{});
        return due.has_value();
    }

    absl::Status answer(int64_t granted = 0, int64_t pool = 0, int64_t recallable = 0)
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

    // Lets flush intervals pass until a batch is due, and answers it.
    void exchange(int64_t granted = 0, int64_t pool = 0, int64_t recallable = 0)
    {
        this->now += std::chrono::milliseconds(100);
        this->next();
        REQUIRE(this->answer(granted, pool, recallable).ok());
    }

    // Asks for escrow by a request that is then given up.
    void grant(int64_t tokens)
    {
        CHECK(this->ask(1).cause == WaitCause::Grant);
        REQUIRE(this->next());
        REQUIRE(this->answer(tokens).ok());
    }

    int64_t escrow() const
    {
        return this->book.shares().at(0).escrow.count;
    }
};

void recall(TestBook &test, int64_t tokens)
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
    const Decision decision = test.ask(70);
    CHECK(decision.kind == DecisionKind::Wait);
    CHECK(decision.flushNow);
    REQUIRE(test.next());
    REQUIRE(test.batch.requests_size() == 1);
    CHECK(test.batch.requests(0).minimum_tokens() == 70);
    CHECK_FALSE(test.ask(20).flushNow); // A batch is in flight.
    REQUIRE(test.answer(70).ok());
    CHECK(test.ask(70).kind == DecisionKind::Reserved);
}

TEST_CASE(
    "a request is exhausted only when the ledger's answers were too small for a settling time")
{
    TestBook test;
    CHECK(test.ask(70).kind == DecisionKind::Wait);
    test.exchange(0, 30, 39);
    CHECK(test.ask(70).kind == DecisionKind::Wait);
    test.exchange(0, 30, 40);
    CHECK(test.ask(70).kind == DecisionKind::Wait);
    for (int round = 0; round < 4; ++round) {
        test.exchange(0, 30, 39);
        (void)test.ask(70);
    }
    const Decision decision = test.ask(70);
    CHECK(decision.kind == DecisionKind::Exhausted);
    CHECK(decision.retryAfter > core::Duration::zero());
    CHECK(test.ask(69).cause == WaitCause::Grant);
    test.now += std::chrono::seconds(1); // What was told is old: the ledger is asked again.
    CHECK(test.ask(70).kind == DecisionKind::Wait);
}

TEST_CASE("a request waits for what open requests of the holder are expected to leave unused")
{
    TestBook test;
    test.grant(1'000);
    for (int count = 0; count < 100; ++count) { // Requests here use a tenth of their bound.
        const Decision decision = test.ask(10);
        REQUIRE(test.book.settle(decision.reservation, core::Tokens{1}, test.now).ok());
        test.exchange();
    }
    const Decision open = test.ask(800);
    REQUIRE(open.kind == DecisionKind::Reserved);
    (void)test.ask(500);
    for (int round = 0; round < 5; ++round) {
        test.exchange();
        CHECK(test.ask(500).kind == DecisionKind::Wait);
    }
    CHECK(test.ask(500).cause == WaitCause::Settlement);
    CHECK(test.ask(900).kind == DecisionKind::Exhausted);
}

TEST_CASE("without an answer from the ledger a request that doesn't fit is unconfirmed")
{
    TestBook test;
    test.grant(100);
    REQUIRE(test.ask(60).kind == DecisionKind::Reserved);
    CHECK(test.ask(60).kind == DecisionKind::Wait);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.next());
    const proto::HolderBatch first = test.batch;
    test.book.onBatchLost(test.now);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.next());
    CHECK(test.batch.SerializeAsString() == first.SerializeAsString());
    test.now += std::chrono::seconds(2);
    CHECK_FALSE(test.book.inContact(test.now));
    CHECK(test.ask(60).kind == DecisionKind::Unconfirmed);
    CHECK(test.ask(40).kind == DecisionKind::Reserved);
    REQUIRE(test.answer(0).ok());
    CHECK(test.book.inContact(test.now));
}

TEST_CASE("openings without a confirmed record stay within the exposure limit")
{
    TestBook test(100);
    test.grant(1'000);
    const Decision first = test.ask(60);
    REQUIRE(first.kind == DecisionKind::Reserved);
    const Decision second = test.ask(60);
    CHECK(second.cause == WaitCause::Opening);
    CHECK(second.flushNow);
    REQUIRE(test.book.settle(first.reservation, core::Tokens{50}, test.now).ok());
    CHECK(test.ask(60).kind == DecisionKind::Wait); // What was used still has no record.
    REQUIRE(test.next());
    CHECK(test.ask(60).kind == DecisionKind::Wait);
    REQUIRE(test.answer().ok());
    CHECK(test.ask(60).kind == DecisionKind::Reserved);
}

TEST_CASE("in contact a budget may have a second of its ramp open without a record")
{
    TestBook test(4'000);
    test.grant(10'000);
    EscrowOptions options = TestBook::optionsWith(4'000);
    options.leastIsolationRate = 200;
    test.book.setOptions(options);
    CHECK(test.ask(200).kind == DecisionKind::Reserved);
    CHECK_FALSE(test.book.exceedsContactExposure(core::Tokens{4'000}));
    // The next waits for the record of the one before, and a larger one for its own.
    CHECK(test.ask(100).cause == WaitCause::Opening);
    CHECK(test.ask(201).cause == WaitCause::Opening);
    test.exchange();
    CHECK(test.ask(100).kind == DecisionKind::Reserved);
    CHECK(test.ask(201).kind == DecisionKind::Reserved);
}

TEST_CASE("out of contact the exposure limit rises with the time")
{
    TestBook test(100);
    test.grant(1'000);
    EscrowOptions options = TestBook::optionsWith(800);
    options.exposureRamp = ExposureRamp{test.now, core::Tokens{100}};
    options.leastIsolationRate = 200;
    test.book.setOptions(options);
    CHECK(test.ask(100).kind == DecisionKind::Reserved);
    CHECK(test.ask(80).cause == WaitCause::Ramp); // 400 ms off.
    CHECK(test.ask(200).kind == DecisionKind::Unconfirmed);
    test.now += std::chrono::seconds(1);
    CHECK(test.ask(200).kind == DecisionKind::Reserved);
    test.now += std::chrono::seconds(10);
    CHECK(test.ask(501).kind == DecisionKind::Unconfirmed); // Above the limit for good.
    const BudgetInputs inputs = test.book.inputs(Letters, test.now);
    CHECK(inputs.free.count == 700);
    CHECK(inputs.unrecorded.count == 300);
    CHECK(inputs.limit.count == 800);
    CHECK(test.ask(500).kind == DecisionKind::Reserved);
}

TEST_CASE("out of contact the limit rises by the lower of the last two rates that were reported")
{
    TestBook test(100);
    test.grant(100'000);
    EscrowOptions options = TestBook::optionsWith(100'000);
    options.leastIsolationRate = 200;
    test.book.setOptions(options);
    // Some 500 tokens a second, which are reported once.
    for (int count = 0; count < 100; ++count) {
        REQUIRE(test.ask(50).kind == DecisionKind::Reserved);
        test.exchange();
    }
    const auto ramp = [&test, &options] {
        options.exposureRamp = ExposureRamp{test.now, core::Tokens{100}};
        test.book.setOptions(options);
        test.now += std::chrono::seconds(1);
    };
    ramp();
    const Decision beyondLeast = test.ask(600);
    REQUIRE(beyondLeast.kind == DecisionKind::Reserved);
    REQUIRE(test.book.release(beyondLeast.reservation, test.now).ok());
    CHECK(test.ask(1'500).kind != DecisionKind::Reserved);
    // A higher rate counts once the ledger has it.
    REQUIRE(test.ask(20'000, Recording::Claim).kind == DecisionKind::Reserved);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.next());
    REQUIRE(test.batch.isolation_rates_size() == 1);
    CHECK(test.batch.isolation_rates(0).tokens_per_s() > 2'000);
    ramp();
    CHECK(test.ask(1'500).kind != DecisionKind::Reserved);
    REQUIRE(test.answer().ok());
    ramp();
    CHECK(test.ask(1'500).kind == DecisionKind::Reserved);
}

TEST_CASE("a loan counts as open without a record until the ledger has it")
{
    TestBook test(100);
    test.grant(1'000);
    EscrowOptions options = TestBook::optionsWith(800);
    options.exposureRamp = ExposureRamp{test.now, core::Tokens{100}};
    options.leastIsolationRate = 200;
    test.book.setOptions(options);
    proto::LoanRequest request;
    request.set_budget(Letters.value);
    request.set_minimum_tokens(10);
    request.set_wanted_tokens(400);
    const auto loan = test.book.lend(request, test.now);
    REQUIRE(loan);
    CHECK(loan->tokens() == 100);
    CHECK_FALSE(test.book.lend(request, test.now));
    CHECK(test.ask(60).kind == DecisionKind::Wait);
    test.exchange();
    CHECK(test.batch.loans_size() == 1);
    CHECK(test.ask(60).kind == DecisionKind::Reserved);
}

TEST_CASE("borrowed tokens are lent on only when the ledger knows that they were borrowed")
{
    TestBook test(10'000);
    test.grant(100);
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
    test.exchange();
    const auto passedOn = test.book.lend(request, test.now);
    REQUIRE(passedOn);
    CHECK(passedOn->tokens() == 400);
}

TEST_CASE("a report says whether it could not hold everything")
{
    TestBook test(10'000);
    test.grant(5'000);
    for (int count = 0; count < 1'500; ++count) {
        REQUIRE(test.ask(1).kind == DecisionKind::Reserved);
    }
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.next());
    CHECK(test.batch.partial());
    REQUIRE(test.answer().ok());
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.next());
    CHECK_FALSE(test.batch.partial());
}

TEST_CASE("a reservation above the exposure limit is handed out once it is recorded")
{
    TestBook test(100);
    test.grant(1'000);
    CHECK(test.ask(300).cause == WaitCause::Opening);
    CHECK(test.ask(300).cause == WaitCause::Opening); // Another request.
    REQUIRE(test.next());
    CHECK(test.batch.openings_size() == 2);
    REQUIRE(test.answer().ok());
    CHECK(test.ask(300).reservation == 1);
    CHECK(test.ask(300).reservation == 2);
    CHECK(test.ask(300).kind == DecisionKind::Wait);
}

TEST_CASE("a recorded reservation that nobody came back for is released")
{
    TestBook test(100);
    test.grant(1'000);
    (void)test.ask(300);
    test.exchange();
    test.now += std::chrono::seconds(3);
    REQUIRE(test.next());
    REQUIRE(test.batch.settlements_size() == 1);
    CHECK(test.batch.settlements(0).used_tokens() == 0);
}

TEST_CASE("what a recorded reservation leaves unused is free when its settlement is confirmed")
{
    TestBook test;
    test.grant(100);
    const Decision decision = test.ask(100);
    test.exchange();
    REQUIRE(test.book.settle(decision.reservation, core::Tokens{30}, test.now).ok());
    CHECK(test.ask(70).kind == DecisionKind::Wait);
    test.exchange();
    CHECK(test.ask(70).kind == DecisionKind::Reserved);
    CHECK(test.escrow() == 70);
}

TEST_CASE("a settlement is refused twice, beyond its bound, and before the claim's answer")
{
    TestBook test;
    test.grant(100);
    const Decision decision = test.ask(40);
    const Decision claimed = test.ask(40, Recording::Claim);
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

TEST_CASE("a claimed reservation is not opened by a batch, and free again without a claim")
{
    TestBook test;
    test.grant(100);
    const Decision claimed = test.ask(100, Recording::Claim);
    test.exchange();
    CHECK(test.batch.openings_size() == 0);
    REQUIRE(test.book.release(claimed.reservation, test.now).ok());
    CHECK(test.ask(100).kind == DecisionKind::Reserved);
}

TEST_CASE("a recall is honoured with what is free, and not asked back at once")
{
    TestBook test;
    test.grant(100);
    REQUIRE(test.ask(30).kind == DecisionKind::Reserved);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.next());
    recall(test, 90);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.next());
    REQUIRE(test.batch.returns_size() == 1);
    CHECK(test.batch.returns(0).tokens() == 70);
    CHECK(test.escrow() == 30);
}

TEST_CASE("escrow covers the demand of the horizon and is returned when it lies idle")
{
    TestBook test(1'000'000);
    test.grant(100);
    int64_t wanted = 0;
    for (int round = 0; round < 200; ++round) { // 100 tokens a second.
        const Decision decision = test.ask(10);
        if (decision.kind == DecisionKind::Reserved) {
            REQUIRE(test.book.settle(decision.reservation, core::Tokens{10}, test.now).ok());
        }
        test.now += std::chrono::milliseconds(100);
        if (test.next()) {
            wanted = test.batch.requests_size() > 0 ? test.batch.requests(0).wanted_tokens() : 0;
            REQUIRE(test.answer(wanted, 1'000'000).ok());
        }
    }
    const int64_t covered = test.escrow(); // 60 s at 86 to 100 tokens a second, or half of it.
    CHECK(covered > 2'500);
    CHECK(covered < 6'100);
    test.now += std::chrono::minutes(3);
    REQUIRE(test.next());
    REQUIRE(test.batch.returns_size() == 1);
    CHECK(test.batch.returns(0).tokens() == covered);
}

TEST_CASE("results that are late or for another batch are dropped")
{
    TestBook test;
    test.grant(100);
    const proto::HolderBatch first = test.batch;
    test.now += std::chrono::seconds(1);
    REQUIRE(test.next());
    const proto::HolderBatch second = test.batch;
    test.batch = first;
    REQUIRE(test.answer(100).ok());
    CHECK(test.escrow() == 100);
    test.now += std::chrono::milliseconds(200);
    CHECK_FALSE(test.next()); // The second is still in flight.
    test.batch = second;
    REQUIRE(test.answer().ok());
    test.now += std::chrono::seconds(1);
    CHECK(test.next());
}

TEST_CASE("a book whose holder is over reserves nothing and goes on settling")
{
    TestBook test;
    test.grant(100);
    const Decision decision = test.ask(40);
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.next());
    proto::CommandResult result;
    result.set_error_code(static_cast<uint32_t>(core::ErrorCode::HolderRetired));
    result.mutable_holder_batch()->set_sequence(test.batch.sequence());
    CHECK(core::errorCodeOf(test.book.onBatchResult(result, test.now))
          == core::ErrorCode::HolderRetired);
    CHECK(test.ask(10).kind == DecisionKind::Unconfirmed);
    REQUIRE(test.book.settle(decision.reservation, core::Tokens{40}, test.now).ok());
    test.now += std::chrono::milliseconds(100);
    REQUIRE(test.next());
    CHECK(test.batch.settlements_size() == 1);
}

TEST_CASE("a shutdown settles and returns everything")
{
    TestBook test;
    test.grant(100);
    const Decision decision = test.ask(40);
    REQUIRE(test.book.settle(decision.reservation, core::Tokens{10}, test.now).ok());
    auto batch = test.book.shutdownBatch(test.now);
    REQUIRE(batch);
    CHECK(batch->settlements(0).used_tokens() == 10);
    CHECK(batch->returns(0).tokens() == 90);
    CHECK(test.ask(1).kind == DecisionKind::Unconfirmed);
    CHECK_FALSE(test.book.isSettled());
    test.batch = *batch;
    REQUIRE(test.answer().ok());
    CHECK_FALSE(test.book.shutdownBatch(test.now));
    CHECK(test.book.isSettled());
}
