// A host that records the decisions of a forward machine, and a request with its targets.
#pragma once

#include "samphirebridge/forwarding/forwardmachine.h"
#include "samphirebridge/routing/router.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::forwarding
{

using namespace std::chrono_literals;

// The data centre "dc-a" is in the region "a", "dc-b" in "b".
inline routing::RoutingOptions optionsWithRegions()
{
    routing::RoutingOptions options;
    options.dataCentreRegions = {{"dc-a", "a"}, {"dc-b", "b"}};
    return options;
}

// Records the machine's decisions without carrying them out. Its targets serve "letters".
class RecordingHost
{
public:
    RecordingHost()
        : targets(core::InstanceId("self"), optionsWithRegions(), std::mt19937_64(1))
    {
        proto::TargetKind kind;
        kind.set_id("letters");
        kind.set_service("letters");
        this->targets.setKinds(std::vector{kind});
    }

    void addTarget(const std::string &id, const std::string &dataCentre = {})
    {
        proto::TargetRecord record;
        record.set_id(id);
        record.set_incarnation(1);
        record.set_address("10.0.0.1:80");
        record.set_kind("letters");
        record.set_data_centre(dataCentre);
        record.set_state(proto::READY);
        record.mutable_load()->set_capacity(8);
        this->records[id] = record;
        this->targets.onTarget(record, this->time);
    }

    void setTargetState(const std::string &id, proto::TargetState state)
    {
        proto::TargetRecord record = this->records.at(id);
        record.set_state(state);
        this->targets.onTarget(record, this->time);
    }

    void restartTarget(const std::string &id)
    {
        proto::TargetRecord &record = this->records.at(id);
        record.set_incarnation(record.incarnation() + 1);
        this->targets.onTarget(record, this->time);
    }

    core::TimePoint now()
    {
        return this->time;
    }
    void reserveTokens(core::Tokens tokens)
    {
        this->reserved = tokens;
        ++this->reservations;
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
    void send(AttemptRole role, const routing::Choice &choice, const AttemptMetadata &metadata)
    {
        this->lastRole = role;
        this->open[role] = this->sentTo.size();
        this->sentTo.push_back(choice.target.value);
        this->metadata = metadata;
    }
    void abandonAttempt(AttemptRole role)
    {
        this->open.erase(role);
        ++(role == AttemptRole::Standby ? this->abandonedStandbys : this->abandoned);
    }
    void promoteStandby()
    {
        ++this->promoted;
        this->open[AttemptRole::Current] = this->open.at(AttemptRole::Standby);
        this->open.erase(AttemptRole::Standby);
    }
    void relayHead(const net::ResponseHead &head)
    {
        this->status = head.status;
        this->framing = head.framing;
        ++this->relayedHeads;
    }
    void relayBody(std::string_view bytes)
    {
        this->body += bytes;
    }
    void relayEnd()
    {
        this->answerEnded = true;
    }
    void relayWhole(const net::ResponseHead &head, std::string_view bytes)
    {
        ++this->relayedHeads;
        this->status = head.status;
        this->framing = head.framing;
        this->body = bytes;
        this->relayedWhole = true;
        this->answerEnded = true;
    }
    bool bufferAnswer(size_t bytes)
    {
        this->buffered += bytes;
        return this->buffered <= this->bufferLimit;
    }
    void discardBufferedAnswer()
    {
        this->buffered = 0;
    }
    void refuse(const ForwardRefusal &refusal)
    {
        this->refusal = refusal;
    }
    void abortAnswer()
    {
        this->aborted = true;
    }
    core::Duration timeoutInForce()
    {
        return this->timeout;
    }
    AllowedRegions allowedRegionsInForce()
    {
        return this->allowedRegions;
    }
    void setTimer(core::TimePoint due)
    {
        this->timer = due;
    }
    void logEvent(const ForwardLogEvent &event)
    {
        this->loggedEvents.emplace_back(event.event);
        this->lastLogDetail = event.detail;
    }

    core::TimePoint time = core::TimePoint(100s);
    routing::Router<std::mt19937_64> targets;
    std::map<std::string, proto::TargetRecord> records;
    std::optional<core::Tokens> reserved; // By the last call.
    int reservations = 0;
    std::optional<core::Tokens> settled;
    bool released = false;
    std::vector<std::string> sentTo;
    std::map<AttemptRole, size_t> open; // The open attempts, by their indices in sentTo.
    AttemptMetadata metadata;
    AttemptRole lastRole = AttemptRole::Current;
    int abandoned = 0;
    int abandonedStandbys = 0;
    int promoted = 0;
    int relayedHeads = 0;
    net::BodyFraming framing = net::BodyFraming::None;
    int status = 0;
    std::string body;
    size_t buffered = 0;
    size_t bufferLimit = 1'000'000;
    bool answerEnded = false;
    bool relayedWhole = false;
    bool aborted = false;
    std::optional<ForwardRefusal> refusal;
    AllowedRegions allowedRegions{};
    core::Duration timeout{}; // Of the route, by the declaration in force.
    core::TimePoint timer;
    std::vector<std::string> loggedEvents;
    std::string lastLogDetail;
};

// A request with two targets and the machine that forwards it.
struct ForwardFixture {
    explicit ForwardFixture(RequestKind kind, bool resumable = false)
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
        this->service.engine = EngineTraits{.tokensPerEvent = 5};
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

    void reportSent()
    {
        this->machine->onSent();
    }

    AnswerHandling
    receiveHead(int status, const std::string &id = "id-1", bool signedByTarget = true)
    {
        net::ResponseHead answer;
        answer.status = status;
        answer.framing = this->answerFraming;
        return this->machine->onAnswer(answer, {id, signedByTarget, false});
    }

    // The standby's target answers.
    AnswerHandling receiveStandbyHead(int status)
    {
        net::ResponseHead answer;
        answer.status = status;
        answer.framing = this->answerFraming;
        return this->machine->onAnswer(answer, {"id-1", true, false}, AttemptRole::Standby);
    }

    // Starts the request, relays the first event of its stream and lets its target be silent until
    // a standby is sent.
    void startAndFallSilent()
    {
        this->start();
        this->reportSent();
        REQUIRE(this->receiveHead(200) == AnswerHandling::Accept);
        this->machine->onBody(event(1));
        this->host.time += 1s;
        this->machine->onTimer();
        REQUIRE(this->host.sentTo.size() == 2);
        REQUIRE(this->host.lastRole == AttemptRole::Standby);
        this->machine->onSent(AttemptRole::Standby);
    }

    void receiveRefusal()
    {
        net::ResponseHead answer;
        answer.status = 503;
        CHECK(this->machine->onAnswer(answer, {"id-1", false, true}) == AnswerHandling::Abandoned);
    }

    // Lets the time pass in steps in which no target sends anything.
    void beSilent(core::Duration time)
    {
        for (const core::TimePoint end = this->host.time + time; this->host.time < end;) {
            this->host.time += 100ms;
            this->machine->onTimer();
        }
    }

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: x\n\n";
    }

    RecordingHost host;
    Route route;
    Service service;
    Organisation limitedOrganisation{.id = core::OrganisationId("payer"),
                                     .purchased = core::Tokens{1'000}};
    const Organisation *organisation = nullptr;
    CallerRequest request;
    net::BodyFraming answerFraming = net::BodyFraming::Chunked; // Of the targets' answers.
    std::optional<ForwardMachine<RecordingHost>> machine;
};

} // namespace samphirebridge::forwarding
