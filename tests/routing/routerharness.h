// Helpers for tests of the router: a router with a few targets, and requests to it.
#pragma once

#include "samphirebridge/routing/router.h"

#include <random>
#include <string>

using TestRouter = samphirebridge::routing::Router<std::mt19937_64>;

inline samphirebridge::proto::TargetRecord readyRecord(const std::string &id,
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

// Returns options with a longer admitted wait than the default, so that a few targets take many
// requests.
inline samphirebridge::routing::RoutingOptions longWaitOptions()
{
    samphirebridge::routing::RoutingOptions options;
    options.admission.longestWait = std::chrono::seconds(10);
    return options;
}

inline std::string fingerprintOf(char name)
{
    return std::string(16, name);
}

inline samphirebridge::routing::RouteRequest requestOf(char name)
{
    samphirebridge::routing::RouteRequest request;
    request.service = samphirebridge::core::ServiceId("chat");
    request.model = samphirebridge::core::ModelId("letters");
    request.organisation = samphirebridge::core::OrganisationId("organisation");
    request.fingerprint = fingerprintOf(name);
    request.promptTokens = 64;
    request.outputTokens = 64;
    return request;
}

// Registers the target kind and adds the targets t0, t1 and so on.
inline void addTargets(TestRouter &router, int targets)
{
    samphirebridge::proto::TargetKind kind;
    kind.set_id("engine");
    kind.set_service("chat");
    router.setKinds({&kind, 1});
    for (int target = 0; target < targets; ++target) {
        router.onTarget(readyRecord("t" + std::to_string(target)), {});
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

// Chooses a target, which must not be refused, and records the attempt as sent.
inline samphirebridge::routing::Choice send(TestRouter &router,
                                            const samphirebridge::routing::RouteRequest &request,
                                            samphirebridge::core::TimePoint now)
{
    auto choice = choiceOf(router.choose(request, now));
    router.onSent(choice.ticket, now);
    return choice;
}
