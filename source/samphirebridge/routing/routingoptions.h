// The knobs of routing, with the defaults that docs/design/0005-routing.md justifies.
#pragma once

#include "samphirebridge/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace samphirebridge::routing
{

struct LoadOptions {
    // Assumed until the target was observed: tokens of prompt that a target reads per second.
    double promptTokensPerSecond = 8000.0;
    // Assumed until the target was observed: tokens of one answer, and the time that each takes.
    // For a plain service an answer counts as one token.
    double outputTokens = 200.0;
    core::Duration tokenTime = std::chrono::milliseconds(50);
    // Requests that a target without a stated capacity is taken to serve at once.
    uint32_t defaultCapacity = 16;
    // How unsure an estimate of a target's requests is, as a part of its capacity: what others sent
    // since the last report is not known.
    double doubt = 0.1;
    // How long a report of what other instances run on a target is believed; as it ages, the mean
    // of the other targets takes its place.
    core::Duration believeReport = std::chrono::seconds(1);
    // The weight of a new observation in a running mean.
    double learningRate = 0.1;
};

struct PrefixOptions {
    // Tokens in one block of a prompt, as its fingerprints are made.
    uint32_t blockTokens = 16;
    // Blocks remembered for one target at most.
    size_t blocksPerTarget = 65'536;
};

struct BreakerOptions {
    // Failures in a row that open a breaker.
    uint32_t failuresToOpen = 2;
    // The first pause of an open breaker, and the longest; it doubles with each failed probe.
    core::Duration firstPause = std::chrono::seconds(1);
    core::Duration longestPause = std::chrono::seconds(60);
    // A probe that got no verdict for this long is taken for lost.
    core::Duration probeTimeout = std::chrono::seconds(30);
};

struct RetryOptions {
    // Retries allowed per hundred first attempts.
    uint32_t sharePercent = 20;
    // Retries that may be saved up while nothing fails.
    double burst = 20.0;
};

struct SuspectOptions {
    // Distinct crashes after which a request is refused.
    size_t crashesToRefuse = 2;
    // How long a broken connection waits for the proof that its target crashed.
    core::Duration confirmWithin = std::chrono::seconds(10);
    // How long a suspect is remembered.
    core::Duration remember = std::chrono::hours(1);
    // When a suspect that found no idle target to run alone on may ask again.
    core::Duration askAgain = std::chrono::seconds(2);
};

struct AdmissionOptions {
    // The longest estimated wait for a place on a target that a request of priority 0 accepts.
    core::Duration longestWait = std::chrono::seconds(2);
    // The part of longestWait above which an organisation is held to its share.
    double fairFrom = 0.25;
    // Requests of at most so many tokens, prompt and output, count as short.
    uint32_t shortTokens = 512;
    // The part of longestWait that requests above shortTokens may use.
    double longPart = 0.5;
    // The half-life of an organisation's recent use.
    core::Duration useHalfLife = std::chrono::seconds(10);
};

struct SubsetOptions {
    // Targets per model that one instance routes over; all of them if there are fewer.
    size_t targetsPerModel = 64;
    // The data centre of this instance; its targets are preferred.
    std::string dataCentre;
    // The part of the subset that comes from other data centres where there are enough.
    double foreignPart = 0.125;
};

struct RoutingOptions {
    LoadOptions load;
    PrefixOptions prefix;
    BreakerOptions breaker;
    RetryOptions retry;
    SuspectOptions suspect;
    AdmissionOptions admission;
    SubsetOptions subset;
    // Targets drawn at random for one decision, besides those that hold the prompt's prefix.
    size_t draws = 4;
    // A target may have this multiple of the mean load and still be chosen for its prefix.
    double affinityLoadFactor = 1.25;
};

} // namespace samphirebridge::routing
