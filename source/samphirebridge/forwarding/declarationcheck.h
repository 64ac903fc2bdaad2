// Validates a declaration before it is applied.
#pragma once

#include "samphirebridge/forwarding/declaration.h"

#include <absl/status/status.h>

namespace samphirebridge::forwarding
{

// Returns InvalidManifest for the first fault, with what was found and what is accepted, unless all
// of this holds: the version is above 0; service and organisation ids are unique; each route has a
// path prefix that begins and ends with a slash, a host and path prefix that no other route has, a
// positive timeout, known services and a sum of weights above 0; each key belongs to one
// organisation.
absl::Status checkDeclaration(const Declaration &declaration);

} // namespace samphirebridge::forwarding
