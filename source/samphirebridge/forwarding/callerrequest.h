// A caller's request as the caller interface decoded it, and what an attempt adds or returns.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/net/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphirebridge::forwarding
{

// One block of a prompt. Prompts that begin with the same blocks share their cached tokens on an
// engine.
struct PromptPart {
    uint64_t id = 0;
    uint32_t tokens = 0;
};

struct CallerRequest {
    std::string id; // A caller's own retry has another one.
    std::string method;
    std::string target; // Path and query, as sent.
    std::string host;
    std::string key; // The API key; empty: none was sent.
    std::optional<core::Duration> timeout; // How long the caller waits, counted from the arrival.
    std::optional<uint64_t> lastEventId; // The caller already has a stream's events up to this one.
    std::string model;
    std::vector<PromptPart> prompt; // In order.
    uint32_t promptTokens = 0;
    uint32_t maximumOutputTokens = 0;
    std::optional<uint32_t> expectedOutputTokens; // The caller's own estimate.
    http::Headers headers; // Passed on unchanged: the end-to-end headers, without the decoded ones
                           // that each attempt sets anew.
    std::string body;
};

// What one attempt sends to its target in addition to the caller's request.
struct AttemptMetadata {
    std::string targetId; // The only target that may run it.
    std::string organisation; // Empty: none.
    core::Duration timeout{}; // How long the target may work on it.
    int32_t priority = 0; // Lower runs first.
    bool engine = false; // The target is an engine, which takes a priority.
    std::optional<uint64_t> lastEventId; // The stream is to continue after this event.
};

// What the head of a target's answer states about the attempt.
struct AnswerMetadata {
    std::string requestId; // The echoed request id; empty: none.
    bool signedByTarget = false; // The head carries a target's signature.
    bool notRun = false; // The target has not run the request and never will.
    bool leaving = false; // The target takes no more requests.
    std::optional<core::Duration> retryAfter{}; // When the target wants requests again.
    std::optional<core::Duration> coldRemaining{}; // How much longer the target is cold.
};

} // namespace samphirebridge::forwarding
