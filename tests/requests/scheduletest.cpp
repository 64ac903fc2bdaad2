#include "tests/requests/chatworld.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace samphirebridge;
using namespace samphirebridge::requests;

namespace
{

constexpr int64_t Length = 12;
constexpr int Schedules = 4000;
constexpr core::Tokens Price{9};

// A caller, a ledger and targets that do whatever the random numbers say, and that check what the
// machine promises after every step.
class World
{
public:
    World(uint64_t seed, proto::RepeatRule rule, bool isChat)
        : random(seed)
        , rule(rule)
        , isChat(isChat)
        , maximumTokens(this->chance(30) ? Length / 2 : 2 * Length)
        , streamed(this->chance(50))
        , machine(this->specification())
    {
    }

    void run()
    {
        this->hand(this->chance(5) ? Event(ClaimRefused{}) : Event(Claimed{this->takeover()}));
        for (int step = 0; step < 500 && !this->machine.finished(); ++step) {
            this->step();
        }
        this->hand(ShutdownDeadline{});
        REQUIRE(this->machine.finished());
        this->hand(CallerGone{}); // Nothing follows the end.
        this->checkEnd();
    }

private:
    bool chance(int percent)
    {
        return static_cast<int>(this->random() % 100) < percent;
    }

    bool takeover()
    {
        this->left = this->chance(5);
        return this->left;
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
            specification.reservation = specification.chat->upperBound();
        }
        return specification;
    }

    void step()
    {
        this->now += std::chrono::milliseconds(this->random() % 1500);
        if (this->machine.nextTimer() && this->now >= *this->machine.nextTimer()) {
            this->hand(TimerFired{});
        } else if (this->chance(1)) {
            this->callerGone = true;
            this->hand(CallerGone{});
        } else if (this->chance(1)) {
            this->hand(ShutdownDeadline{});
        } else if (this->choosing) {
            this->choose();
        } else if (!this->attempt.empty()) {
            this->answer();
        }
    }

    void choose()
    {
        this->choosing = false;
        this->hand(this->chance(5) ? Event(NoTarget{})
                                   : Event(TargetChosen{core::TargetId("target")}));
    }

    // Lets the current attempt's target do something, or nothing.
    void answer()
    {
        const bool stale = this->chance(3) && !this->earlierAttempt.empty();
        const std::string name = stale ? this->earlierAttempt : this->attempt;
        if (this->chance(5)) {
            const bool mayHaveLeft = this->headSent || this->chance(60);
            this->left = this->left || (mayHaveLeft && !stale);
            this->hand(AttemptFailed{name, core::RetryReason::ConnectionBroken, mayHaveLeft});
        } else if (!this->headSent) {
            this->left = this->left || !stale;
            this->headSent = !stale;
            const int status = this->chance(10) ? 503 : 200;
            const std::string echo = this->chance(10) ? "other" : name;
            this->hand(HeadersArrived{name, status, echo, "application/json"});
        } else if (!this->chance(10)) { // Else a stall.
            this->answerMore(name, stale);
        }
    }

    void answerMore(const std::string &name, bool stale)
    {
        if (stale) {
            this->hand(BytesArrived{name, "late bytes"});
            return;
        }
        if (this->stream.empty()) {
            this->hand(AnswerEnded{name});
            return;
        }
        const size_t length = 1 + this->random() % 400;
        const std::string part = this->stream.substr(0, length);
        this->stream.erase(0, length);
        this->hand(BytesArrived{name, part});
    }

    void hand(const Event &event)
    {
        const bool wasFinished = this->machine.finished();
        const Actions actions = this->machine.handle(event, this->now);
        REQUIRE((!wasFinished || actions.empty()));
        for (const Action &action : actions) {
            REQUIRE(this->finishes == 0); // Finish is the last action.
            std::visit([this](const auto &done) { this->take(done); }, action);
        }
    }

    void take(const ChooseTarget &)
    {
        this->choosing = true;
        this->earlierAttempt = this->attempt;
        this->attempt.clear();
    }

    void take(const StartAttempt &start)
    {
        REQUIRE((this->rule != proto::NEVER || !this->left));
        this->attempt = start.attempt;
        this->headSent = false;
        this->stream = "answer";
        if (!this->isChat) {
            return;
        }
        const EngineView engine = readAttempt(start, Length);
        REQUIRE(engine.isPrefix); // Neither gap nor repeat.
        this->stream = wholeStream(engine, Length);
        if (this->chance(10)) {
            this->stream.erase(this->stream.find("data: [DONE]"));
        }
    }

    void take(const CancelAttempt &cancelled)
    {
        REQUIRE(cancelled.attempt == this->attempt);
        this->left = true; // What was under way may have arrived.
    }

    void take(const CountForeignAnswer &)
    {
    }

    void take(const BeginAnswer &)
    {
        ++this->replies;
    }

    void take(const ForwardBytes &forward)
    {
        REQUIRE(this->replies == 1);
        this->delivered += forward.bytes;
    }

    void take(const EndAnswer &)
    {
        this->complete = true;
        REQUIRE(this->ends == 1); // Settled before the caller can know the end.
    }

    void take(const SendWhole &whole)
    {
        ++this->replies;
        this->complete = true;
        REQUIRE(this->ends == 1);
        this->whole = whole.body;
    }

    void take(const Settle &settle)
    {
        ++this->ends;
        REQUIRE(settle.used <= this->specification().reservation);
        REQUIRE(this->left);
        this->settled = settle;
    }

    void take(const Release &)
    {
        ++this->ends;
        REQUIRE_FALSE(this->left);
    }

    void take(const Refuse &refuse)
    {
        ++this->replies;
        REQUIRE((refuse.outcome != core::Outcome::NotRun || !this->left));
    }

    void take(const EndWithError &error)
    {
        REQUIRE(this->replies == 1);
        this->delivered += error.event;
    }

    void take(const Finish &)
    {
        ++this->finishes;
    }

    void checkEnd() const
    {
        REQUIRE(this->finishes == 1);
        REQUIRE(this->ends <= 1);
        REQUIRE((this->ends == 1 || !this->left));
        REQUIRE((this->replies == 1 || this->callerGone));
        if (!this->isChat) {
            return;
        }
        const CallerView caller = readStream(this->delivered);
        REQUIRE(caller.oneId);
        REQUIRE(answerText(Length).starts_with(caller.text));
        if (!this->complete) {
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
        return nlohmann::json::parse(this->whole)["choices"][0]["message"]["content"];
    }

    std::mt19937_64 random;
    proto::RepeatRule rule;
    bool isChat;
    int64_t maximumTokens;
    bool streamed;
    core::TimePoint now;
    RequestMachine machine;
    bool choosing = false;
    std::string attempt;
    std::string earlierAttempt;
    bool headSent = false;
    bool left = false; // A byte can have reached a target.
    std::string stream; // What the target has still to send.
    std::string delivered;
    std::string whole;
    bool complete = false;
    bool callerGone = false;
    Settle settled;
    int ends = 0;
    int replies = 0;
    int finishes = 0;
};

} // namespace

TEST_CASE("any schedule of chats keeps the machine's promises")
{
    for (uint64_t seed = 0; seed < Schedules; ++seed) {
        CAPTURE(seed);
        World(seed, proto::REPEATABLE, true).run();
    }
}

TEST_CASE("any schedule of plain requests keeps the machine's promises")
{
    const proto::RepeatRule rule
        = GENERATE(proto::REPEATABLE, proto::NEVER, proto::TARGET_DEDUPLICATES);
    for (uint64_t seed = 0; seed < Schedules; ++seed) {
        CAPTURE(rule, seed);
        World(seed, rule, false).run();
    }
}
