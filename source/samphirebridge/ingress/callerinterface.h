// Interface that translates between a deployment's HTTP protocol and forwarded requests.
#pragma once

#include "samphirebridge/core/reasons.h"
#include "samphirebridge/forwarding/callerrequest.h"
#include "samphirebridge/forwarding/forwardmachine.h"
#include "samphirebridge/net/httpmessage.h"
#include "samphirebridge/net/serverconnection.h"

#include <absl/status/statusor.h>

#include <concepts>
#include <string>

namespace samphirebridge::ingress
{

// An answer that this instance gives instead of a target's.
struct LocalAnswer {
    net::ResponseHead head;
    std::string body;
};

// Translates between the wire format of callers and targets and the types of the forwarding
// package. Holds no state of a request and makes no decision about it.
template <typename T>
concept CallerInterface = requires(const T interface,
                                   net::IncomingRequest incoming,
                                   forwarding::CallerRequest request,
                                   forwarding::AttemptMetadata metadata,
                                   net::ResponseHead answer,
                                   forwarding::ForwardRefusal refusal,
                                   int status)
{
    // Reads a caller's request. InvalidRequest states what was found and what is accepted.
    {
        interface.decodeRequest(incoming)
        } -> std::same_as<absl::StatusOr<forwarding::CallerRequest>>;
    // Writes the head of one attempt to a target; the body of the request is sent unchanged.
    {
        interface.encodeAttempt(request, metadata)
        } -> std::same_as<net::RequestHead>;
    // Reads from the head of a target's answer which request it answers and whether that has run.
    {
        interface.decodeAnswer(answer)
        } -> std::same_as<forwarding::AnswerMetadata>;
    // Makes the answer to a request that is refused with the given HTTP status.
    {
        interface.encodeRefusal(request, refusal, status)
        } -> std::same_as<LocalAnswer>;
};

} // namespace samphirebridge::ingress
