// What the router is asked and what it answers.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace samphirebridge::routing
{

// A hash over a prompt's first blocks, up to and including one of them.
using BlockFingerprint = uint64_t;

// Names one choice of the router until its end was reported.
using Ticket = uint64_t;

struct RouteRequest {
    core::ServiceId service;
    // Empty for a plain service: every target of the service's kinds serves it.
    core::ModelId model;
    core::OrganisationId organisation;
    // The request's fingerprint (core::fingerprintOf), by which it is known after a crash.
    std::string fingerprint;
    // One hash for each whole block of the prompt, each over all blocks up to it.
    std::vector<BlockFingerprint> prefix;
    // The tokens of each of these blocks, where they differ; otherwise PrefixOptions::blockTokens.
    std::vector<uint32_t> prefixTokens;
    // The part of a prompt that other requests share, as its leading blocks. Instances that see the
    // same targets send requests with the same shared part to the same home, whoever was first.
    size_t sharedBlocks = 0;
    // A home's backlog may be expected to take this much longer than the shortest of the homes'.
    core::Duration homeSlack{};
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0; // Expected, not the bound.
    int32_t priority = 0; // Lower is sooner. Steps of one are enough.
    core::TimePoint deadline = core::TimePoint::max(); // For the first token.
    // 1 for the first attempt; later ones draw on the retry budget.
    uint32_t attempt = 1;
    // Targets that already failed this request; preferred last, and not at all while others exist.
    std::vector<core::TargetId> excluded;
};

struct Choice {
    Ticket ticket = 0;
    core::TargetId target;
    core::Incarnation incarnation = 0;
    std::string address;
    // The expected time from sending to the first token; for a plain service, to the answer.
    core::Duration expectedFirstToken{};
    // What to send as the request's priority: lower runs first.
    int32_t enginePriority = 0;
    // Tokens of the prompt that the target is believed to hold already.
    uint32_t cachedTokens = 0;
};

// The request was not sent. NoTarget, Overloaded, DeadlineExceeded, RetryBudgetExhausted,
// TargetsFailed (every target excluded or its breaker open) or CrashSuspect.
struct Refusal {
    core::RefusalReason reason = core::RefusalReason::NoTarget;
    core::Duration retryAfter{};
};

using Decision = std::variant<Choice, Refusal>;

// The end of an attempt that went well.
struct FinishedAttempt {
    uint32_t promptTokens = 0; // 0: not told.
    uint32_t outputTokens = 0;
    uint32_t cachedTokens = 0; // Of the prompt, as the target's usage says.
};

// Changes of a target's prefix cache, numbered by the target without gaps from 1.
struct CacheEvents {
    core::TargetId target;
    core::Incarnation incarnation = 0;
    uint64_t sequence = 0;
    // The whole content follows in stored; what was known before is forgotten.
    bool snapshot = false;
    std::vector<BlockFingerprint> stored;
    std::vector<BlockFingerprint> removed;
};

} // namespace samphirebridge::routing
