// Runs requests against random events and checks the machine's guarantees after each of them.
#include "tests/requests/chatfixture.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace samphirebridge;
using namespace samphirebridge::requests;

namespace
{

constexpr int64_t Length = 12;
constexpr int SimulatedRequests = 4000;
constexpr core::Tokens Price{9};

// Simulates the caller, the ledger and the targets of one request. They act at random, and each
// action of the machine is checked against its guarantees.
class RequestSimulation
{
public:
    RequestSimulation(uint64_t seed, proto::RepeatRule rule, bool isChat)
        : random(seed)
        , rule(rule)
        , isChat(isChat)
        , maximumTokens(this->happensWithPercent(30) ? Length / 2 : 2 * Length)
        , streamed(this->happensWithPercent(50))
        , machine(this->specification())
    {
    }

    void run()
    {
        this->deliver(this->happensWithPercent(5) ? Event(ClaimRefused{})
                                                  : Event(Claimed{this->drawTakeover()}));
        for (int step = 0; step < 500 && !this->machine.finished(); ++step) {
            this->step();
        }
        this->deliver(ShutdownDeadline{});
        REQUIRE(this->machine.finished());
        this->deliver(CallerDisconnected{}); // Nothing follows the end.
        this->checkEnd();
    }

private:
    bool happensWithPercent(int percent)
    {
        return static_cast<int>(this->random() % 100) < percent;
    }

    bool drawTakeover()
    {
        this->mayHaveRun = this->happensWithPercent(5);
        return this->mayHaveRun;
    }

    RequestSpecification specification()
    {
        RequestSpecification specification;
        specification.requestKey = "key";
        specification.attemptPrefix = "entry";
        specification.repeat = this->rule;
        specification.price = Price;
        specification.reservation = Price;
        specification.deadline = this->now + std::chrono::seconds(60);
        if (this->isChat) {
            specification.chat = chatRequest(this->streamed, this->maximumTokens);
            specification.reservation = specification.chat->reservationBound();
        }
        return specification;
    }

    void step()
    {
        this->now += std::chrono::milliseconds(this->random() % 1500);
        if (this->machine.nextTimer() && this->now >= *this->machine.nextTimer()) {
            this->deliver(TimerFired{});
        } else if (this->happensWithPercent(1)) {
            this->callerDisconnected = true;
            this->deliver(CallerDisconnected{});
        } else if (this->happensWithPercent(1)) {
            this->deliver(ShutdownDeadline{});
        } else if (this->choosing) {
            this->choose();
        } else if (!this->attempt.empty()) {
            this->targetStep();
        }
    }

    void choose()
    {
        this->choosing = false;
        this->deliver(this->happensWithPercent(5) ? Event(NoTarget{})
                                                  : Event(TargetChosen{core::TargetId("target")}));
    }

    // Lets the target of the current attempt, or of the one before, fail, answer or stall.
    void targetStep()
    {
        const bool stale = this->happensWithPercent(3) && !this->earlierAttempt.empty();
        const std::string name = stale ? this->earlierAttempt : this->attempt;
        if (this->happensWithPercent(5)) {
            const bool bytesMayHaveLeft = this->headDelivered || this->happensWithPercent(60);
            this->mayHaveRun = this->mayHaveRun || (bytesMayHaveLeft && !stale);
            this->deliver(
                AttemptFailed{name, core::RetryReason::ConnectionBroken, bytesMayHaveLeft});
        } else if (!this->headDelivered) {
            this->mayHaveRun = this->mayHaveRun || !stale;
            this->headDelivered = !stale;
            const int status = this->happensWithPercent(10) ? 503 : 200;
            const std::string echo = this->happensWithPercent(10) ? "other" : name;
            this->deliver(HeadersArrived{name, status, echo, "application/json"});
        } else if (!this->happensWithPercent(10)) { // Otherwise the target stalls.
            this->continueAnswer(name, stale);
        }
    }

    void continueAnswer(const std::string &name, bool stale)
    {
        if (stale) {
            this->deliver(BytesArrived{name, "late bytes"});
            return;
        }
        if (this->pendingBytes.empty()) {
            this->deliver(AnswerEnded{name});
            return;
        }
        const size_t length = 1 + this->random() % 400;
        const std::string part = this->pendingBytes.substr(0, length);
        this->pendingBytes.erase(0, length);
        this->deliver(BytesArrived{name, part});
    }

    void deliver(const Event &event)
    {
        const bool wasFinished = this->machine.finished();
        const Actions actions = this->machine.handle(event, this->now);
        REQUIRE((!wasFinished || actions.empty()));
        for (const Action &action : actions) {
            REQUIRE(this->finishes == 0); // Finish is the last action.
            std::visit([this](const auto &concreteAction) { this->onAction(concreteAction); },
                       action);
        }
        if (std::exchange(this->replacing, false)) {
            this->choose();
        }
    }

    void onAction(const ChooseTarget &choose)
    {
        this->replacing = choose.keepsAttempt;
        if (this->replacing) {
            return;
        }
        this->choosing = true;
        this->earlierAttempt = this->attempt;
        this->attempt.clear();
    }

    void onAction(const StartAttempt &start)
    {
        REQUIRE((this->rule != proto::NEVER || !this->mayHaveRun));
        this->attempt = start.attempt;
        this->headDelivered = false;
        this->pendingBytes = "answer";
        if (!this->isChat) {
            return;
        }
        const EngineView engine = readAttempt(start, Length);
        REQUIRE(engine.isPrefix); // Neither gap nor repeat.
        this->pendingBytes = wholeStream(engine, Length);
        if (this->happensWithPercent(10)) {
            this->pendingBytes.erase(this->pendingBytes.find("data: [DONE]"));
        }
    }

    void onAction(const CancelAttempt &cancelled)
    {
        REQUIRE(cancelled.attempt == this->attempt);
        this->earlierAttempt = this->attempt;
        this->mayHaveRun = true; // Bytes in flight may have arrived.
    }

    void onAction(const CountForeignAnswer &)
    {
    }

    void onAction(const BeginAnswer &)
    {
        ++this->responses;
    }

    void onAction(const ForwardBytes &forward)
    {
        REQUIRE(this->responses == 1);
        this->delivered += forward.bytes;
    }

    void onAction(const EndAnswer &)
    {
        this->answerComplete = true;
        REQUIRE(this->settlements == 1); // Settled before the caller receives the end.
    }

    void onAction(const SendWhole &whole)
    {
        ++this->responses;
        this->answerComplete = true;
        REQUIRE(this->settlements == 1);
        this->wholeBody = whole.body;
    }

    void onAction(const Settle &settle)
    {
        ++this->settlements;
        REQUIRE(settle.used <= this->specification().reservation);
        REQUIRE(this->mayHaveRun);
        this->settled = settle;
    }

    void onAction(const Release &)
    {
        ++this->settlements;
        REQUIRE_FALSE(this->mayHaveRun);
    }

    void onAction(const Refuse &refuse)
    {
        ++this->responses;
        REQUIRE((refuse.outcome != core::Outcome::NotRun || !this->mayHaveRun));
    }

    void onAction(const EndWithError &error)
    {
        REQUIRE(this->responses == 1);
        this->delivered += error.event;
    }

    void onAction(const Finish &)
    {
        ++this->finishes;
    }

    void checkEnd() const
    {
        REQUIRE(this->finishes == 1);
        REQUIRE(this->settlements <= 1);
        REQUIRE((this->settlements == 1 || !this->mayHaveRun));
        REQUIRE((this->responses == 1 || this->callerDisconnected));
        if (!this->isChat) {
            return;
        }
        const CallerView caller = readStream(this->delivered);
        REQUIRE(caller.oneId);
        REQUIRE(answerText(Length).starts_with(caller.text));
        if (!this->answerComplete) {
            REQUIRE_FALSE(caller.done);
            return;
        }
        const int64_t expected = std::min(Length, this->maximumTokens);
        REQUIRE((this->streamed ? caller.text : this->wholeText()) == answerText(expected));
        REQUIRE(
            (!this->settled.exact || this->settled.used == core::Tokens{PromptTokens + expected}));
    }

    [[nodiscard]] std::string wholeText() const
    {
        return nlohmann::json::parse(this->wholeBody)["choices"][0]["message"]["content"];
    }

    std::mt19937_64 random;
    proto::RepeatRule rule;
    bool isChat;
    int64_t maximumTokens;
    bool streamed;
    core::TimePoint now;
    RequestMachine machine;
    bool choosing = false;
    bool replacing = false; // Another target is wanted in place of the current attempt's.
    std::string attempt;
    std::string earlierAttempt;
    bool headDelivered = false;
    bool mayHaveRun = false; // A byte can have reached a target.
    std::string pendingBytes; // What the target has yet to send.
    std::string delivered;
    std::string wholeBody;
    bool answerComplete = false;
    bool callerDisconnected = false;
    Settle settled;
    int settlements = 0; // Settle and Release actions.
    int responses = 0; // Responses begun to the caller.
    int finishes = 0;
};

} // namespace

TEST_CASE("the machine keeps its guarantees for chats under random events")
{
    for (uint64_t seed = 0; seed < SimulatedRequests; ++seed) {
        CAPTURE(seed);
        RequestSimulation(seed, proto::REPEATABLE, true).run();
    }
}

TEST_CASE("the machine keeps its guarantees for plain requests under random events")
{
    const proto::RepeatRule rule
        = GENERATE(proto::REPEATABLE, proto::NEVER, proto::TARGET_DEDUPLICATES);
    for (uint64_t seed = 0; seed < SimulatedRequests; ++seed) {
        CAPTURE(rule, seed);
        RequestSimulation(seed, rule, false).run();
    }
}
