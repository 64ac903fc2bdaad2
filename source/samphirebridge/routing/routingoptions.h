// Options of routing. docs/design/0005-routing.md explains the defaults.
#pragma once

#include "samphirebridge/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace samphirebridge::routing
{

struct LoadOptions {
    // Prompt tokens that a target prefills per second, assumed until measured.
    double promptTokensPerSecond = 8000.0;
    // Tokens of one answer and the time to generate each, assumed until measured. For a plain
    // service an answer counts as one token.
    double outputTokens = 200.0;
    core::Duration tokenTime = std::chrono::milliseconds(50);
    // Requests that a target without a declared capacity is assumed to serve at once.
    uint32_t defaultCapacity = 16;
    // Uncertainty of the estimated requests at a target, as a fraction of its capacity: what other
    // instances sent since its last report is unknown.
    double uncertainty = 0.1;
    // The time over which a report's count of other instances' requests is replaced by the mean of
    // all targets.
    core::Duration reportLifetime = std::chrono::seconds(1);
    // The weight of a new observation in a running mean.
    double learningRate = 0.1;
};

struct PrefixOptions {
    // Tokens in one block of a prompt where RouteRequest::prefixTokens is empty.
    uint32_t blockTokens = 16;
    // The most blocks kept for one target.
    size_t blocksPerTarget = 65'536;
};

struct BreakerOptions {
    // Consecutive failures that open a breaker.
    uint32_t failuresToOpen = 2;
    // The first pause of an open breaker, and the longest; it doubles with each failed probe.
    core::Duration firstPause = std::chrono::seconds(1);
    core::Duration longestPause = std::chrono::seconds(60);
    // A probe without an outcome after this time is considered lost; the next one may be sent.
    core::Duration probeTimeout = std::chrono::seconds(30);
};

struct RetryOptions {
    // Retries allowed per hundred first attempts.
    uint32_t sharePercent = 20;
    // The most unused retries that accumulate.
    double burst = 20.0;
};

// What is kept of the incidents of suspects, see CrashIncidents.
struct IncidentOptions {
    // How long it takes at most until it is known whether a target whose connection broke has
    // crashed. Above the time in which the target directory declares a target gone with two of five
    // watchers out of contact, and above the delay of an announcement on its way.
    core::Duration confirmationTimeout = std::chrono::seconds(20);
    // How long a proved crash counts against a suspect, and how long all else is kept that is known
    // of it.
    core::Duration retention = std::chrono::hours(1);
    core::Duration suspicionRetention = std::chrono::minutes(10);
    // The most suspects that are kept. Above half of it, what speaks against no suspect is kept for
    // the confirmation timeout only, and if dropsSingleIncidents is set, so are suspects with one
    // incident.
    size_t suspectLimit = 8'192;
    bool dropsSingleIncidents = false;
    // How long, at least, a suspect that was cleared can't become one again, and how many such
    // suspects are remembered at least.
    core::Duration completionLifetime = std::chrono::seconds(30);
    size_t completionLimit = 8'192;
};

struct SuspectOptions : IncidentOptions {
    // Distinct crashes after which a request is refused.
    size_t crashesToRefuse = 2;
    // The same if something else may be their common cause: another request that was in flight in
    // each of them, or a failure that hit several targets within the coincidence window.
    size_t ambiguousCrashesToRefuse = 3;
    core::Duration coincidenceWindow = std::chrono::milliseconds(250);
    // The retry-after time of a request that may not run on any of the targets at the moment, such
    // as a suspect that finds no idle target.
    core::Duration retryAfter = std::chrono::seconds(2);
};

// When a part of prompts is refused as harmful, see PartSuspects.
struct PartOptions {
    IncidentOptions incidents{.retention = std::chrono::hours(24),
                              .suspectLimit = 4'096,
                              .dropsSingleIncidents = true,
                              .completionLifetime = std::chrono::hours(1),
                              .completionLimit = 16'384};
    // Crashes of as many targets, at as many moments, by as many requests, after which a part is
    // refused, and after which a request with it is not retried.
    size_t crashesToRefuse = 3;
    size_t crashesToRefuseRetries = 2;
    // Targets that end within this time may have another common cause, so they count as one crash.
    core::Duration coincidenceWindow = std::chrono::milliseconds(250);
    // How long a broken connection is given to be refuted, here or by another instance, before it
    // counts as a crash.
    core::Duration refutationTime = std::chrono::milliseconds(500);
    // An attempt that ended without a proof is accused if its target crashes within this time, or
    // within the second one if the target has answered another request since.
    core::Duration unprovedTime = std::chrono::seconds(10);
    core::Duration unprovedTimeOnceAnswered = std::chrono::seconds(1);
    // The most parts of one request that its crash accuses.
    size_t accusedPartsPerRequest = 32;
    // The retry-after time of a request that is not retried.
    core::Duration retryAfterSuspicion = std::chrono::seconds(2);
    // How many times as many requests must hold one part as another, so that the rarer one explains
    // crashes in which both were in flight.
    size_t rarityFactor = 3;
    // The most parts whose attempts are counted; beyond it the counts begin anew.
    size_t countedParts = 16'384;
};

struct AdmissionOptions {
    // The longest expected wait for a slot into which a short request of priority 0 is admitted.
    core::Duration longestWait = std::chrono::seconds(2);
    // The fraction of a request's wait limit above which organisations are held to their shares.
    double fairShareThreshold = 0.25;
    // Requests of at most this many tokens, prompt and expected output together, count as short.
    uint32_t shortTokens = 512;
    // The fraction of longestWait that applies to requests above shortTokens.
    double longRequestFactor = 0.5;
    // The half-life of an organisation's recent use.
    core::Duration usageHalfLife = std::chrono::seconds(10);
};

struct SubsetOptions {
    // The most targets per model that one instance uses.
    size_t targetsPerModel = 64;
    // The data centre of this instance; its targets are preferred.
    std::string dataCentre;
    // The fraction of the subset that is taken from other data centres, if they have enough
    // targets.
    double remoteShare = 0.125;
};

struct RoutingOptions {
    LoadOptions load;
    PrefixOptions prefix;
    BreakerOptions breaker;
    RetryOptions retry;
    SuspectOptions suspect;
    PartOptions part;
    AdmissionOptions admission;
    SubsetOptions subset;
    // The region of each data centre. The targets of a data centre that is not listed, or whose
    // region is empty, are in no region.
    std::map<std::string, std::string> dataCentreRegions;
    // Targets compared in one decision that are sampled at random, besides those that cache the
    // beginning of the prompt.
    size_t sampleSize = 4;
    // A target whose load exceeds this multiple of the mean is not preferred for its prefix cache.
    double affinityLoadFactor = 1.25;
};

} // namespace samphirebridge::routing
