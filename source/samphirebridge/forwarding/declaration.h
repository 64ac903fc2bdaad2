// A declaration as the instances obey it: routes, services, organisations and limits.
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

// What a request of a route is, as far as repeating it goes.
enum class RequestKind : uint8_t {
    Repeatable, // May run any number of times.
    Once, // May run at most once.
    Stream, // Events; at most once unless the route resumes streams.
};

// One of the services that a route's requests are divided among.
struct ServiceShare {
    core::ServiceId service;
    uint32_t weight = 0; // Relative to the others.
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; // Begins and ends with a slash.
    RequestKind kind = RequestKind::Once;
    bool resumable = false; // A stream may go on at another target after its last event.
    bool anonymous = false; // Callers need no key.
    bool engine = false; // Requests name a model and the parts of their prompt.
    core::Duration timeout{}; // The longest time that a request may take.
    core::Duration latencyObjective{}; // To the answer; for a stream, to its first event.
    core::Duration gapObjective{}; // Between two events of a stream.
    int32_t priority = 0; // 0 goes first.
    uint32_t maximumTargets = 1; // Targets that one request may be sent to.
    std::vector<ServiceShare> services{};
};

// What is known of the engines of a service.
struct EngineTraits {
    uint32_t slots = 0;
    uint64_t cacheTokens = 0;
    uint32_t tokensPerEvent = 1; // The most that one event of a stream holds.
};

struct Service {
    core::ServiceId id;
    uint32_t connectionsPerTarget = 0; // That a target takes from all instances; 0: not stated.
    std::optional<EngineTraits> engine{};
};

struct Organisation {
    core::OrganisationId id;
    std::vector<std::string> keys{};
    std::optional<int32_t> priority{}; // Goes before the route's.
    std::optional<core::Tokens> purchased{}; // What it may spend in all; without it, no bound.
};

// What a caller may send, and how long it may take.
struct CallerLimits {
    size_t headBytes = size_t{16} * 1024;
    size_t bodyBytes = size_t{4} * 1024 * 1024;
    core::Duration headTimeout = std::chrono::seconds(5);
    core::Duration idleTimeout = std::chrono::seconds(15);
};

// Openings that a holder may have without a record, per budget, under a declaration: an instance
// that is cut off goes on serving out of its escrow.
inline constexpr core::Tokens DeclarationExposure = core::MaximumPurchase;

// The same while the instance is in contact with the ledger: a few short requests. A larger one is
// recorded before it is sent on, which takes a round trip to the quorum. It is the most that each
// budget loses when an instance ends without a word; less where the instance needs little of it.
inline constexpr core::Tokens ContactExposure{4'000};

// What each second without contact adds to it, in tokens, where requests reserve little; instances
// report what they need beyond. An instance that ends unheard takes this much with it for each
// second since its last report but one.
inline constexpr int64_t LeastIsolationRate = 2'500;

struct Declaration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    CallerLimits limits;
};

} // namespace samphirebridge::forwarding
