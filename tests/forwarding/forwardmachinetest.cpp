// One request from its arrival to its end, against targets that fail in every way.
#include "samphirebridge/forwarding/forwardmachine.h"
#include "samphirebridge/routing/router.h"

#include <catch2/catch.hpp>

#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using forwarding::AnswerUse;

namespace
{

// Carries out nothing and remembers everything.
class RecordingHost
{
public:
    RecordingHost()
        : targets(core::InstanceId("self"), {}, std::mt19937_64(1))
    {
        proto::TargetKind kind;
        kind.set_id("letters");
        kind.set_service("letters");
        this->targets.setKinds(std::vector{kind});
    }

    void addTarget(const std::string &id)
    {
        proto::TargetRecord record;
        record.set_id(id);
        record.set_incarnation(1);
        record.set_address("10.0.0.1:80");
        record.set_kind("letters");
        record.set_state(proto::READY);
        record.mutable_load()->set_capacity(8);
        this->targets.onTarget(record, this->time);
    }

    core::TimePoint now()
    {
        return this->time;
    }
    void reserveTokens(core::Tokens tokens)
    {
        this->reserved = tokens;
    }
    void settleTokens(core::Tokens tokens)
    {
        this->settled = tokens;
    }
    void releaseTokens()
    {
        this->released = true;
    }
    routing::Dispatcher &router()
    {
        return this->targets;
    }
    void send(const routing::Choice &choice, const forwarding::AttemptTerms &terms)
    {
        this->sentTo.push_back(choice.target.value);
        this->terms = terms;
    }
    void abandonAttempt()
    {
        ++this->abandoned;
    }
    void relayHead(const net::ResponseHead &head)
    {
        this->status = head.status;
        ++this->heads;
    }
    void relayBody(std::string_view bytes)
    {
        this->body += bytes;
    }
    void relayEnd()
    {
        this->whole = true;
    }
    void relayWhole(const net::ResponseHead &head, std::string_view bytes)
    {
        this->status = head.status;
        this->body = bytes;
        this->whole = true;
    }
    bool holdAnswer(size_t bytes)
    {
        this->held += bytes;
        return this->held <= this->mostHeld;
    }
    void dropAnswer()
    {
        this->held = 0;
    }
    void refuse(const forwarding::ForwardRefusal &refusal)
    {
        this->refusal = refusal;
    }
    void cutOff()
    {
        this->cut = true;
    }
    void setTimer(core::TimePoint due)
    {
        this->timer = due;
    }
    void note(const forwarding::ForwardNote &note)
    {
        this->notes.emplace_back(note.event);
    }

    core::TimePoint time = core::TimePoint(100s);
    routing::Router<std::mt19937_64> targets;
    std::optional<core::Tokens> reserved;
    std::optional<core::Tokens> settled;
    bool released = false;
    std::vector<std::string> sentTo;
    forwarding::AttemptTerms terms;
    int abandoned = 0;
    int heads = 0;
    int status = 0;
    std::string body;
    size_t held = 0;
    size_t mostHeld = 1'000'000;
    bool whole = false;
    bool cut = false;
    std::optional<forwarding::ForwardRefusal> refusal;
    core::TimePoint timer;
    std::vector<std::string> notes;
};

struct Fixture {
    explicit Fixture(forwarding::RequestKind kind, bool resumable = false)
    {
        this->host.addTarget("t1");
        this->host.addTarget("t2");
        this->route.name = "r";
        this->route.kind = kind;
        this->route.resumable = resumable;
        this->route.timeout = 5s;
        this->route.latencyObjective = 300ms;
        this->route.gapObjective = 400ms;
        this->route.maximumTargets = 2;
        this->service.id = core::ServiceId("letters");
        this->service.engine = forwarding::EngineTraits{.tokensPerEvent = 5};
        this->request.id = "id-1";
        this->request.promptTokens = 100;
        this->request.maximumOutputTokens = 40;
    }

    void start()
    {
        this->machine.emplace(
            this->host, this->route, &this->service, this->organisation, this->request);
        this->machine->start();
    }

    void sent()
    {
        this->machine->onSent();
    }

    AnswerUse head(int status, const std::string &id = "id-1", bool stamped = true)
    {
        net::ResponseHead answer;
        answer.status = status;
        return this->machine->onAnswer(answer, {id, stamped, false});
    }

    void refusedByTarget()
    {
        net::ResponseHead answer;
        answer.status = 503;
        CHECK(this->machine->onAnswer(answer, {"id-1", false, true}) == AnswerUse::Drop);
    }

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: x\n\n";
    }

    RecordingHost host;
    forwarding::Route route;
    forwarding::Service service;
    forwarding::Organisation payer{.id = core::OrganisationId("payer"),
                                   .purchased = core::Tokens{1'000}};
    const forwarding::Organisation *organisation = nullptr;
    forwarding::CallerRequest request;
    std::optional<forwarding::ForwardMachine<RecordingHost>> machine;
};

using forwarding::RequestKind;

} // namespace

TEST_CASE("an answer is relayed whole")
{
    Fixture request(RequestKind::Once);
    request.start();
    request.sent();
    CHECK(request.head(200) == AnswerUse::Take);
    request.machine->onBody("bo");
    request.machine->onBody("dy");
    CHECK_FALSE(request.host.whole);
    request.machine->onAnswerEnd();
    CHECK(request.host.whole);
    CHECK(request.host.body == "body");
    CHECK(request.machine->done());
}

TEST_CASE("a request that may run once is not sent again once it may have run")
{
    for (const bool sent : {true, false}) {
        Fixture request(RequestKind::Once);
        request.start();
        if (sent) {
            request.sent();
        }
        request.machine->onFailed({core::RetryReason::ConnectionBroken, sent});
        if (sent) {
            REQUIRE(request.host.refusal);
            CHECK(request.host.refusal->outcome == core::Outcome::Unknown);
            CHECK(request.host.sentTo.size() == 1);
        } else {
            CHECK_FALSE(request.host.refusal);
            CHECK(request.host.sentTo.size() == 2);
        }
    }
}

TEST_CASE("what a target says it has not run goes to another, and is refused truthfully at last")
{
    Fixture request(RequestKind::Once);
    request.start();
    size_t offers = 0;
    while (!request.machine->done()) {
        REQUIRE(++offers < 10);
        request.sent();
        request.refusedByTarget();
    }
    CHECK(request.host.sentTo.size() == offers);
    CHECK(offers > 1);
    REQUIRE(request.host.refusal);
    CHECK(request.host.refusal->outcome == core::Outcome::NotRun);
    CHECK(request.host.refusal->retryAfter > core::Duration::zero());
}

TEST_CASE("a repeatable request that failed runs on one more target and no further")
{
    Fixture request(RequestKind::Repeatable);
    request.start();
    request.sent();
    CHECK(request.head(500) == AnswerUse::Drop);
    REQUIRE(request.host.sentTo.size() == 2);
    CHECK(request.host.sentTo[0] != request.host.sentTo[1]);
    request.sent();
    CHECK(request.head(500) == AnswerUse::Take);
    request.machine->onAnswerEnd();
    CHECK(request.host.status == 500);
    CHECK(request.host.sentTo.size() == 2);
}

TEST_CASE("the answer to another request is skipped, an unsigned success is not shown")
{
    Fixture request(RequestKind::Once);
    request.start();
    request.sent();
    CHECK(request.head(200, "other") == AnswerUse::Skip);
    CHECK_FALSE(request.machine->done());
    CHECK(request.head(200, "id-1", false) == AnswerUse::Drop);
    REQUIRE(request.host.refusal);
    CHECK(request.host.refusal->outcome == core::Outcome::Unknown);
}

TEST_CASE("a stream that breaks off goes on at another target, after the last whole event")
{
    Fixture request(RequestKind::Stream, true);
    request.start();
    request.sent();
    (void)request.head(200);
    request.machine->onBody(Fixture::event(1) + Fixture::event(2) + "id: 3");
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    REQUIRE(request.host.sentTo.size() == 2);
    CHECK(request.host.terms.lastEventId == 2);
    request.sent();
    (void)request.head(200);
    request.machine->onBody(Fixture::event(3));
    request.machine->onAnswerEnd();
    CHECK(request.host.heads == 1);
    CHECK(request.host.whole);
    CHECK(request.host.body == Fixture::event(1) + Fixture::event(2) + Fixture::event(3));
}

TEST_CASE("a stream that may not be resumed is cut off, so that it does not look complete")
{
    Fixture request(RequestKind::Stream);
    request.start();
    request.sent();
    (void)request.head(200);
    request.machine->onBody(Fixture::event(1));
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    CHECK(request.host.cut);
    CHECK_FALSE(request.host.whole);
    CHECK(request.host.sentTo.size() == 1);
}

TEST_CASE("a stream that ends inside an event is not complete")
{
    Fixture request(RequestKind::Stream);
    request.start();
    request.sent();
    (void)request.head(200);
    request.machine->onBody(Fixture::event(1) + "id: 2\nda");
    request.machine->onAnswerEnd();
    CHECK(request.host.cut);
    CHECK_FALSE(request.host.whole);
}

TEST_CASE("a stream that pauses too long goes on elsewhere, but not one that may run once only")
{
    for (const bool resumable : {true, false}) {
        Fixture request(RequestKind::Stream, resumable);
        request.start();
        request.sent();
        (void)request.head(200);
        request.machine->onBody(Fixture::event(1));
        request.host.time += 2s;
        request.machine->onTimer();
        CHECK(request.host.sentTo.size() == (resumable ? 2 : 1));
    }
}

TEST_CASE("at the deadline an unanswered request ends at once, and says whether it may have run")
{
    for (const bool sent : {true, false}) {
        Fixture request(RequestKind::Once);
        request.start();
        if (sent) {
            request.sent();
        }
        CHECK(request.host.timer == request.host.time + 5s);
        request.host.time += 5s;
        request.machine->onTimer();
        REQUIRE(request.host.refusal);
        CHECK(request.host.refusal->reason == core::RefusalReason::DeadlineExceeded);
        CHECK(request.host.refusal->outcome
              == (sent ? core::Outcome::Unknown : core::Outcome::NotRun));
        CHECK(request.host.abandoned > 0);
    }
}

TEST_CASE("the target gets no more time than the caller has left")
{
    Fixture request(RequestKind::Once);
    request.request.patience = 2s;
    request.start();
    CHECK(request.host.terms.patience == core::Duration(2s));
}

TEST_CASE("tokens are reserved at most and settled as used, prompt once and events as delivered")
{
    Fixture request(RequestKind::Stream, true);
    request.organisation = &request.payer;
    request.start();
    CHECK(request.host.reserved == core::Tokens{140});
    CHECK(request.host.sentTo.empty());
    request.machine->onTokens({true});
    request.sent();
    (void)request.head(200);
    request.machine->onBody(Fixture::event(1));
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    request.sent();
    (void)request.head(200);
    request.machine->onBody(Fixture::event(2));
    request.machine->onAnswerEnd();
    CHECK(request.host.settled == core::Tokens{110});
    CHECK_FALSE(request.host.released);
}

TEST_CASE("tokens of a request that did not run are released, and none are taken for a refusal")
{
    Fixture refused(RequestKind::Stream);
    refused.organisation = &refused.payer;
    refused.start();
    refused.machine->onTokens({false, core::RefusalReason::BudgetUnconfirmed, 1s});
    REQUIRE(refused.host.refusal);
    CHECK(refused.host.refusal->retryAfter == core::Duration(1s));
    CHECK_FALSE(refused.host.settled);
    Fixture gone(RequestKind::Stream);
    gone.organisation = &gone.payer;
    gone.start();
    gone.machine->onTokens({true});
    gone.machine->onCallerGone();
    CHECK(gone.host.released);
    CHECK_FALSE(gone.host.settled);
}

TEST_CASE("a caller that leaves stops the work, and what was delivered is billed")
{
    Fixture request(RequestKind::Stream);
    request.organisation = &request.payer;
    request.start();
    request.machine->onTokens({true});
    request.sent();
    (void)request.head(200);
    request.machine->onBody(Fixture::event(1));
    request.machine->onCallerGone();
    CHECK(request.host.abandoned > 0);
    CHECK(request.host.settled == core::Tokens{105});
}

// Guards against answers without end that fill the process's memory.
TEST_CASE(
    "an answer beyond what the process may hold is given up, and its target is not asked again")
{
    Fixture request(RequestKind::Repeatable);
    request.host.mostHeld = 100;
    request.start();
    request.sent();
    REQUIRE(request.head(200) == AnswerUse::Take);
    request.machine->onBody(std::string(60, 'x'));
    CHECK(request.host.held == 60);
    request.machine->onBody(std::string(60, 'x'));
    CHECK(request.host.held == 0);
    REQUIRE(request.host.sentTo.size() == 2);
    CHECK(request.host.sentTo[0] != request.host.sentTo[1]);
    request.sent();
    REQUIRE(request.head(200) == AnswerUse::Take);
    request.machine->onBody("body");
    request.machine->onAnswerEnd();
    CHECK(request.host.body == "body");
    CHECK(request.host.held == 0);
}

// Guards against a target that keeps a request waiting by bytes which are no events.
TEST_CASE("a stream that brings comments alone makes no progress and goes on at another target")
{
    Fixture request(RequestKind::Stream, true);
    request.start();
    request.sent();
    REQUIRE(request.head(200) == AnswerUse::Take);
    request.machine->onBody(Fixture::event(1));
    while (request.host.sentTo.size() == 1) {
        REQUIRE(request.host.time < core::TimePoint(104s));
        request.host.time += 100ms;
        request.machine->onBody(": wait\n\n");
        request.machine->onTimer();
    }
    CHECK_FALSE(request.machine->done());
}
