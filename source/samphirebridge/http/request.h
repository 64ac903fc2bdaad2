// A request as the server passes it to its handler.
#pragma once

#include "samphirebridge/http/headers.h"

#include <string>

namespace samphirebridge::http
{

// A request that was read completely.
struct Request {
    std::string method;
    std::string path; // Decoded, without dot segments; forward it through encodePath.
    std::string query; // As sent, without the question mark.
    Headers headers;
    std::string body; // At most ServerSettings::maximumBodyBytes.
    std::string remote; // The peer's address, without its port.
};

// Returns the token of `Authorization: Bearer <token>`, or an empty view.
std::string_view bearerToken(const Request &request);

} // namespace samphirebridge::http
