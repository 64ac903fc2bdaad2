// A client for the operators' HTTP interface. Its errors distinguish a request that was not sent
// from a change that may have been made.
#pragma once

#include "samphirebridge/core/errors.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::samphirectl
{

// A read may be resent. A change may not, once a byte of it may have been sent.
enum class RequestKind : uint8_t {
    Read,
    Change,
};

struct OperatorRequest {
    RequestKind kind = RequestKind::Read;
    std::string method = "GET";
    std::string path; // Percent-encoded, with the query.
    std::string contentType{};
    std::string body{};
};

struct OperatorAnswer {
    long status = 0;
    std::string body;
    std::optional<uint64_t> manifestVersion; // From the header Samphirebridge-Manifest-Version.
};

// The largest body that is read, in bytes; a longer one fails the request.
inline constexpr size_t MaximumAnswerBytes = size_t{64} << 20;

struct OperatorClientOptions {
    std::vector<std::string> endpoints; // "http://host:port", tried in this order.
    std::string token;
    std::chrono::seconds timeout{60}; // Per endpoint, from connecting to the answer's last byte.
};

// Not thread-safe.
class OperatorClient
{
public:
    explicit OperatorClient(OperatorClientOptions options);

    // Sends the request to the endpoints in order until one answers, and returns the answer
    // whatever its status. After a failed attempt the next endpoint is tried for a read, and for a
    // change only if no byte of it can have been sent. Returns Unreachable if every attempt failed,
    // OutcomeUnknown if a change may have been sent but got no complete answer, InvalidRequest for
    // an endpoint that is not an http or https URL, and Internal if libcurl can't be initialised.
    absl::StatusOr<OperatorAnswer> send(const OperatorRequest &request);

private:
    OperatorClientOptions options;
};

// Percent-encodes every byte but ASCII letters, digits, '-', '_', '.' and '~'.
std::string escapePath(std::string_view text);

} // namespace samphirebridge::samphirectl
