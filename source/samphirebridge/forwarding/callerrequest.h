// A caller's request as the interface decoded it.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/net/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphirebridge::forwarding
{

// A part of a prompt that requests may share; the parts follow each other.
struct PromptPart {
    uint64_t id = 0;
    uint32_t tokens = 0;
};

struct CallerRequest {
    std::string id; // Unique for each attempt of a caller.
    std::string method;
    std::string target; // Path and query, as sent.
    std::string host;
    std::string key; // Empty: none was sent.
    std::optional<core::Duration> patience; // How long the caller waits, from the arrival.
    std::optional<uint64_t> lastEventId; // The caller has a stream's events up to this one.
    std::string model;
    std::vector<PromptPart> prompt;
    uint32_t promptTokens = 0;
    uint32_t maximumOutputTokens = 0;
    std::optional<uint32_t> expectedOutputTokens; // The caller's own estimate.
    http::Headers headers; // What is passed on as it came: end to end, without the decoded ones
                           // that each attempt sets anew.
    std::string body;
};

// What one attempt at a target is sent with, besides the caller's own.
struct AttemptTerms {
    std::string targetId; // The only target that may run it.
    std::string organisation; // Empty: none.
    core::Duration patience{}; // How long the target may work on it.
    int32_t priority = 0; // 0 goes first.
    bool engine = false; // The target takes a priority.
    std::optional<uint64_t> lastEventId; // Goes on after this event.
};

// What the head of a target's answer says.
struct AnswerTerms {
    std::string requestId; // Empty: none was echoed.
    bool signedByTarget = false;
    bool notRun = false; // The target has not run the request and never will.
};

} // namespace samphirebridge::forwarding
