// From the fleet's HTTP answer to a result or a typed error.
#pragma once

#include "samphirebridge/samphirectl/operatorclient.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace samphirebridge::samphirectl
{

// Returns the error that an answer without success stands for. The code of its problem+json
// decides; without a known one, the status.
absl::Status errorOfAnswer(const OperatorAnswer &answer, RequestKind kind);

// Returns the JSON object of an answer of status 200 to 299, an empty one for 204, or the error of
// any other status. An answer that is no object is Internal for a read and OutcomeUnknown for a
// change.
absl::StatusOr<nlohmann::json> readAnswer(const OperatorAnswer &answer, RequestKind kind);

} // namespace samphirebridge::samphirectl
