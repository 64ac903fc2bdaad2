// Sends JSON responses to operators and targets.
#pragma once

#include "samphirebridge/core/errors.h"
#include "samphirebridge/http/responsewriter.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <string_view>

namespace samphirebridge::gateway
{

// Sends a JSON document with status 200.
void sendJson(http::ResponseWriter &writer, const nlohmann::json &document);

// Sends a problem document with the HTTP status that belongs to the error code. The members of
// `extra` are added to the document and replace members of the same name.
void sendError(http::ResponseWriter &writer,
               core::ErrorCode code,
               std::string_view detail,
               const nlohmann::json &extra = nlohmann::json::object());

// Sends the problem document for a status made by core::makeError.
void sendError(http::ResponseWriter &writer, const absl::Status &status);

} // namespace samphirebridge::gateway
