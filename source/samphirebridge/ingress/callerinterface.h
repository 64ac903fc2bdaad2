// The seam between a deployment's own protocol and the requests that are passed on.
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

// An answer of this instance's own.
struct OwnAnswer {
    net::ResponseHead head;
    std::string body;
};

// Translates between a protocol and the product's types, and decides nothing.
template <typename T>
concept CallerInterface = requires(const T interface,
                                   net::IncomingRequest incoming,
                                   forwarding::CallerRequest request,
                                   forwarding::AttemptMetadata terms,
                                   net::ResponseHead answer,
                                   forwarding::ForwardRefusal refusal,
                                   int status)
{
    // InvalidRequest, with what was found and what is accepted.
    {
        interface.decodeRequest(incoming)
        } -> std::same_as<absl::StatusOr<forwarding::CallerRequest>>;
    {
        interface.encodeAttempt(request, terms)
        } -> std::same_as<net::RequestHead>;
    {
        interface.decodeAnswer(answer)
        } -> std::same_as<forwarding::AnswerMetadata>;
    // The answer to a request that ends with the status given.
    {
        interface.encodeRefusal(request, refusal, status)
        } -> std::same_as<OwnAnswer>;
};

} // namespace samphirebridge::ingress
