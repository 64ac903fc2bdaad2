#include "tests/requests/chatfixture.h"

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

RequestSpecification plainSpecification(proto::RepeatRule rule)
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

RequestSpecification chatSpecification(bool stream)
{
    RequestSpecification specification = plainSpecification(proto::REPEATABLE);
    specification.chat = chatRequest(stream, 20);
    specification.reservation = specification.chat->reservationBound();
    return specification;
}

// Hands events to a machine at a simulated time.
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

    // Hands in the claim and a target, and returns the attempt that the machine starts.
    StartAttempt startAttempt()
    {
        CHECK(findAction<ChooseTarget>((*this)(Claimed{})) != nullptr);
        return this->reportTarget("engine-1");
    }

    StartAttempt reportTarget(std::string_view target)
    {
        const Actions actions = (*this)(TargetChosen{core::TargetId(target)});
        REQUIRE(findAction<StartAttempt>(actions) != nullptr);
        return *findAction<StartAttempt>(actions);
    }

    Actions receiveHead(const StartAttempt &attempt, int status = 200)
    {
        return (*this)(
            HeadersArrived{attempt.attempt, status, attempt.attempt, "application/json"});
    }

    Actions
    reportFailure(const StartAttempt &attempt, RetryReason reason, bool bytesMayHaveLeft = true)
    {
        return (*this)(AttemptFailed{attempt.attempt, reason, bytesMayHaveLeft});
    }
};

// Checks that the request has ended as one that did not run.
void checkReleased(const Actions &actions)
{
    CHECK(findAction<Release>(actions) != nullptr);
    CHECK(findAction<Settle>(actions) == nullptr);
    const Refuse *refuse = findAction<Refuse>(actions);
    CHECK((refuse == nullptr || refuse->outcome == Outcome::NotRun));
    CHECK(std::holds_alternative<Finish>(actions.back()));
}

// Checks that the request has ended with its claim in doubt and its price quarantined.
void checkInDoubt(const Actions &actions)
{
    REQUIRE(findAction<Settle>(actions) != nullptr);
    CHECK(findAction<Settle>(actions)->outcome == Outcome::Unknown);
    CHECK(findAction<Settle>(actions)->used == Price);
    CHECK(findAction<ChooseTarget>(actions) == nullptr);
    CHECK(findAction<Release>(actions) == nullptr);
    CHECK((findAction<Refuse>(actions) == nullptr
           || findAction<Refuse>(actions)->outcome == Outcome::Unknown));
    CHECK(std::holds_alternative<Finish>(actions.back()));
}

} // namespace

TEST_CASE("a request that may not be repeated is sent once and settled before it is answered")
{
    Driver driver(plainSpecification(proto::NEVER));
    const StartAttempt attempt = driver.startAttempt();
    CHECK(attempt.freshConnection);
    driver.receiveHead(attempt, 201);
    CHECK(driver(BytesArrived{attempt.attempt, std::string(Answer)}).empty());
    const Actions actions = driver(AnswerEnded{attempt.attempt});
    REQUIRE(actions.size() == 3);
    const auto &settle = std::get<Settle>(actions[0]);
    CHECK(settle.used == Price);
    CHECK(settle.outcome == Outcome::Ran);
    CHECK(settle.answer->body == Answer);
    CHECK(std::get<SendWhole>(actions[1]).status == 201);
    CHECK(driver.machine.finished());
    CHECK(driver(AnswerEnded{attempt.attempt}).empty());
}

TEST_CASE("a request that ends before a byte of it can have been sent is reported as not run")
{
    const Event end
        = GENERATE(Event(ShutdownDeadline{}), Event(CallerDisconnected{}), Event(TimerFired{}));
    const bool afterFailedConnect = GENERATE(false, true);
    Driver driver(plainSpecification(proto::NEVER));
    if (!afterFailedConnect) {
        driver(Claimed{});
    } else {
        const StartAttempt attempt = driver.startAttempt();
        const Actions next = driver.reportFailure(attempt, RetryReason::ConnectFailed, false);
        REQUIRE(findAction<ChooseTarget>(next) != nullptr);
        CHECK(findAction<ChooseTarget>(next)->excluded.size() == 1);
    }
    driver.now = Start + 60 * Second;
    checkReleased(driver(end));
}

TEST_CASE("a request that ends before the claim's result releases the claim once it is known")
{
    const Event end
        = GENERATE(Event(ShutdownDeadline{}), Event(CallerDisconnected{}), Event(TimerFired{}));
    Driver driver(plainSpecification(proto::NEVER));
    driver.now = Start + 60 * Second;
    const Actions first = driver(end);
    CHECK(findAction<Release>(first) == nullptr);
    const bool callerDisconnected = std::holds_alternative<CallerDisconnected>(end);
    CHECK((findAction<Refuse>(first) == nullptr) == callerDisconnected);
    CHECK(driver(end).empty());
    const Actions actions = driver(Claimed{});
    CHECK(actions.size() == 2);
    checkReleased(actions);
}

TEST_CASE("a refused claim is answered with the host's reason and outcome, and settles nothing")
{
    Driver driver(plainSpecification(proto::NEVER));
    const Actions actions
        = driver(ClaimRefused{RefusalReason::KeyInProgress, Outcome::Unknown, Second});
    REQUIRE(actions.size() == 2);
    CHECK(std::get<Refuse>(actions[0]).reason == RefusalReason::KeyInProgress);
    CHECK(std::get<Refuse>(actions[0]).outcome == Outcome::Unknown);
}

TEST_CASE(
    "a request that may not be repeated stays in doubt after any failure that follows its dispatch")
{
    const int step = GENERATE(0, 1, 2); // Sent, head arrived, part of the body arrived.
    const int failure = GENERATE(0, 1, 2, 3);
    Driver driver(plainSpecification(proto::NEVER));
    const StartAttempt attempt = driver.startAttempt();
    if (step > 0) {
        driver.receiveHead(attempt);
    }
    if (step > 1) {
        driver(BytesArrived{attempt.attempt, "{"});
    }
    switch (failure) {
    case 0:
        checkInDoubt(driver.reportFailure(attempt, RetryReason::ConnectionBroken));
        break;
    case 1:
        checkInDoubt(driver(ShutdownDeadline{}));
        break;
    case 2:
        driver.now = Start + 30 * Second; // The stall timeout does not apply.
        CHECK(driver(TimerFired{}).empty());
        driver.now = Start + 60 * Second;
        checkInDoubt(driver(TimerFired{}));
        break;
    default:
        CHECK(driver(CallerDisconnected{}).empty()); // It goes on to learn its outcome.
        checkInDoubt(driver.reportFailure(attempt, RetryReason::WrongLength));
    }
}

TEST_CASE(
    "a request that may not be repeated is settled with its answer after its caller disconnects")
{
    Driver driver(plainSpecification(proto::NEVER));
    const StartAttempt attempt = driver.startAttempt();
    driver(CallerDisconnected{});
    driver.receiveHead(attempt);
    driver(BytesArrived{attempt.attempt, std::string(Answer)});
    const Actions actions = driver(AnswerEnded{attempt.attempt});
    REQUIRE(actions.size() == 2);
    CHECK(std::get<Settle>(actions[0]).answer->body == Answer);
}

TEST_CASE("an answer for another attempt is dropped and counted")
{
    const proto::RepeatRule rule = GENERATE(proto::NEVER, proto::REPEATABLE);
    Driver driver(plainSpecification(rule));
    const StartAttempt attempt = driver.startAttempt();
    const Actions actions
        = driver(HeadersArrived{attempt.attempt, 200, "other", "application/json"});
    CHECK(findAction<CountForeignAnswer>(actions) != nullptr);
    CHECK(findAction<CancelAttempt>(actions) != nullptr);
    CHECK((findAction<ChooseTarget>(actions) != nullptr) == (rule == proto::REPEATABLE));
    CHECK(driver(BytesArrived{attempt.attempt, std::string(Answer)}).empty());
}

// Guards against a status that callers can't interpret, and that is kept as the key's answer.
TEST_CASE("an answer whose status is no final status of HTTP is handled by what may have run")
{
    const int status = GENERATE(0, 20, 99, 100, 101, 199, 600, 799, 999);
    Driver never(plainSpecification(proto::NEVER));
    checkInDoubt(never.receiveHead(never.startAttempt(), status));
    const bool isChat = GENERATE(false, true);
    Driver repeatable(isChat ? chatSpecification(GENERATE(false, true))
                             : plainSpecification(proto::REPEATABLE));
    const StartAttempt attempt = repeatable.startAttempt();
    const Actions actions = repeatable.receiveHead(attempt, status);
    CHECK(findAction<CancelAttempt>(actions) != nullptr);
    REQUIRE(findAction<ChooseTarget>(actions) != nullptr);
    CHECK(findAction<ChooseTarget>(actions)->reason == RetryReason::ForeignAnswer);
    CHECK(repeatable(BytesArrived{attempt.attempt, std::string(Answer)}).empty());
}

TEST_CASE("retries at a target that deduplicates keep the key, and the request ends in doubt")
{
    Driver driver(plainSpecification(proto::TARGET_DEDUPLICATES));
    StartAttempt attempt = driver.startAttempt();
    for (int i = 1; i < 4; ++i) {
        CHECK(attempt.headers.back().value == "key");
        driver.reportFailure(attempt, RetryReason::ConnectionBroken);
        attempt = driver.reportTarget("payments-2");
    }
    checkInDoubt(driver.reportFailure(attempt, RetryReason::ConnectionBroken));
}

TEST_CASE("a target that deduplicates is retried without a caller only if the request may have run")
{
    const bool bytesMayHaveLeft = GENERATE(true, false);
    Driver driver(plainSpecification(proto::TARGET_DEDUPLICATES));
    const StartAttempt attempt = driver.startAttempt();
    CHECK(driver(CallerDisconnected{}).empty());
    const Actions actions
        = driver.reportFailure(attempt, RetryReason::ConnectionBroken, bytesMayHaveLeft);
    CHECK((findAction<ChooseTarget>(actions) != nullptr) == bytesMayHaveLeft);
    if (!bytesMayHaveLeft) {
        checkReleased(actions);
    }
}

TEST_CASE("a request that was taken over is sent again only if it may be repeated")
{
    Driver never(plainSpecification(proto::NEVER));
    checkInDoubt(never(Claimed{true}));
    Driver repeatable(plainSpecification(proto::REPEATABLE));
    const Actions actions = repeatable(Claimed{true});
    REQUIRE(findAction<ChooseTarget>(actions) != nullptr);
    CHECK(findAction<ChooseTarget>(actions)->reason == RetryReason::Takeover);
    CHECK(repeatable.machine.mayHaveRun());
}

TEST_CASE("a repeatable request is retried after refusals and server errors, but not after a 404")
{
    Driver driver(plainSpecification(proto::REPEATABLE));
    const Actions refused = driver.receiveHead(driver.startAttempt(), 503);
    REQUIRE(findAction<ChooseTarget>(refused) != nullptr);
    CHECK(findAction<ChooseTarget>(refused)->reason == RetryReason::TargetRefused);
    const Actions failed = driver.receiveHead(driver.reportTarget("b"), 500);
    REQUIRE(findAction<ChooseTarget>(failed) != nullptr);
    CHECK(findAction<ChooseTarget>(failed)->reason == RetryReason::TargetError);
    const StartAttempt last = driver.reportTarget("c");
    driver.receiveHead(last, 404);
    const Actions passed = driver(AnswerEnded{last.attempt});
    REQUIRE(findAction<SendWhole>(passed) != nullptr);
    CHECK(findAction<SendWhole>(passed)->status == 404);
}

TEST_CASE(
    "without a target the refusal has the host's reason and tells whether the request may have run")
{
    const bool afterRun = GENERATE(false, true);
    Driver driver(plainSpecification(proto::REPEATABLE));
    if (afterRun) {
        driver.reportFailure(driver.startAttempt(), RetryReason::ConnectionBroken);
    } else {
        driver(Claimed{});
    }
    const Actions actions = driver(NoTarget{RefusalReason::RetryBudgetExhausted, Second});
    REQUIRE(findAction<Refuse>(actions) != nullptr);
    CHECK(findAction<Refuse>(actions)->reason == RefusalReason::RetryBudgetExhausted);
    CHECK(findAction<Refuse>(actions)->outcome == (afterRun ? Outcome::Unknown : Outcome::NotRun));
    CHECK((findAction<Release>(actions) != nullptr) == !afterRun);
}

TEST_CASE("a long plain answer is streamed and not stored")
{
    RequestSpecification specification = plainSpecification(proto::REPEATABLE);
    specification.maximumBufferedBytes = 4;
    specification.maximumStoredBytes = 8;
    Driver driver(specification);
    const StartAttempt attempt = driver.startAttempt();
    driver.receiveHead(attempt);
    CHECK(driver(BytesArrived{attempt.attempt, "1234"}).empty());
    const Actions begun = driver(BytesArrived{attempt.attempt, "5"});
    REQUIRE(begun.size() == 2);
    CHECK(std::get<ForwardBytes>(begun[1]).bytes == "12345");
    CHECK(driver(BytesArrived{attempt.attempt, "6789"}).size() == 1);
    SECTION("to its end")
    {
        const Actions actions = driver(AnswerEnded{attempt.attempt});
        CHECK_FALSE(std::get<Settle>(actions[0]).answer);
        CHECK(findAction<EndAnswer>(actions) != nullptr);
    }
    SECTION("and broken off, but not retried, when its target fails")
    {
        const Actions actions = driver.reportFailure(attempt, RetryReason::WrongLength);
        REQUIRE(findAction<EndWithError>(actions) != nullptr);
        CHECK(findAction<EndWithError>(actions)->reason == RefusalReason::AnswerBroken);
        CHECK(findAction<EndWithError>(actions)->event.empty());
    }
}

TEST_CASE("a stalled stream is resumed at another target after the delivered text")
{
    Driver driver(chatSpecification(true));
    const StartAttempt first = driver.startAttempt();
    driver.receiveHead(first);
    const EngineView engine = readAttempt(first, Length);
    const Actions begun = driver(BytesArrived{first.attempt, tokenChunk(engine, 0)});
    CHECK(findAction<BeginAnswer>(begun) != nullptr);
    driver.now += 9 * Second;
    CHECK(driver(TimerFired{}).empty());
    driver(BytesArrived{first.attempt, tokenChunk(engine, 1)});
    driver.now += 10 * Second;
    CHECK(driver.machine.nextTimer() == driver.now);
    const Actions stalled = driver(TimerFired{});
    REQUIRE(findAction<ChooseTarget>(stalled) != nullptr);
    CHECK(findAction<ChooseTarget>(stalled)->reason == RetryReason::Stalled);
    const Actions moved = driver(TargetChosen{core::TargetId("engine-2")});
    REQUIRE(moved.size() == 2);
    CHECK(std::get<CancelAttempt>(moved[0]).attempt == first.attempt);
    const auto second = std::get<StartAttempt>(moved[1]);
    const EngineView other = readAttempt(second, Length);
    CHECK(other.start == 2);
    CHECK(other.isPrefix);
    CHECK(nlohmann::json::parse(second.body)["max_tokens"] == 18);
    driver.receiveHead(second);
    const Actions last = driver(BytesArrived{second.attempt, wholeStream(other, Length)});
    REQUIRE(findAction<Settle>(last) != nullptr);
    CHECK(findAction<Settle>(last)->used == core::Tokens{PromptTokens + Length});
    CHECK(findAction<Settle>(last)->exact);
    CHECK(findAction<EndAnswer>(last) != nullptr);
}

// Guards against a sound answer that is given up because its target is silent for a while and the
// router has no other target (issue 36).
TEST_CASE("a request stays at a silent target while the router has no other")
{
    const bool isChat = GENERATE(true, false);
    Driver driver(isChat ? chatSpecification(true) : plainSpecification(proto::REPEATABLE));
    const StartAttempt attempt = driver.startAttempt();
    driver.receiveHead(attempt);
    const std::string whole
        = isChat ? wholeStream(readAttempt(attempt, Length), Length) : std::string(Answer);
    driver(BytesArrived{attempt.attempt, whole.substr(0, whole.size() / 2)});
    for (int search = 0; search < 3; ++search) {
        driver.now = *driver.machine.nextTimer();
        const Actions stalled = driver(TimerFired{});
        CHECK(findAction<CancelAttempt>(stalled) == nullptr);
        REQUIRE(findAction<ChooseTarget>(stalled) != nullptr);
        CHECK(findAction<ChooseTarget>(stalled)->keepsAttempt);
        CHECK(findAction<ChooseTarget>(stalled)->excluded.back() == attempt.target);
        CHECK(driver(NoTarget{RefusalReason::RetryBudgetExhausted, Second}).empty());
        REQUIRE(driver.machine.nextTimer());
        CHECK(driver.machine.nextTimer() > driver.now);
    }
    CHECK(driver.now < Start + 30 * Second);
    const Actions rest = driver(BytesArrived{attempt.attempt, whole.substr(whole.size() / 2)});
    const Actions last = isChat ? rest : driver(AnswerEnded{attempt.attempt});
    CHECK((findAction<EndAnswer>(last) != nullptr || findAction<SendWhole>(last) != nullptr));
    CHECK(driver.machine.finished());
}

// Guards against a silent target's answer that is given up because no attempt is left (issue 36).
TEST_CASE("the last attempt of a request stays at its silent target until the deadline")
{
    RequestSpecification specification = chatSpecification(true);
    specification.maximumAttempts = 1;
    Driver driver(specification);
    const StartAttempt attempt = driver.startAttempt();
    driver.receiveHead(attempt);
    driver(BytesArrived{attempt.attempt, tokenChunk(readAttempt(attempt, Length), 0)});
    driver.now += 20 * Second;
    CHECK(driver(TimerFired{}).empty());
    CHECK(driver.machine.nextTimer() == Start + 60 * Second);
    driver.now = Start + 60 * Second;
    const Actions ended = driver(TimerFired{});
    REQUIRE(findAction<EndWithError>(ended) != nullptr);
    CHECK(findAction<EndWithError>(ended)->reason == RefusalReason::DeadlineExceeded);
}

TEST_CASE("a stream that lacks only its terminator is resumed and not taken as complete")
{
    Driver driver(chatSpecification(true));
    const StartAttempt attempt = driver.startAttempt();
    driver.receiveHead(attempt);
    const std::string whole = wholeStream(readAttempt(attempt, Length), Length);
    driver(BytesArrived{attempt.attempt, whole.substr(0, whole.find("data: [DONE]"))});
    const Actions actions = driver(AnswerEnded{attempt.attempt});
    REQUIRE(findAction<ChooseTarget>(actions) != nullptr);
    CHECK(findAction<ChooseTarget>(actions)->reason == RetryReason::MissingTerminator);
}

// Guards against a short or empty answer that is framed as whole to its caller.
TEST_CASE("a chat whose target ends its answer at any byte is complete only with its terminator")
{
    const bool stream = GENERATE(true, false);
    size_t length = 1;
    for (size_t bytes = 0; bytes <= length; ++bytes) {
        CAPTURE(bytes);
        Driver driver(chatSpecification(stream));
        const StartAttempt attempt = driver.startAttempt();
        driver.receiveHead(attempt);
        const std::string whole = wholeStream(readAttempt(attempt, Length), Length);
        length = whole.size();
        const bool hasTerminator = bytes == whole.size();
        const Actions last = driver(BytesArrived{attempt.attempt, whole.substr(0, bytes)});
        CHECK(driver.machine.finished() == hasTerminator);
        CHECK((findAction<EndAnswer>(last) != nullptr || findAction<SendWhole>(last) != nullptr)
              == hasTerminator);
        const Actions ended = driver(AnswerEnded{attempt.attempt});
        CHECK((findAction<ChooseTarget>(ended) != nullptr) == !hasTerminator);
        CHECK(findAction<EndAnswer>(ended) == nullptr);
        CHECK(findAction<SendWhole>(ended) == nullptr);
    }
}

// Guards against an empty answer with the status of another one, or none, for a head cut off.
TEST_CASE("bytes or an end that no head precedes are no answer")
{
    Driver driver(plainSpecification(proto::NEVER));
    const StartAttempt attempt = driver.startAttempt();
    CHECK(driver(BytesArrived{attempt.attempt, std::string(Answer)}).empty());
    checkInDoubt(driver(AnswerEnded{attempt.attempt}));
}

TEST_CASE("a chat that is given up ends with an error event and bills what was delivered")
{
    const Event end
        = GENERATE(Event(ShutdownDeadline{}), Event(TimerFired{}), Event(CallerDisconnected{}));
    Driver driver(chatSpecification(true));
    const StartAttempt attempt = driver.startAttempt();
    driver.receiveHead(attempt);
    driver(BytesArrived{attempt.attempt, tokenChunk(readAttempt(attempt, Length), 0)});
    driver.now = Start + 60 * Second;
    const Actions actions = driver(end);
    CHECK(findAction<CancelAttempt>(actions) != nullptr);
    REQUIRE(findAction<Settle>(actions) != nullptr);
    CHECK(findAction<Settle>(actions)->used == core::Tokens{1});
    CHECK_FALSE(findAction<Settle>(actions)->exact);
    if (!std::holds_alternative<CallerDisconnected>(end)) {
        REQUIRE(findAction<EndWithError>(actions) != nullptr);
        CHECK(findAction<EndWithError>(actions)->outcome == Outcome::Ran);
        CHECK(readStream(findAction<EndWithError>(actions)->event).error);
    }
}

TEST_CASE("no more than the reservation is settled whatever usage an engine reports")
{
    RequestSpecification specification = chatSpecification(false);
    specification.reservation = core::Tokens{3};
    Driver driver(specification);
    const StartAttempt attempt = driver.startAttempt();
    driver.receiveHead(attempt);
    const std::string stream = wholeStream(readAttempt(attempt, Length), Length);
    const Actions actions = driver(BytesArrived{attempt.attempt, stream});
    CHECK(std::get<Settle>(actions[0]).used == core::Tokens{3});
    const auto whole = nlohmann::json::parse(std::get<SendWhole>(actions[1]).body);
    CHECK(whole["choices"][0]["message"]["content"] == answerText(Length));
}
