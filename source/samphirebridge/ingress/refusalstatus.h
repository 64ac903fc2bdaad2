// Chooses the HTTP status of a request that ends without a target's answer.
#pragma once

#include "samphirebridge/forwarding/forwardmachine.h"

namespace samphirebridge::ingress
{

// Returns 502, or 504 past the deadline, for a request that may have run, and otherwise the status
// of the reason. 503 is returned only for a request that has not run and never will.
int refusalStatus(const forwarding::ForwardRefusal &refusal);

} // namespace samphirebridge::ingress
