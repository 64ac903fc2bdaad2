// A router with a few targets, for the tests of its promises.
#pragma once

#include "samphirebridge/routing/router.h"

#include <random>
#include <string>

using TestRouter = samphirebridge::routing::Router<std::mt19937_64>;

inline samphirebridge::proto::TargetRecord engineRecord(const std::string &id,
                                                        uint64_t incarnation = 1)
{
    samphirebridge::proto::TargetRecord record;
    record.set_id(id);
    record.set_incarnation(incarnation);
    record.set_address("10.0.0.1:9001");
    record.set_kind("engine");
    record.add_models("letters");
    record.set_state(samphirebridge::proto::READY);
    record.mutable_load()->set_capacity(4);
    return record;
}

// Options with a longer wait than the default, so that a few targets take many requests.
inline samphirebridge::routing::RoutingOptions patientOptions()
{
    samphirebridge::routing::RoutingOptions options;
    options.admission.longestWait = std::chrono::seconds(10);
    return options;
}

inline std::string fingerprintNamed(char name)
{
    return std::string(16, name);
}

inline samphirebridge::routing::RouteRequest requestNamed(char name)
{
    samphirebridge::routing::RouteRequest request;
    request.service = samphirebridge::core::ServiceId("chat");
    request.model = samphirebridge::core::ModelId("letters");
    request.organisation = samphirebridge::core::OrganisationId("organisation");
    request.fingerprint = fingerprintNamed(name);
    request.promptTokens = 64;
    request.outputTokens = 64;
    return request;
}

// Makes the kind of the engines known and adds the targets t0, t1 and so on.
inline void setUp(TestRouter &router, int targets)
{
    samphirebridge::proto::TargetKind kind;
    kind.set_id("engine");
    kind.set_service("chat");
    router.setKinds({&kind, 1});
    for (int target = 0; target < targets; ++target) {
        router.onTarget(engineRecord("t" + std::to_string(target)), {});
    }
}

inline samphirebridge::routing::Choice choiceOf(const samphirebridge::routing::Decision &decision)
{
    return std::get<samphirebridge::routing::Choice>(decision);
}

inline samphirebridge::routing::Refusal refusalOf(const samphirebridge::routing::Decision &decision)
{
    return std::get<samphirebridge::routing::Refusal>(decision);
}

// Chooses and sends.
inline samphirebridge::routing::Choice send(TestRouter &router,
                                            const samphirebridge::routing::RouteRequest &request,
                                            samphirebridge::core::TimePoint now)
{
    auto choice = choiceOf(router.choose(request, now));
    router.onSent(choice.ticket, now);
    return choice;
}
