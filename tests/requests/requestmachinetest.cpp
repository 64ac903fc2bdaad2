#include "tests/requests/chatworld.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::requests;
using core::Outcome;
using core::RefusalReason;
using core::RetryReason;

namespace
{

constexpr int64_t Length = 6;
constexpr core::Tokens Price{9};
constexpr core::TimePoint Start{};
constexpr auto Second = std::chrono::seconds(1);
constexpr std::string_view Answer = "{\"paid\":true}";

RequestSpecification plain(proto::RepeatRule rule)
{
    RequestSpecification specification;
    specification.requestKey = "key";
    specification.attemptPrefix = "entry-1";
    specification.repeat = rule;
    specification.path = "/v1/payments";
    specification.body = "{}";
    specification.price = Price;
    specification.reservation = Price;
    specification.deadline = Start + 60 * Second;
    return specification;
}

RequestSpecification chat(bool stream)
{
    RequestSpecification specification = plain(proto::REPEATABLE);
    specification.chat = chatRequest(stream, 20);
    specification.reservation = specification.chat->upperBound();
    return specification;
}

// Drives a machine and keeps the time.
struct Driver {
    RequestMachine machine;
    core::TimePoint now = Start;

    explicit Driver(RequestSpecification specification)
        : machine(std::move(specification))
    {
    }

    Actions operator()(const Event &event)
    {
        return this->machine.handle(event, this->now);
    }

    // Claims, chooses a target and returns the attempt.
    StartAttempt start()
    {
        CHECK(find<ChooseTarget>((*this)(Claimed{})) != nullptr);
        return this->chosen("engine-1");
    }

    StartAttempt chosen(std::string_view target)
    {
        const Actions actions = (*this)(TargetChosen{core::TargetId(target)});
        REQUIRE(find<StartAttempt>(actions) != nullptr);
        return *find<StartAttempt>(actions);
    }

    Actions head(const StartAttempt &attempt, int status = 200)
    {
        return (*this)(
            HeadersArrived{attempt.attempt, status, attempt.attempt, "application/json"});
    }

    Actions failed(const StartAttempt &attempt, RetryReason reason, bool mayHaveLeft = true)
    {
        return (*this)(AttemptFailed{attempt.attempt, reason, mayHaveLeft});
    }
};

void checkReleased(const Actions &actions)
{
    CHECK(find<Release>(actions) != nullptr);
    CHECK(find<Settle>(actions) == nullptr);
    const Refuse *refuse = find<Refuse>(actions);
    CHECK((refuse == nullptr || refuse->outcome == Outcome::NotRun));
    CHECK(std::holds_alternative<Finish>(actions.back()));
}

void checkInDoubt(const Actions &actions)
{
    REQUIRE(find<Settle>(actions) != nullptr);
    CHECK(find<Settle>(actions)->outcome == Outcome::Unknown);
    CHECK(find<Settle>(actions)->used == Price);
    CHECK(find<ChooseTarget>(actions) == nullptr);
    CHECK(find<Release>(actions) == nullptr);
    CHECK((find<Refuse>(actions) == nullptr || find<Refuse>(actions)->outcome == Outcome::Unknown));
    CHECK(std::holds_alternative<Finish>(actions.back()));
}

} // namespace

TEST_CASE("a request that may not be repeated is sent once and settled before it is answered")
{
    Driver drive(plain(proto::NEVER));
    const StartAttempt attempt = drive.start();
    CHECK(attempt.freshConnection);
    drive.head(attempt, 201);
    CHECK(drive(BytesArrived{attempt.attempt, std::string(Answer)}).empty());
    const Actions actions = drive(AnswerEnded{attempt.attempt});
    REQUIRE(actions.size() == 3);
    const auto &settle = std::get<Settle>(actions[0]);
    CHECK(settle.used == Price);
    CHECK(settle.outcome == Outcome::Ran);
    CHECK(settle.answer->body == Answer);
    CHECK(std::get<SendWhole>(actions[1]).status == 201);
    CHECK(drive.machine.finished());
    CHECK(drive(AnswerEnded{attempt.attempt}).empty());
}

TEST_CASE("an end at any step before a byte can have left is told as not run")
{
    const Event end = GENERATE(Event(ShutdownDeadline{}), Event(CallerGone{}), Event(TimerFired{}));
    const bool afterFailedConnect = GENERATE(false, true);
    Driver drive(plain(proto::NEVER));
    if (!afterFailedConnect) {
        drive(Claimed{});
    } else {
        const StartAttempt attempt = drive.start();
        const Actions next = drive.failed(attempt, RetryReason::ConnectFailed, false);
        REQUIRE(find<ChooseTarget>(next) != nullptr);
        CHECK(find<ChooseTarget>(next)->avoid.size() == 1);
    }
    drive.now = Start + 60 * Second;
    checkReleased(drive(end));
}

TEST_CASE("an end before the claim's result waits for it and releases it")
{
    const Event end = GENERATE(Event(ShutdownDeadline{}), Event(CallerGone{}), Event(TimerFired{}));
    Driver drive(plain(proto::NEVER));
    drive.now = Start + 60 * Second;
    const Actions first = drive(end);
    CHECK(find<Release>(first) == nullptr);
    const bool isCallersEnd = std::holds_alternative<CallerGone>(end);
    CHECK((find<Refuse>(first) == nullptr) == isCallersEnd);
    CHECK(drive(end).empty());
    const Actions actions = drive(Claimed{});
    CHECK(actions.size() == 2);
    checkReleased(actions);
}

TEST_CASE("a refused claim is answered as the host says and settles nothing")
{
    Driver drive(plain(proto::NEVER));
    const Actions actions
        = drive(ClaimRefused{RefusalReason::KeyInProgress, Outcome::Unknown, Second});
    REQUIRE(actions.size() == 2);
    CHECK(std::get<Refuse>(actions[0]).reason == RefusalReason::KeyInProgress);
    CHECK(std::get<Refuse>(actions[0]).outcome == Outcome::Unknown);
}

TEST_CASE("a request that may not be repeated stays in doubt at any failure after its dispatch")
{
    const int step = GENERATE(0, 1, 2); // Sent, head arrived, part of the body arrived.
    const int failure = GENERATE(0, 1, 2, 3);
    Driver drive(plain(proto::NEVER));
    const StartAttempt attempt = drive.start();
    if (step > 0) {
        drive.head(attempt);
    }
    if (step > 1) {
        drive(BytesArrived{attempt.attempt, "{"});
    }
    switch (failure) {
    case 0:
        checkInDoubt(drive.failed(attempt, RetryReason::ConnectionBroken));
        break;
    case 1:
        checkInDoubt(drive(ShutdownDeadline{}));
        break;
    case 2:
        drive.now = Start + 30 * Second; // A stall is borne until the deadline.
        CHECK(drive(TimerFired{}).empty());
        drive.now = Start + 60 * Second;
        checkInDoubt(drive(TimerFired{}));
        break;
    default:
        CHECK(drive(CallerGone{}).empty()); // It goes on, so that its outcome gets known.
        checkInDoubt(drive.failed(attempt, RetryReason::WrongLength));
    }
}

TEST_CASE("a payment whose caller left is settled with its answer kept")
{
    Driver drive(plain(proto::NEVER));
    const StartAttempt attempt = drive.start();
    drive(CallerGone{});
    drive.head(attempt);
    drive(BytesArrived{attempt.attempt, std::string(Answer)});
    const Actions actions = drive(AnswerEnded{attempt.attempt});
    REQUIRE(actions.size() == 2);
    CHECK(std::get<Settle>(actions[0]).answer->body == Answer);
}

TEST_CASE("an answer for another attempt is dropped and counted")
{
    const proto::RepeatRule rule = GENERATE(proto::NEVER, proto::REPEATABLE);
    Driver drive(plain(rule));
    const StartAttempt attempt = drive.start();
    const Actions actions
        = drive(HeadersArrived{attempt.attempt, 200, "other", "application/json"});
    CHECK(find<CountForeignAnswer>(actions) != nullptr);
    CHECK(find<CancelAttempt>(actions) != nullptr);
    CHECK((find<ChooseTarget>(actions) != nullptr) == (rule == proto::REPEATABLE));
    CHECK(drive(BytesArrived{attempt.attempt, std::string(Answer)}).empty());
}

TEST_CASE("a target that deduplicates is sent the same key again and stays in doubt at the end")
{
    Driver drive(plain(proto::TARGET_DEDUPLICATES));
    StartAttempt attempt = drive.start();
    for (int i = 1; i < 4; ++i) {
        CHECK(attempt.headers.back().value == "key");
        drive.failed(attempt, RetryReason::ConnectionBroken);
        attempt = drive.chosen("payments-2");
    }
    checkInDoubt(drive.failed(attempt, RetryReason::ConnectionBroken));
}

TEST_CASE(
    "a target that deduplicates is asked again for a caller that left, unless nothing can have run")
{
    const bool mayHaveLeft = GENERATE(true, false);
    Driver drive(plain(proto::TARGET_DEDUPLICATES));
    const StartAttempt attempt = drive.start();
    CHECK(drive(CallerGone{}).empty());
    const Actions actions = drive.failed(attempt, RetryReason::ConnectionBroken, mayHaveLeft);
    CHECK((find<ChooseTarget>(actions) != nullptr) == mayHaveLeft);
    if (!mayHaveLeft) {
        checkReleased(actions);
    }
}

TEST_CASE("a takeover is another dispatch only of what may be repeated")
{
    Driver never(plain(proto::NEVER));
    checkInDoubt(never(Claimed{true}));
    Driver repeatable(plain(proto::REPEATABLE));
    const Actions actions = repeatable(Claimed{true});
    REQUIRE(find<ChooseTarget>(actions) != nullptr);
    CHECK(find<ChooseTarget>(actions)->reason == RetryReason::Takeover);
    CHECK(repeatable.machine.mayHaveRun());
}

TEST_CASE(
    "a repeatable request is retried after refusals and errors but a caller's fault is passed on")
{
    Driver drive(plain(proto::REPEATABLE));
    const Actions refused = drive.head(drive.start(), 503);
    REQUIRE(find<ChooseTarget>(refused) != nullptr);
    CHECK(find<ChooseTarget>(refused)->reason == RetryReason::TargetRefused);
    const Actions failed = drive.head(drive.chosen("b"), 500);
    REQUIRE(find<ChooseTarget>(failed) != nullptr);
    CHECK(find<ChooseTarget>(failed)->reason == RetryReason::TargetError);
    const StartAttempt last = drive.chosen("c");
    drive.head(last, 404);
    const Actions passed = drive(AnswerEnded{last.attempt});
    REQUIRE(find<SendWhole>(passed) != nullptr);
    CHECK(find<SendWhole>(passed)->status == 404);
}

TEST_CASE("without a target the refusal is the host's and the truth about a run")
{
    const bool afterRun = GENERATE(false, true);
    Driver drive(plain(proto::REPEATABLE));
    if (afterRun) {
        drive.failed(drive.start(), RetryReason::ConnectionBroken);
    } else {
        drive(Claimed{});
    }
    const Actions actions = drive(NoTarget{RefusalReason::RetryBudgetExhausted, Second});
    REQUIRE(find<Refuse>(actions) != nullptr);
    CHECK(find<Refuse>(actions)->reason == RefusalReason::RetryBudgetExhausted);
    CHECK(find<Refuse>(actions)->outcome == (afterRun ? Outcome::Unknown : Outcome::NotRun));
    CHECK((find<Release>(actions) != nullptr) == !afterRun);
}

TEST_CASE("a long plain answer is streamed on and not kept")
{
    RequestSpecification specification = plain(proto::REPEATABLE);
    specification.maximumBufferedBytes = 4;
    specification.maximumStoredBytes = 8;
    Driver drive(specification);
    const StartAttempt attempt = drive.start();
    drive.head(attempt);
    CHECK(drive(BytesArrived{attempt.attempt, "1234"}).empty());
    const Actions begun = drive(BytesArrived{attempt.attempt, "5"});
    REQUIRE(begun.size() == 2);
    CHECK(std::get<ForwardBytes>(begun[1]).bytes == "12345");
    CHECK(drive(BytesArrived{attempt.attempt, "6789"}).size() == 1);
    SECTION("to its end")
    {
        const Actions actions = drive(AnswerEnded{attempt.attempt});
        CHECK_FALSE(std::get<Settle>(actions[0]).answer);
        CHECK(find<EndAnswer>(actions) != nullptr);
    }
    SECTION("and broken off, not repeated, when its target fails")
    {
        const Actions actions = drive.failed(attempt, RetryReason::WrongLength);
        REQUIRE(find<EndWithError>(actions) != nullptr);
        CHECK(find<EndWithError>(actions)->reason == RefusalReason::AnswerBroken);
        CHECK(find<EndWithError>(actions)->event.empty());
    }
}

TEST_CASE("a stalled stream is resumed elsewhere with what was delivered")
{
    Driver drive(chat(true));
    const StartAttempt first = drive.start();
    drive.head(first);
    const EngineView engine = readAttempt(first, Length);
    const Actions begun = drive(BytesArrived{first.attempt, tokenChunk(engine, 0)});
    CHECK(find<BeginAnswer>(begun) != nullptr);
    drive.now += 9 * Second;
    CHECK(drive(TimerFired{}).empty());
    drive(BytesArrived{first.attempt, tokenChunk(engine, 1)});
    drive.now += 10 * Second;
    CHECK(drive.machine.nextTimer() == drive.now);
    const Actions stalled = drive(TimerFired{});
    CHECK(find<CancelAttempt>(stalled) != nullptr);
    REQUIRE(find<ChooseTarget>(stalled) != nullptr);
    CHECK(find<ChooseTarget>(stalled)->reason == RetryReason::Stalled);
    const StartAttempt second = drive.chosen("engine-2");
    const EngineView other = readAttempt(second, Length);
    CHECK(other.start == 2);
    CHECK(other.isPrefix);
    CHECK(nlohmann::json::parse(second.body)["max_tokens"] == 18);
    drive.head(second);
    const Actions last = drive(BytesArrived{second.attempt, wholeStream(other, Length)});
    REQUIRE(find<Settle>(last) != nullptr);
    CHECK(find<Settle>(last)->used == core::Tokens{PromptTokens + Length});
    CHECK(find<Settle>(last)->exact);
    CHECK(find<EndAnswer>(last) != nullptr);
}

TEST_CASE("a stream that ended properly but for its terminator is resumed, not taken as whole")
{
    Driver drive(chat(true));
    const StartAttempt attempt = drive.start();
    drive.head(attempt);
    const std::string whole = wholeStream(readAttempt(attempt, Length), Length);
    drive(BytesArrived{attempt.attempt, whole.substr(0, whole.find("data: [DONE]"))});
    const Actions actions = drive(AnswerEnded{attempt.attempt});
    REQUIRE(find<ChooseTarget>(actions) != nullptr);
    CHECK(find<ChooseTarget>(actions)->reason == RetryReason::MissingTerminator);
}

TEST_CASE("a chat that is given up on ends in a typed event and bills what was delivered")
{
    const Event end = GENERATE(Event(ShutdownDeadline{}), Event(TimerFired{}), Event(CallerGone{}));
    Driver drive(chat(true));
    const StartAttempt attempt = drive.start();
    drive.head(attempt);
    drive(BytesArrived{attempt.attempt, tokenChunk(readAttempt(attempt, Length), 0)});
    drive.now = Start + 60 * Second;
    const Actions actions = drive(end);
    CHECK(find<CancelAttempt>(actions) != nullptr);
    REQUIRE(find<Settle>(actions) != nullptr);
    CHECK(find<Settle>(actions)->used == core::Tokens{1});
    CHECK_FALSE(find<Settle>(actions)->exact);
    if (!std::holds_alternative<CallerGone>(end)) {
        REQUIRE(find<EndWithError>(actions) != nullptr);
        CHECK(find<EndWithError>(actions)->outcome == Outcome::Ran);
        CHECK(readStream(find<EndWithError>(actions)->event).error);
    }
}

TEST_CASE("no more than the reservation is settled whatever an engine claims")
{
    RequestSpecification specification = chat(false);
    specification.reservation = core::Tokens{3};
    Driver drive(specification);
    const StartAttempt attempt = drive.start();
    drive.head(attempt);
    const std::string stream = wholeStream(readAttempt(attempt, Length), Length);
    const Actions actions = drive(BytesArrived{attempt.attempt, stream});
    CHECK(std::get<Settle>(actions[0]).used == core::Tokens{3});
    const auto whole = nlohmann::json::parse(std::get<SendWhole>(actions[1]).body);
    CHECK(whole["choices"][0]["message"]["content"] == answerText(Length));
}
