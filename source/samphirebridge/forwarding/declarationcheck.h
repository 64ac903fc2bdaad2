// Which declarations are accepted.
#pragma once

#include "samphirebridge/forwarding/declaration.h"

#include <absl/status/status.h>

namespace samphirebridge::forwarding
{

// Accepts a declaration with a version above 0 whose routes name known services, have a place of
// their own, a positive timeout and weights that don't add up to nothing, and whose keys belong to
// one organisation each. Otherwise InvalidManifest, with the first fault, what was found and what
// is accepted.
absl::Status checkDeclaration(const Declaration &declaration);

} // namespace samphirebridge::forwarding
