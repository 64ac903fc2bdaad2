// A declaration as the instances apply it: routes, services, organisations and limits.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/core/tokens.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphirebridge::forwarding
{

// How often the requests of a route may run.
enum class RequestKind : uint8_t {
    Repeatable, // May run any number of times.
    Once, // May run at most once.
    Stream, // Answered by a stream of events; may run at most once unless the route is resumable.
};

// One of the services that a route's requests are divided among.
struct ServiceShare {
    core::ServiceId service;
    uint32_t weight = 0; // Its share of the requests is the weight over the sum of all weights.
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; // Begins and ends with a slash.
    RequestKind kind = RequestKind::Once;
    bool resumable = false; // Another target may continue a broken stream after its last event.
    bool anonymous = false; // Callers need no API key.
    bool engine = false; // The services are engines: requests state a model and prompt blocks.
    core::Duration timeout{}; // The longest time that a request may take.
    core::Duration latencyObjective{}; // To the answer; for a stream, to its first event.
    core::Duration gapObjective{}; // Between two events of a stream.
    int32_t priority = 0; // Lower runs first.
    uint32_t maximumTargets = 1; // Targets that may run one request; those that refuse don't count.
    std::vector<ServiceShare> services{};
    // Names of the regions whose targets may serve its requests; empty: all.
    std::vector<std::string> allowedRegions{};
};

// Properties that all engines of a service share.
struct EngineTraits {
    uint32_t slots = 0; // Requests that an engine runs at the same time.
    uint64_t cacheTokens = 0; // Size of an engine's prompt cache.
    uint32_t tokensPerEvent = 0; // The most output tokens in one event of a stream; 0: not stated.
};

struct Service {
    core::ServiceId id;
    uint32_t connectionsPerTarget = 0; // A target's limit over all instances; 0: not stated.
    std::optional<EngineTraits> engine{};
    // What a target can handle from the whole fleet while it is cold; 0: not stated, no limit.
    double coldRequestsPerSecond = 0;
    core::Duration coldStart{}; // How long a target is cold after it starts.
};

struct Organisation {
    core::OrganisationId id;
    std::vector<std::string> keys{}; // API keys of its callers.
    std::optional<int32_t> priority{}; // Overrides the route's.
    std::optional<core::Tokens> purchased{}; // What it may spend in total; empty: unlimited.
    // Names of the regions whose targets may serve its requests, beside those of the route; empty:
    // all.
    std::vector<std::string> allowedRegions{};
};

// Limits on the size of a caller's request and on the time that its connection may take.
struct CallerLimits {
    size_t headBytes = size_t{16} * 1024;
    size_t bodyBytes = size_t{4} * 1024 * 1024;
    core::Duration headTimeout = std::chrono::seconds(5);
    core::Duration idleTimeout = std::chrono::seconds(15);
};

// Tokens of openings that a holder may have unrecorded in the ledger, per budget, under a
// declaration. Not limited further, so that an isolated instance goes on serving out of its escrow.
inline constexpr core::Tokens MaximumExposure = core::MaximumPurchase;

// The most that may be so while the instance is in contact with the ledger; core::contactExposure()
// gives less to an instance that needs less. The opening of a larger request is recorded before the
// request is sent on, which takes a round trip to the quorum. This bounds what each budget loses
// when an instance ends without notice.
inline constexpr core::Tokens ContactExposure{200'000};

// How much each second out of contact adds to ContactExposure, in tokens, if requests reserve
// little; instances report what they need beyond this. When an instance ends without notice, its
// budgets lose this much for each second since its last report but one.
inline constexpr int64_t MinimumIsolationTokensPerSecond = 2'500;

struct Declaration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    CallerLimits limits;
};

} // namespace samphirebridge::forwarding
