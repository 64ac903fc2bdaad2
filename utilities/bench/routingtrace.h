// A trace of requests, drawn once from a seed and then replayed for every policy.
#pragma once

#include "samphirebridge/routing/routerequest.h"

#include <cstdint>
#include <vector>

namespace bench
{

struct TracedRequest {
    samphirebridge::core::TimePoint at;
    bool isLong = false;
    size_t instance = 0; // Where the balancer sends it.
    uint32_t organisation = 0;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    std::vector<samphirebridge::routing::BlockFingerprint> prefix;
};

struct TraceOptions {
    uint64_t seed = 1;
    double requestsPerSecond = 30;
    double seconds = 300;
    size_t instances = 8;
    double longPart = 0.3;
    uint32_t organisations = 4;
    // The part of requests about one and the same instructions or document.
    double hotPart = 0;
    // The part of all requests that the first organisation sends.
    double greedyPart = 0.25;
};

// Tokens in one block of a prompt.
inline constexpr uint32_t BlockTokens = 16;

// Short questions over shared instructions, and long letters over shared documents, some of them
// turns of one conversation. Arrivals are Poisson, twice as dense in every fifth 10 s.
std::vector<TracedRequest> makeTrace(const TraceOptions &options);

} // namespace bench
