// Requests to the router and its answers.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace samphirebridge::routing
{

// A hash of a prompt's leading blocks, up to and including one of them.
using BlockFingerprint = uint64_t;

// The id of a part of a prompt, whatever stands before it.
using PartId = uint64_t;

// A target that has an open attempt of a request.
struct OpenAttempt {
    core::TargetId target;
    core::Incarnation incarnation = 0;
};

// Identifies one attempt from the router's choice until its end is reported.
using Ticket = uint64_t;

struct RouteRequest {
    core::ServiceId service;
    // Empty for a plain service: every target of the service's kinds serves it.
    core::ModelId model;
    core::OrganisationId organisation;
    // core::fingerprintOf the request, by which a resend is recognised as a crash suspect.
    std::string fingerprint;
    // One fingerprint for each whole block of the prompt.
    std::vector<BlockFingerprint> prefix;
    // The tokens of each block in prefix; empty if every block has PrefixOptions::blockTokens.
    std::vector<uint32_t> prefixTokens;
    // How many leading blocks of the prompt other requests share; 0 if none. Instances that know
    // the same targets send requests with the same shared blocks to the same target by rendezvous
    // hashing, without communicating.
    size_t sharedBlocks = 0;
    // The parts of the prompt that other requests may share, in any order; see PartSuspects.
    std::vector<PartId> sharedParts;
    // By how much the expected wait at the target chosen for the shared blocks may exceed the
    // shortest among the targets considered.
    core::Duration rendezvousSlack{};
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0; // Expected length of the answer, not its limit.
    // The regions whose targets may serve the request, each once and in ascending order; no value:
    // all regions. An empty list allows no target.
    std::optional<std::vector<std::string>> allowedRegions{};
    int32_t priority = 0; // Lower runs sooner, in steps of one.
    core::TimePoint deadline = core::TimePoint::max(); // For the first token.
    // 1 for the first attempt; later ones are charged to the retry budget.
    uint32_t attempt = 1;
    // Targets that already failed this request; chosen only if there is no other.
    std::vector<core::TargetId> excluded;
    // The only targets that may be chosen; no value: all. An empty list allows no target.
    std::optional<std::vector<core::TargetId>> onlyTargets{};
    // The targets at which other attempts of the request are open. They are never chosen, but a
    // later incarnation of one may be.
    std::vector<OpenAttempt> heldBy;
};

struct Choice {
    Ticket ticket = 0;
    core::TargetId target;
    core::Incarnation incarnation = 0;
    std::string address;
    // The expected time from sending to the first token; for a plain service, to the answer.
    core::Duration expectedFirstToken{};
    // The priority to send to the engine; lower runs first.
    int32_t enginePriority = 0;
    // Prompt tokens that the target is believed to have in its prefix cache.
    uint32_t cachedTokens = 0;
};

// The request is not to be sent now. The reason is NoTarget, NoTargetInRegion, Overloaded,
// DeadlineExceeded,
// RetryBudgetExhausted, TargetsFailed (every target's breaker refuses requests), TargetsPaused,
// TargetsCold, CrashSuspect or HarmfulPrompt.
struct Refusal {
    core::RefusalReason reason = core::RefusalReason::NoTarget;
    core::Duration retryAfter{};
};

using Decision = std::variant<Choice, Refusal>;

// What a target says of itself in an answer.
struct TargetNotice {
    bool leaving = false; // It takes no more requests.
    core::Duration pause{}; // It wants no requests from this instance for so long; 0: not said.
    std::optional<core::Duration> coldRemaining{}; // How much longer it is cold; empty: not said.
};

// A complete answer.
struct FinishedAttempt {
    // The target answered that it failed, which tells nothing about the request.
    bool failed = false;
    uint32_t promptTokens = 0; // 0 if the target did not report it.
    uint32_t outputTokens = 0;
    uint32_t cachedTokens = 0; // Part of promptTokens, as the target reported.
    // The answer ended with its connection, as it also does when the target crashes.
    bool endedByConnection = false;
};

// Changes of a target's prefix cache. The target numbers them from 1 without gaps.
struct CacheEvents {
    core::TargetId target;
    core::Incarnation incarnation = 0;
    uint64_t sequence = 0;
    // Whether stored is the whole content and replaces what was known before.
    bool snapshot = false;
    std::vector<BlockFingerprint> stored;
    std::vector<BlockFingerprint> removed;
};

} // namespace samphirebridge::routing
