// Converts an HTTP answer of the operators' interface to a JSON result or a typed error.
#pragma once

#include "samphirebridge/samphirectl/operatorclient.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace samphirebridge::samphirectl
{

// Returns the error for an answer whose status is not 2xx. Its code is the one in the problem+json
// body, or follows from the status if the body has no known code.
absl::Status errorOfAnswer(const OperatorAnswer &answer, RequestKind kind);

// Returns the JSON object of an answer of status 200 to 299, an empty object for 204, or the error
// for any other status. A body that is not a JSON object is Internal for a read and OutcomeUnknown
// for a change.
absl::StatusOr<nlohmann::json> readAnswer(const OperatorAnswer &answer, RequestKind kind);

} // namespace samphirebridge::samphirectl
