// The HTTP status of a request that ends without a target's answer.
#pragma once

#include "samphirebridge/forwarding/forwardmachine.h"

namespace samphirebridge::ingress
{

// Returns 503 only for a request that has not run and never will; 502 or 504 for one that may have.
int refusalStatus(const forwarding::ForwardRefusal &refusal);

} // namespace samphirebridge::ingress
