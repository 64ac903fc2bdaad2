// Runs a forwarded request from its arrival to its end, with answers and failures of every kind.
#include "tests/forwarding/forwardfixture.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using forwarding::AnswerHandling;
using forwarding::AttemptRole;
using forwarding::RequestKind;
using Fixture = forwarding::ForwardFixture;

TEST_CASE("an answer that is no stream is relayed once it is complete")
{
    Fixture request(RequestKind::Once);
    request.start();
    request.reportSent();
    CHECK(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody("bo");
    request.machine->onBody("dy");
    CHECK_FALSE(request.host.answerEnded);
    request.machine->onAnswerEnd();
    CHECK(request.host.answerEnded);
    CHECK(request.host.body == "body");
    CHECK(request.machine->done());
}

// Guards against a stream cut inside an event, or by a reset, that looks whole to its caller.
TEST_CASE("a stream that ends at any of its bytes is relayed as whole only at the end of an event")
{
    const bool framed = GENERATE(false, true); // The connection's end is the end of the answer.
    const std::string stream = Fixture::event(1) + ": comment\n\n" + Fixture::event(2);
    for (size_t bytes = 0; bytes <= stream.size(); ++bytes) {
        INFO(stream.substr(0, bytes));
        Fixture request(RequestKind::Stream);
        request.start();
        request.reportSent();
        CHECK(request.receiveHead(200) == AnswerHandling::Accept);
        request.machine->onBody(stream.substr(0, bytes));
        if (framed) {
            request.machine->onAnswerEnd();
        } else {
            request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
        }
        const size_t relayed = bytes < 2 ? 0 : stream.rfind("\n\n", bytes - 2);
        const size_t whole = relayed == std::string::npos || bytes < 2 ? 0 : relayed + 2;
        CHECK(request.host.body == stream.substr(0, whole));
        CHECK(request.host.answerEnded == (framed && whole == bytes));
        CHECK(request.host.aborted == (!request.host.answerEnded && whole > 0));
        CHECK(request.host.refusal.has_value() == (!request.host.answerEnded && whole == 0));
        CHECK(request.machine->done());
    }
}

// Guards against a target that ended after the head of its answer, whose caller gets an empty
// stream and whose prompt counts as answered.
TEST_CASE("a stream without a length that ends before its first event was broken off")
{
    Fixture request(RequestKind::Stream, true);
    request.answerFraming = net::BodyFraming::UntilClosed;
    request.start();
    request.reportSent();
    CHECK(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onAnswerEnd();
    CHECK_FALSE(request.host.answerEnded);
    REQUIRE(request.host.sentTo.size() == 2);
    request.reportSent();
    CHECK(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(Fixture::event(1));
    request.machine->onAnswerEnd();
    CHECK(request.host.answerEnded);
    CHECK(request.host.body == Fixture::event(1));
    CHECK(request.host.framing == net::BodyFraming::Chunked);
}

// Guards against taking the empty rest of a stream for one that was broken off.
TEST_CASE("the rest of a stream may be empty and end with its connection")
{
    Fixture request(RequestKind::Stream, true);
    request.answerFraming = net::BodyFraming::UntilClosed;
    request.request.lastEventId = 7;
    request.start();
    request.reportSent();
    CHECK(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onAnswerEnd();
    CHECK(request.host.answerEnded);
}

// Guards against a caller that waits for more bytes, or takes events for the next answer, because
// the length that one target announced doesn't fit the events of two.
TEST_CASE("a stream is relayed without the length that its first target announced")
{
    Fixture request(RequestKind::Stream, true);
    request.answerFraming = net::BodyFraming::Length;
    request.start();
    request.reportSent();
    CHECK(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(Fixture::event(1) + "id: 2");
    CHECK(request.host.framing == net::BodyFraming::Chunked);
    request.machine->onFailed({core::RetryReason::WrongLength, true});
    request.reportSent();
    CHECK(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(": longer than the first target's\n\n" + Fixture::event(2));
    request.machine->onAnswerEnd();
    CHECK(request.host.answerEnded);
    CHECK(request.host.relayedHeads == 1);
    CHECK(request.host.framing == net::BodyFraming::Chunked);
}

// Guards against the last chunk of an empty body after an answer that has none, as one to HEAD: the
// caller would take it for the beginning of the next answer.
TEST_CASE("an answer without a body on a route of streams is relayed whole and without a body")
{
    Fixture request(RequestKind::Stream);
    request.request.method = "HEAD";
    request.answerFraming = net::BodyFraming::None;
    request.start();
    request.reportSent();
    CHECK(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onAnswerEnd();
    CHECK(request.host.answerEnded);
    CHECK(request.host.relayedHeads == 1);
    CHECK(request.host.relayedWhole);
    CHECK(request.host.framing == net::BodyFraming::None);
    CHECK(request.host.body.empty());
}

// Guards against a 200 with an empty or short body for an answer that broke off.
TEST_CASE("an answer that breaks off at any of its bytes is refused and nothing of it is relayed")
{
    for (const std::string body : {"", "b", "bod"}) {
        Fixture request(RequestKind::Once);
        request.start();
        request.reportSent();
        CHECK(request.receiveHead(200) == AnswerHandling::Accept);
        request.machine->onBody(body);
        request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
        CHECK_FALSE(request.host.answerEnded);
        CHECK(request.host.relayedHeads == 0);
        CHECK(request.host.body.empty());
        REQUIRE(request.host.refusal);
        CHECK(request.host.refusal->outcome == core::Outcome::Unknown);
    }
}

TEST_CASE("a request that may run at most once is not sent again once it may have run")
{
    for (const bool sent : {true, false}) {
        Fixture request(RequestKind::Once);
        request.start();
        if (sent) {
            request.reportSent();
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

TEST_CASE(
    "a request that a target has not run goes to another, and is refused as not run in the end")
{
    Fixture request(RequestKind::Once);
    request.start();
    size_t attempts = 0;
    while (!request.machine->done()) {
        REQUIRE(++attempts < 10);
        request.reportSent();
        request.receiveRefusal();
    }
    CHECK(request.host.sentTo.size() == attempts);
    CHECK(attempts > 1);
    REQUIRE(request.host.refusal);
    CHECK(request.host.refusal->outcome == core::Outcome::NotRun);
    CHECK(request.host.refusal->retryAfter > core::Duration::zero());
}

// Guards against a malformed answer that is relayed, retried where the request may have run, or
// told to the caller as not run.
TEST_CASE("a request whose target answers with an invalid status is handled by what may have run")
{
    struct Case {
        RequestKind kind;
        bool resumable;
        size_t attempts;
    };
    const Case expected = GENERATE(Case{RequestKind::Once, false, 1},
                                   Case{RequestKind::Repeatable, false, 2},
                                   Case{RequestKind::Stream, false, 1},
                                   Case{RequestKind::Stream, true, 2});
    const int status = GENERATE(0, 99, 100, 101, 600, 999);
    const bool byParser = GENERATE(false, true);
    Fixture request(expected.kind, expected.resumable);
    request.start();
    size_t attempts = 0;
    while (!request.machine->done()) {
        REQUIRE(++attempts <= expected.attempts);
        request.reportSent();
        if (byParser) {
            request.machine->onFailed({core::RetryReason::ForeignAnswer, true});
        } else {
            CHECK(request.receiveHead(status) == AnswerHandling::Abandoned);
        }
    }
    CHECK(request.host.sentTo.size() == expected.attempts);
    CHECK(request.host.relayedHeads == 0);
    REQUIRE(request.host.refusal);
    CHECK(request.host.refusal->reason == core::RefusalReason::TargetsFailed);
    CHECK(request.host.refusal->outcome == core::Outcome::Unknown);
}

// Guards against the same in a stream of which the caller has a part.
TEST_CASE("a stream goes on at another target after an invalid status, and ends after the last one")
{
    Fixture request(RequestKind::Stream, true);
    request.start();
    request.reportSent();
    CHECK(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(Fixture::event(1));
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    REQUIRE(request.host.sentTo.size() == 2);
    request.reportSent();
    CHECK(request.receiveHead(600) == AnswerHandling::Abandoned);
    CHECK(request.host.aborted);
    CHECK(request.host.body == Fixture::event(1));
    CHECK_FALSE(request.host.answerEnded);
}

TEST_CASE("a repeatable request that failed is sent to no more targets than its route allows")
{
    Fixture request(RequestKind::Repeatable);
    request.start();
    request.reportSent();
    CHECK(request.receiveHead(500) == AnswerHandling::Abandoned);
    REQUIRE(request.host.sentTo.size() == 2);
    CHECK(request.host.sentTo[0] != request.host.sentTo[1]);
    request.reportSent();
    CHECK(request.receiveHead(500) == AnswerHandling::Accept);
    request.machine->onAnswerEnd();
    CHECK(request.host.status == 500);
    CHECK(request.host.sentTo.size() == 2);
}

TEST_CASE("the answer to another request is skipped, and an unsigned success is not relayed")
{
    Fixture request(RequestKind::Once);
    request.start();
    request.reportSent();
    CHECK(request.receiveHead(200, "other") == AnswerHandling::Skip);
    CHECK_FALSE(request.machine->done());
    CHECK(request.receiveHead(200, "id-1", false) == AnswerHandling::Abandoned);
    REQUIRE(request.host.refusal);
    CHECK(request.host.refusal->outcome == core::Outcome::Unknown);
}

TEST_CASE("a stream that breaks off is continued by another target after the last complete event")
{
    Fixture request(RequestKind::Stream, true);
    request.start();
    request.reportSent();
    (void)request.receiveHead(200);
    request.machine->onBody(Fixture::event(1) + Fixture::event(2) + "id: 3");
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    REQUIRE(request.host.sentTo.size() == 2);
    CHECK(request.host.metadata.lastEventId == 2);
    request.reportSent();
    (void)request.receiveHead(200);
    request.machine->onBody(Fixture::event(3));
    request.machine->onAnswerEnd();
    CHECK(request.host.relayedHeads == 1);
    CHECK(request.host.answerEnded);
    CHECK(request.host.body == Fixture::event(1) + Fixture::event(2) + Fixture::event(3));
}

TEST_CASE("a broken stream that may not be resumed is aborted, so that it does not look complete")
{
    Fixture request(RequestKind::Stream);
    request.start();
    request.reportSent();
    (void)request.receiveHead(200);
    request.machine->onBody(Fixture::event(1));
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    CHECK(request.host.aborted);
    CHECK_FALSE(request.host.answerEnded);
    CHECK(request.host.sentTo.size() == 1);
}

TEST_CASE("a stream that ends inside an event is not complete")
{
    Fixture request(RequestKind::Stream);
    request.start();
    request.reportSent();
    (void)request.receiveHead(200);
    request.machine->onBody(Fixture::event(1) + "id: 2\nda");
    request.machine->onAnswerEnd();
    CHECK(request.host.aborted);
    CHECK_FALSE(request.host.answerEnded);
}

TEST_CASE("a stream that pauses too long is continued by another target if it is resumable")
{
    for (const bool resumable : {true, false}) {
        Fixture request(RequestKind::Stream, resumable);
        request.start();
        request.reportSent();
        (void)request.receiveHead(200);
        request.machine->onBody(Fixture::event(1));
        request.host.time += 2s;
        request.machine->onTimer();
        REQUIRE(request.host.sentTo.size() == (resumable ? 2 : 1));
        if (resumable) {
            request.machine->onSent(AttemptRole::Standby);
            REQUIRE(request.receiveStandbyHead(200) == AnswerHandling::Accept);
        }
        request.machine->onBody(Fixture::event(2),
                                resumable ? AttemptRole::Standby : AttemptRole::Current);
        request.machine->onAnswerEnd();
        CHECK(request.host.promoted == (resumable ? 1 : 0));
        CHECK(request.host.body == Fixture::event(1) + Fixture::event(2));
        CHECK(request.host.answerEnded);
    }
}

TEST_CASE("an unanswered request is refused at its deadline with whether it may have run")
{
    for (const bool sent : {true, false}) {
        Fixture request(RequestKind::Once);
        request.start();
        if (sent) {
            request.reportSent();
        }
        const core::TimePoint due = request.host.time + 5s - forwarding::AnswerTravelTime;
        CHECK(request.host.timer == due);
        request.host.time = due;
        request.machine->onTimer();
        REQUIRE(request.host.refusal);
        CHECK(request.host.refusal->reason == core::RefusalReason::DeadlineExceeded);
        CHECK(request.host.refusal->outcome
              == (sent ? core::Outcome::Unknown : core::Outcome::NotRun));
        CHECK(request.host.abandoned > 0);
    }
}

// Guards against a caller that has left when the refusal arrives, since its time began earlier.
TEST_CASE(
    "a request without an answer is refused before its own time limit and the route's timeout")
{
    struct Limits {
        std::optional<core::Duration> own;
        core::Duration route;
        core::Duration refusedAfter;
    };
    for (const Limits &limits : {Limits{std::nullopt, 5s, 4950ms},
                                 Limits{9s, 5s, 4950ms},
                                 Limits{2s, 5s, 1950ms},
                                 Limits{200ms, 5s, 190ms},
                                 Limits{std::nullopt, 100ms, 95ms}}) {
        Fixture request(RequestKind::Once);
        request.route.timeout = limits.route;
        request.request.timeout = limits.own;
        request.start();
        const core::TimePoint due = request.host.time + limits.refusedAfter;
        CHECK(request.host.timer == due);
        request.host.time = due - 1ms;
        request.machine->onTimer();
        CHECK_FALSE(request.host.refusal);
        request.host.time = due;
        request.machine->onTimer();
        CHECK(request.host.refusal);
    }
}

TEST_CASE("a stream that has begun has the whole time of its request")
{
    Fixture request(RequestKind::Stream);
    request.start();
    request.reportSent();
    const core::TimePoint deadline = request.host.time + 5s;
    REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(Fixture::event(1));
    request.host.time = deadline - 1ms;
    request.machine->onTimer();
    CHECK_FALSE(request.host.aborted);
    CHECK(request.host.timer == deadline);
    request.host.time = deadline;
    request.machine->onTimer();
    CHECK(request.host.aborted);
}

TEST_CASE("the target gets no more time than the caller has left")
{
    Fixture request(RequestKind::Once);
    request.request.timeout = 2s;
    request.start();
    CHECK(request.host.metadata.timeout == core::Duration(2s));
}

TEST_CASE("the upper bound is reserved, and the prompt once and the delivered events are settled")
{
    Fixture request(RequestKind::Stream, true);
    request.organisation = &request.limitedOrganisation;
    request.start();
    CHECK(request.host.reserved == core::Tokens{140});
    CHECK(request.host.sentTo.empty());
    request.machine->onReservationResult({true});
    request.reportSent();
    (void)request.receiveHead(200);
    request.machine->onBody(Fixture::event(1));
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    request.reportSent();
    (void)request.receiveHead(200);
    request.machine->onBody(Fixture::event(2));
    request.machine->onAnswerEnd();
    CHECK(request.host.settled == core::Tokens{110});
    CHECK_FALSE(request.host.released);
}

TEST_CASE(
    "tokens of a request that did not run are released, and a refused reservation settles none")
{
    Fixture refused(RequestKind::Stream);
    refused.organisation = &refused.limitedOrganisation;
    refused.start();
    refused.machine->onReservationResult({false, core::RefusalReason::BudgetUnconfirmed, 1s});
    REQUIRE(refused.host.refusal);
    CHECK(refused.host.refusal->retryAfter == core::Duration(1s));
    CHECK_FALSE(refused.host.settled);
    Fixture cancelled(RequestKind::Stream);
    cancelled.organisation = &cancelled.limitedOrganisation;
    cancelled.start();
    cancelled.machine->onReservationResult({true});
    cancelled.machine->onCallerDisconnected();
    CHECK(cancelled.host.released);
    CHECK_FALSE(cancelled.host.settled);
}

TEST_CASE("a caller that disconnects cancels the attempt, and what was delivered is billed")
{
    Fixture request(RequestKind::Stream);
    request.organisation = &request.limitedOrganisation;
    request.start();
    request.machine->onReservationResult({true});
    request.reportSent();
    (void)request.receiveHead(200);
    request.machine->onBody(Fixture::event(1));
    request.machine->onCallerDisconnected();
    CHECK(request.host.abandoned > 0);
    CHECK(request.host.settled == core::Tokens{105});
    CHECK_THAT(request.host.lastLogDetail, Catch::Contains("events=1 billed=105"));
}

// Guards against a refusal that a target writes once more on a kept connection, and that would be
// taken as the answer to the next request there: it would run and be refused as not run, or run at
// a second target.
TEST_CASE("a refusal of an earlier request does not end the next one on the connection")
{
    Fixture refused(RequestKind::Once);
    refused.start();
    refused.reportSent();
    refused.receiveRefusal();
    // The connection of a refused attempt is closed, so no later request uses it.
    CHECK(refused.host.abandoned == 1);
    Fixture next(RequestKind::Once);
    next.start();
    next.reportSent();
    net::ResponseHead again;
    for (const int status : {503, 429, 421, 408}) {
        again.status = status;
        CHECK(next.machine->onAnswer(again, {"id-0", false, true}) == AnswerHandling::Skip);
    }
    CHECK(next.receiveHead(200) == AnswerHandling::Accept);
    next.machine->onBody("body");
    next.machine->onAnswerEnd();
    CHECK(next.host.status == 200);
    CHECK(next.host.sentTo.size() == 1);
    CHECK_FALSE(next.host.refusal);
}

// Guards against work for a target that has said in an answer that it leaves or wants a pause.
TEST_CASE("what a target says of itself in its own answer holds for later requests")
{
    for (const bool leaving : {true, false}) {
        Fixture request(RequestKind::Repeatable);
        request.start();
        request.reportSent();
        const std::string target = request.host.sentTo.front();
        net::ResponseHead answer;
        answer.status = 503;
        forwarding::AnswerMetadata metadata{"id-0", false, true};
        metadata.leaving = leaving;
        metadata.retryAfter = leaving ? std::nullopt : std::optional<core::Duration>(3s);
        // A late copy of an answer to another request says nothing.
        CHECK(request.machine->onAnswer(answer, metadata) == AnswerHandling::Skip);
        CHECK(request.host.targets.counters().departuresSaid == 0);
        CHECK(request.host.targets.counters().pausesSaid == 0);
        metadata.requestId = "id-1";
        CHECK(request.machine->onAnswer(answer, metadata) == AnswerHandling::Abandoned);
        REQUIRE(request.host.sentTo.size() == 2);
        CHECK(request.host.sentTo.back() != target);
        for (int count = 0; count < 8; ++count) {
            routing::RouteRequest next;
            next.service = core::ServiceId("letters");
            const auto decision = request.host.targets.choose(next, request.host.time + 1s);
            REQUIRE(std::holds_alternative<routing::Choice>(decision));
            CHECK(std::get<routing::Choice>(decision).target.value != target);
        }
    }
}

TEST_CASE("an answer of the address's new occupant says nothing of the target that was asked")
{
    Fixture request(RequestKind::Repeatable);
    request.start();
    request.reportSent();
    net::ResponseHead answer;
    answer.status = 421;
    forwarding::AnswerMetadata metadata{"id-1", false, true};
    metadata.leaving = true;
    CHECK(request.machine->onAnswer(answer, metadata) == AnswerHandling::Abandoned);
    CHECK(request.host.targets.counters().departuresSaid == 0);
}

// Guards against budgets that are used up by requests of which their callers got nothing: a caller
// that left, or a target that failed, before the answer had begun.
TEST_CASE("a request that ends before its answer has begun is billed nothing")
{
    using End = std::function<void(Fixture &)>;
    const std::vector<End> ends{
        [](Fixture &request) { request.machine->onCallerDisconnected(); },
        [](Fixture &request) {
            request.host.time += 10s;
            request.machine->onTimer();
        },
        [](Fixture &request) {
            request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
        },
        [](Fixture &request) {
            (void)request.receiveHead(200);
            request.machine->onCallerDisconnected();
        },
    };
    for (const End &end : ends) {
        Fixture request(RequestKind::Stream);
        request.organisation = &request.limitedOrganisation;
        request.start();
        request.machine->onReservationResult({true});
        request.reportSent();
        end(request);
        REQUIRE(request.machine->done());
        CHECK(request.host.released);
        CHECK_FALSE(request.host.settled);
        CHECK_THAT(request.host.lastLogDetail, Catch::Contains("billed=0"));
    }
}

// Guards against budgets that are used up by the failures of a target that answers its health
// check.
TEST_CASE("a request that its target failed is billed nothing")
{
    for (const int status : {400, 404, 500, 504}) {
        Fixture request(RequestKind::Stream);
        request.organisation = &request.limitedOrganisation;
        request.start();
        request.machine->onReservationResult({true});
        request.reportSent();
        REQUIRE(request.receiveHead(status) == AnswerHandling::Accept);
        request.machine->onBody("no");
        request.machine->onAnswerEnd();
        CHECK(request.host.status == status);
        CHECK(request.host.released);
        CHECK_FALSE(request.host.settled);
    }
}

TEST_CASE("a complete stream without events is billed its prompt")
{
    Fixture request(RequestKind::Stream);
    request.organisation = &request.limitedOrganisation;
    request.start();
    request.machine->onReservationResult({true});
    request.reportSent();
    (void)request.receiveHead(200);
    request.machine->onAnswerEnd();
    CHECK(request.host.settled == core::Tokens{100});
}

// Guards against a second answer inside the first one: once the head of a stream has gone to the
// caller, an error of the target that should continue it can't be relayed.
TEST_CASE("a target that answers a stream's continuation with an error adds nothing to the stream")
{
    for (const int status : {404, 500}) {
        Fixture request(RequestKind::Stream, true);
        request.start();
        request.reportSent();
        REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
        request.machine->onBody(Fixture::event(1));
        request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
        REQUIRE(request.host.sentTo.size() == 2);
        request.reportSent();
        CHECK(request.receiveHead(status) == AnswerHandling::Abandoned);
        CHECK(request.machine->done());
        CHECK(request.host.relayedHeads == 1);
        CHECK(request.host.status == 200);
        CHECK(request.host.body == Fixture::event(1));
        CHECK(request.host.aborted);
        CHECK_FALSE(request.host.answerEnded);
    }
}

// Guards against answers that fill the memory of the process, or fail because others have filled
// it.
TEST_CASE("an answer that can't be held is relayed as it comes, and holds nothing from then on")
{
    Fixture request(RequestKind::Repeatable);
    request.host.bufferLimit = 100;
    request.start();
    request.reportSent();
    REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(std::string(60, 'x'));
    CHECK(request.host.buffered == 60);
    CHECK(request.host.relayedHeads == 0);
    request.machine->onBody(std::string(60, 'x'));
    CHECK(request.host.buffered == 0);
    CHECK(request.host.body.size() == 120);
    for (int part = 0; part < 10; ++part) {
        request.machine->onBody(std::string(60, 'x'));
    }
    CHECK(request.host.buffered == 0);
    SECTION("to its end")
    {
        request.machine->onAnswerEnd();
        CHECK(request.host.answerEnded);
        CHECK_FALSE(request.host.relayedWhole);
        CHECK(request.host.relayedHeads == 1);
        CHECK(request.host.body == std::string(720, 'x'));
    }
    SECTION("until its target fails, after which no other may go on")
    {
        request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
        CHECK(request.host.aborted);
        CHECK_FALSE(request.host.answerEnded);
    }
    SECTION("until its time is up, and no other is asked meanwhile")
    {
        request.beSilent(6s);
        CHECK(request.host.aborted);
        CHECK_FALSE(request.host.answerEnded);
    }
    CHECK(request.machine->done());
    CHECK(request.host.sentTo.size() == 1);
}

// Guards against a sound target that counts as silent because its caller reads slowly.
TEST_CASE("a target whose answer is not read since its caller reads slowly is not silent")
{
    Fixture request(RequestKind::Stream, true);
    request.start();
    request.reportSent();
    REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(Fixture::event(1));
    request.machine->onReadingPaused(true);
    request.beSilent(3s);
    CHECK(request.host.sentTo.size() == 1);
    request.machine->onReadingPaused(false);
    request.beSilent(500ms);
    CHECK(request.host.sentTo.size() == 1);
    request.beSilent(1s);
    CHECK(request.host.sentTo.size() == 2);
}

// Guards against a target that keeps a request waiting for ever by sending comments.
TEST_CASE("a stream of nothing but comments counts as stalled and goes on at another target")
{
    Fixture request(RequestKind::Stream, true);
    request.start();
    request.reportSent();
    REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(Fixture::event(1));
    while (request.host.sentTo.size() == 1) {
        REQUIRE(request.host.time < core::TimePoint(104s));
        request.host.time += 100ms;
        request.machine->onBody(": wait\n\n");
        request.machine->onTimer();
    }
    request.machine->onSent(AttemptRole::Standby);
    REQUIRE(request.receiveStandbyHead(200) == AnswerHandling::Accept);
    request.machine->onBody(Fixture::event(2), AttemptRole::Standby);
    CHECK(request.host.promoted == 1);
    CHECK_FALSE(request.machine->done());
}

// Guards against a stream that is cut, or begun again, although its target only paused: the target
// was given up before another had taken the stream, and there was no other.
TEST_CASE("a stream stays at a silent target while no other can take it")
{
    const bool retryBudgetEmpty = GENERATE(false, true);
    Fixture request(RequestKind::Stream, true);
    request.start();
    request.reportSent();
    REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(Fixture::event(1));
    if (retryBudgetEmpty) {
        request.host.targets.setRetryShare(0, 0);
    } else {
        const std::string other = request.host.sentTo.front() == "t1" ? "t2" : "t1";
        request.host.setTargetState(other, proto::LEAVING);
    }
    for (int step = 0; step < 12; ++step) {
        request.host.time += 100ms;
        request.machine->onTimer();
        REQUIRE_FALSE(request.machine->done());
        CHECK(request.host.abandoned == 0);
    }
    request.machine->onBody(Fixture::event(2));
    request.machine->onAnswerEnd();
    CHECK(request.host.answerEnded);
    CHECK_FALSE(request.host.aborted);
    CHECK(request.host.sentTo.size() == 1);
    CHECK(request.host.body == Fixture::event(1) + Fixture::event(2));
}

TEST_CASE("a silent target keeps its stream until another one has answered")
{
    Fixture request(RequestKind::Stream, true);
    request.startAndFallSilent();
    CHECK(request.host.sentTo[0] != request.host.sentTo[1]);
    CHECK(request.host.metadata.lastEventId == 1);
    CHECK(request.host.abandoned == 0);
    CHECK(request.receiveStandbyHead(200) == AnswerHandling::Accept);
    CHECK(request.host.abandoned == 0);
    CHECK(request.host.promoted == 0);
    request.machine->onBody(Fixture::event(2), AttemptRole::Standby);
    CHECK(request.host.abandoned == 1);
    CHECK(request.host.promoted == 1);
    request.machine->onAnswerEnd();
    CHECK(request.host.relayedHeads == 1);
    CHECK(request.host.body == Fixture::event(1) + Fixture::event(2));
    CHECK(request.host.answerEnded);
}

TEST_CASE("a silent target that goes on keeps its stream, and the standby is cancelled")
{
    Fixture request(RequestKind::Stream, true);
    request.startAndFallSilent();
    request.machine->onBody(Fixture::event(2));
    CHECK(request.host.abandoned == 0);
    CHECK(request.host.abandonedStandbys == 1);
    request.machine->onAnswerEnd();
    CHECK(request.host.body == Fixture::event(1) + Fixture::event(2));
    CHECK(request.host.answerEnded);
    CHECK(request.host.promoted == 0);
}

TEST_CASE("a standby that fails does not end the stream of a silent target")
{
    using Failure = std::function<void(Fixture &)>;
    const std::vector<Failure> failures{
        [](Fixture &request) {
            request.machine->onFailed({core::RetryReason::ConnectFailed, false},
                                      AttemptRole::Standby);
        },
        [](Fixture &request) {
            request.machine->onFailed({core::RetryReason::ConnectionBroken, true},
                                      AttemptRole::Standby);
        },
        [](Fixture &request) {
            net::ResponseHead full;
            full.status = 503;
            CHECK(request.machine->onAnswer(full, {"id-1", false, true}, AttemptRole::Standby)
                  == AnswerHandling::Abandoned);
        },
        [](Fixture &request) {
            CHECK(request.receiveStandbyHead(500) == AnswerHandling::Abandoned);
        },
    };
    for (const Failure &fail : failures) {
        Fixture request(RequestKind::Stream, true);
        request.startAndFallSilent();
        fail(request);
        REQUIRE_FALSE(request.machine->done());
        CHECK(request.host.abandoned == 0);
        CHECK(request.host.abandonedStandbys == 1);
        request.machine->onBody(Fixture::event(2));
        request.machine->onAnswerEnd();
        CHECK(request.host.answerEnded);
        CHECK(request.host.body == Fixture::event(1) + Fixture::event(2));
    }
}

TEST_CASE("a stream whose silent target breaks off goes on at the standby")
{
    Fixture request(RequestKind::Stream, true);
    request.startAndFallSilent();
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    REQUIRE_FALSE(request.machine->done());
    CHECK(request.host.promoted == 1);
    CHECK(request.host.sentTo.size() == 2);
    CHECK(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(Fixture::event(2));
    request.machine->onAnswerEnd();
    CHECK(request.host.answerEnded);
    CHECK(request.host.body == Fixture::event(1) + Fixture::event(2));
}

TEST_CASE("a request runs at no more targets than its route allows, its standbys included")
{
    Fixture stream(RequestKind::Stream, true);
    stream.host.addTarget("t3");
    stream.startAndFallSilent();
    REQUIRE(stream.receiveStandbyHead(200) == AnswerHandling::Accept);
    stream.machine->onBody(Fixture::event(2), AttemptRole::Standby);
    stream.beSilent(2s);
    CHECK(stream.host.sentTo.size() == 2);
    CHECK_FALSE(stream.machine->done());

    Fixture plain(RequestKind::Repeatable);
    plain.host.addTarget("t3");
    plain.start();
    plain.reportSent();
    plain.beSilent(2s);
    REQUIRE(plain.host.sentTo.size() == 2);
    plain.machine->onSent(AttemptRole::Standby);
    // The answer to a standby that is cancelled may already be on its way.
    REQUIRE(plain.receiveHead(200) == AnswerHandling::Accept);
    plain.beSilent(2s);
    // It counts already, so it may get the request again, and no third target may.
    REQUIRE(plain.host.sentTo.size() == 3);
    CHECK(plain.host.sentTo[2] == plain.host.sentTo[1]);
    CHECK_FALSE(plain.machine->done());
}

// Guards against a pause that takes away the one continuation which the route allows.
TEST_CASE("a stream whose target paused is continued by another target if it breaks off later")
{
    Fixture request(RequestKind::Stream, true);
    request.startAndFallSilent();
    request.machine->onBody(Fixture::event(2));
    CHECK(request.host.abandonedStandbys == 1);
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    REQUIRE_FALSE(request.machine->done());
    CHECK(request.host.sentTo.size() == 3);
    CHECK(request.host.metadata.lastEventId == 2);
}

// Guards against standbys that are refused and leave no attempt for a target that breaks off.
TEST_CASE("refused standbys leave an attempt for a target that breaks off")
{
    Fixture request(RequestKind::Stream, true);
    request.host.addTarget("t3");
    request.host.addTarget("t4");
    request.host.addTarget("t5");
    request.startAndFallSilent();
    net::ResponseHead full;
    full.status = 503;
    for (int step = 0; step < 30; ++step) {
        if (request.host.lastRole == AttemptRole::Standby) {
            (void)request.machine->onAnswer(full, {"id-1", false, true}, AttemptRole::Standby);
            request.host.lastRole = AttemptRole::Current;
        }
        request.beSilent(100ms);
    }
    const size_t sent = request.host.sentTo.size();
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    REQUIRE_FALSE(request.machine->done());
    CHECK(request.host.sentTo.size() == sent + 1);
}

// Guards against a standby that is closed, and begun again at the same target, because it is
// silent too.
TEST_CASE("a silent standby is replaced only once another target is to be had")
{
    Fixture request(RequestKind::Stream, true);
    request.route.maximumTargets = 4;
    request.startAndFallSilent();
    request.beSilent(2s);
    CHECK(request.host.abandonedStandbys == 0);
    CHECK(request.host.sentTo.size() == 2);
    request.host.addTarget("t3");
    request.beSilent(1s);
    CHECK(request.host.abandonedStandbys == 1);
    REQUIRE(request.host.sentTo.size() == 3);
    CHECK(request.host.sentTo.back() == "t3");
    CHECK(request.host.abandoned == 0);
}

// Guards against a stream that waits for a target which has ended and come back under its id.
TEST_CASE("a stream goes on at a later incarnation of its silent target")
{
    Fixture request(RequestKind::Stream, true);
    request.start();
    request.reportSent();
    REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onBody(Fixture::event(1));
    const std::string target = request.host.sentTo.front();
    request.host.setTargetState(target == "t1" ? "t2" : "t1", proto::LEAVING);
    request.beSilent(1s);
    REQUIRE(request.host.sentTo.size() == 1);
    request.host.restartTarget(target);
    request.beSilent(1s);
    REQUIRE(request.host.sentTo.size() == 2);
    CHECK(request.host.sentTo.back() == target);
    CHECK(request.host.lastRole == AttemptRole::Standby);
}

TEST_CASE("a caller that leaves ends the attempt and the standby")
{
    Fixture request(RequestKind::Stream, true);
    request.startAndFallSilent();
    request.machine->onCallerDisconnected();
    CHECK(request.host.abandoned == 1);
    CHECK(request.host.abandonedStandbys == 1);
    CHECK(request.machine->done());
}

TEST_CASE("a request that is cut at the end of a planned stop is told apart from one out of time")
{
    Fixture request(RequestKind::Stream);
    request.start();
    request.reportSent();
    (void)request.receiveHead(200);
    request.machine->onBody(Fixture::event(1));
    request.machine->onShutdownDeadline();
    CHECK(request.host.aborted);
    CHECK_THAT(request.host.lastLogDetail, Catch::Contains("reason=stopping"));
}

// Guards against a request that is cut by a limit which is no longer in force.
TEST_CASE("a timeout that is raised while a request is in progress holds for it")
{
    Fixture request(RequestKind::Stream);
    const bool streaming = GENERATE(false, true);
    request.start();
    request.reportSent();
    if (streaming) {
        REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
        request.machine->onBody(Fixture::event(1));
    }
    request.host.timeout = 8s;
    request.host.time += 5s;
    request.machine->onTimer();
    CHECK_FALSE(request.machine->done());
    CHECK(request.host.timer > request.host.time + 2s);
    request.host.time += 3s;
    request.machine->onTimer();
    CHECK(request.machine->done());
    CHECK(request.host.aborted == streaming);
    CHECK(request.host.refusal.has_value() != streaming);
    CHECK(request.host.lastLogDetail.find("limit_ms=8000") != std::string::npos);
}

// Guards against a request that is cut by a limit which came into force after it had been accepted.
TEST_CASE("a timeout that is lowered while a request is in progress does not end it")
{
    Fixture request(RequestKind::Once);
    request.start();
    request.reportSent();
    request.host.timeout = 1s;
    request.host.time += 4s;
    request.machine->onTimer();
    CHECK_FALSE(request.machine->done());
    CHECK(request.receiveHead(200) == AnswerHandling::Accept);
    request.machine->onAnswerEnd();
    CHECK(request.host.status == 200);
}

// Guards against a caller's own limit that a raised timeout of the route overrides.
TEST_CASE("a raised timeout does not exceed the limit of the caller")
{
    Fixture request(RequestKind::Once);
    request.request.timeout = 5s;
    request.start();
    request.reportSent();
    request.host.timeout = 8s;
    request.host.time += 5s;
    request.machine->onTimer();
    CHECK(request.machine->done());
}

// Guards against a sound target that pauses and loses its stream to one which sends a head and no
// more.
TEST_CASE("a silent target keeps its stream until the standby has sent a part of the body")
{
    Fixture request(RequestKind::Stream, true);
    request.startAndFallSilent();
    REQUIRE(request.receiveStandbyHead(200) == AnswerHandling::Accept);
    SECTION("and the standby breaks off")
    {
        request.machine->onFailed({core::RetryReason::ConnectionBroken, true},
                                  AttemptRole::Standby);
    }
    SECTION("and the silent one goes on first")
    {
    }
    CHECK(request.host.abandoned == 0);
    request.machine->onBody(Fixture::event(2));
    request.machine->onAnswerEnd();
    CHECK(request.host.answerEnded);
    CHECK(request.host.promoted == 0);
    CHECK(request.host.abandonedStandbys == 1);
    CHECK(request.host.body == Fixture::event(1) + Fixture::event(2));
}

TEST_CASE("a standby whose head has come goes on when the silent target breaks off")
{
    Fixture request(RequestKind::Stream, true);
    request.startAndFallSilent();
    REQUIRE(request.receiveStandbyHead(200) == AnswerHandling::Accept);
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    CHECK(request.host.promoted == 1);
    request.machine->onBody(Fixture::event(2));
    request.machine->onAnswerEnd();
    CHECK(request.host.answerEnded);
    CHECK(request.host.body == Fixture::event(1) + Fixture::event(2));
}

TEST_CASE("a standby whose answer has no body goes on with its end")
{
    Fixture request(RequestKind::Repeatable);
    request.start();
    request.reportSent();
    request.beSilent(2s);
    REQUIRE(request.host.sentTo.size() == 2);
    request.machine->onSent(AttemptRole::Standby);
    REQUIRE(request.receiveStandbyHead(200) == AnswerHandling::Accept);
    request.machine->onAnswerEnd(AttemptRole::Standby);
    CHECK(request.host.promoted == 1);
    CHECK(request.host.answerEnded);
    CHECK(request.host.status == 200);
}

// Guards against a sound, silent target that is given up for a standby which can't go on.
TEST_CASE("a standby that has sent nothing of use does not take over")
{
    Fixture request(RequestKind::Stream, true);
    request.answerFraming = net::BodyFraming::UntilClosed;
    request.startAndFallSilent();
    REQUIRE(request.receiveStandbyHead(200) == AnswerHandling::Accept);
    SECTION("a comment")
    {
        request.machine->onBody(": wait\n\n", AttemptRole::Standby);
        request.machine->onFailed({core::RetryReason::ConnectionBroken, true},
                                  AttemptRole::Standby);
    }
    SECTION("an event that the caller has, and the end")
    {
        request.machine->onBody(Fixture::event(1), AttemptRole::Standby);
        request.machine->onAnswerEnd(AttemptRole::Standby);
    }
    SECTION("an event that is not the next")
    {
        request.machine->onBody(Fixture::event(3), AttemptRole::Standby);
    }
    SECTION("a part of an event, and the end")
    {
        request.machine->onBody("id: 2\nda", AttemptRole::Standby);
        request.machine->onAnswerEnd(AttemptRole::Standby);
    }
    SECTION("the end")
    {
        request.machine->onAnswerEnd(AttemptRole::Standby);
    }
    CHECK(request.host.abandoned == 0);
    CHECK(request.host.promoted == 0);
    CHECK(request.host.abandonedStandbys == 1);
    request.machine->onBody(Fixture::event(2));
    request.machine->onAnswerEnd();
    CHECK(request.host.answerEnded);
    CHECK(request.host.body == Fixture::event(1) + Fixture::event(2));
}

// Guards against a second head inside an answer that has begun.
TEST_CASE("a standby whose answer can't follow what the caller has does not take over")
{
    Fixture request(RequestKind::Stream, true);
    request.start();
    request.reportSent();
    REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
    request.beSilent(2s);
    REQUIRE(request.host.sentTo.size() == 2);
    request.machine->onSent(AttemptRole::Standby);
    REQUIRE(request.receiveStandbyHead(404) == AnswerHandling::Accept);
    request.machine->onBody(": wait\n\n");
    REQUIRE(request.host.relayedHeads == 1);
    SECTION("with its body")
    {
        request.machine->onBody("no such thing", AttemptRole::Standby);
        CHECK(request.host.abandoned == 0);
        request.machine->onBody(Fixture::event(1));
        request.machine->onAnswerEnd();
        CHECK(request.host.answerEnded);
    }
    SECTION("when the silent target breaks off")
    {
        request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    }
    CHECK(request.host.promoted == 0);
    CHECK_FALSE(request.host.relayedWhole);
    CHECK(request.host.relayedHeads == 1);
}

// Guards against an attempt that is given the rest of a time limit which is no longer in force.
TEST_CASE("a retry has the time of a timeout that was raised before it")
{
    Fixture request(RequestKind::Stream, true);
    request.start();
    request.reportSent();
    request.host.timeout = 8s;
    request.host.time += 4s;
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    REQUIRE(request.host.sentTo.size() == 2);
    CHECK(request.host.metadata.timeout == 4s);
}

// Guards against attempts outside the allowed regions when the targets inside fail or are silent:
// t1 and t2 are in no region.
TEST_CASE("every attempt of a request goes to a target in the allowed regions")
{
    const bool fails = GENERATE(false, true); // Otherwise the target is silent.
    Fixture request(RequestKind::Stream, true);
    request.host.allowedRegions = std::vector<std::string>{"a"};
    request.host.addTarget("a1", "dc-a");
    request.host.addTarget("b1", "dc-b");
    SECTION("with another target there")
    {
        request.host.addTarget("a2", "dc-a");
        request.start();
        request.reportSent();
        REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
        request.machine->onBody(Fixture::event(1));
        if (fails) {
            request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
        } else {
            request.beSilent(3s);
        }
        REQUIRE(request.host.sentTo.size() == 2);
        CHECK(request.host.metadata.lastEventId == 1);
        CHECK(request.host.lastRole == (fails ? AttemptRole::Current : AttemptRole::Standby));
        CHECK(std::set<std::string>(request.host.sentTo.begin(), request.host.sentTo.end())
              == std::set<std::string>{"a1", "a2"});
    }
    SECTION("with no other target there")
    {
        request.start();
        request.reportSent();
        REQUIRE(request.receiveHead(200) == AnswerHandling::Accept);
        request.machine->onBody(Fixture::event(1));
        if (fails) {
            request.host.setTargetState("a1", proto::GONE);
            request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
            CHECK(request.host.aborted);
        } else {
            request.beSilent(3s);
            CHECK_FALSE(request.machine->done());
        }
        CHECK(request.host.sentTo == std::vector<std::string>{"a1"});
    }
}

// Guards against a request that waits for tokens, or is retried, though nothing may serve it.
TEST_CASE("a request without a target in its allowed regions is refused before it reserves tokens")
{
    Fixture request(RequestKind::Repeatable);
    request.organisation = &request.limitedOrganisation;
    request.host.allowedRegions
        = GENERATE(std::vector<std::string>{}, std::vector<std::string>{"b"});
    request.host.addTarget("a1", "dc-a");
    request.start();
    REQUIRE(request.host.refusal);
    CHECK(request.host.refusal->reason == core::RefusalReason::NoTargetInRegion);
    CHECK(request.host.refusal->outcome == core::Outcome::NotRun);
    CHECK(request.host.refusal->retryAfter > core::Duration::zero());
    CHECK_FALSE(request.host.reserved);
    CHECK_FALSE(request.host.released);
    CHECK(request.host.sentTo.empty());
    CHECK(request.machine->done());
}

// Guards against a retry by lists that may have been replaced: the host then allows no region.
TEST_CASE("a retry follows the regions that are allowed when it is sent")
{
    Fixture request(RequestKind::Repeatable);
    request.host.allowedRegions = std::vector<std::string>{"a"};
    request.host.addTarget("a1", "dc-a");
    request.host.addTarget("b1", "dc-b");
    request.start();
    request.reportSent();
    SECTION("other regions")
    {
        request.host.allowedRegions = std::vector<std::string>{"b"};
        request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
        CHECK(request.host.sentTo == std::vector<std::string>{"a1", "b1"});
    }
    SECTION("none")
    {
        request.host.allowedRegions.emplace();
        request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
        REQUIRE(request.host.refusal);
        CHECK(request.host.refusal->reason == core::RefusalReason::NoTargetInRegion);
        CHECK(request.host.refusal->outcome == core::Outcome::Unknown);
        CHECK(request.host.sentTo == std::vector<std::string>{"a1"});
    }
}
