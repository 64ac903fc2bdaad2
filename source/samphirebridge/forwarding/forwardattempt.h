// One attempt of a forwarded request at a target.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/net/httpmessage.h"
#include "samphirebridge/routing/dispatcher.h"

#include <cstdint>
#include <optional>
#include <string>

namespace samphirebridge::forwarding
{

// The attempts that a request may have open at the same time.
enum class AttemptRole : uint8_t {
    Current, // Its answer goes to the caller.
    Standby, // Sent while the current attempt's target is silent, and used once its answer can go
             // on.
};

struct ForwardAttempt {
    routing::Choice choice;
    bool ticketOpen = false; // The router has not been told of the end of the attempt.
    bool sent = false; // A byte may have reached the target.
    std::optional<net::ResponseHead> head; // Of its answer.
    std::string begun; // What a standby has sent of its answer's body.
    bool firstTokenSeen = false;
    core::TimePoint sentAt;
    core::TimePoint progressAt; // When the target last sent a part of the answer.
};

} // namespace samphirebridge::forwarding
