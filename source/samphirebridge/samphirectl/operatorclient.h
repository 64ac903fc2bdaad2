// The operators' HTTP interface, seen from outside. It tells apart what never left, what was
// answered and what may have been done.
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

// Reads may be sent again; a change may not, once a byte of it may have left.
enum class RequestKind : uint8_t {
    Read,
    Change,
};

struct OperatorRequest {
    RequestKind kind = RequestKind::Read;
    std::string method = "GET";
    std::string path; // Escaped, with its query.
    std::string contentType{};
    std::string body{};
};

struct OperatorAnswer {
    long status = 0;
    std::string body;
    std::optional<uint64_t> manifestVersion; // Of the header Samphirebridge-Manifest-Version.
};

// The largest answer that is read, in bytes.
inline constexpr size_t MaximumAnswerBytes = size_t{64} << 20;

struct OperatorClientOptions {
    std::vector<std::string> endpoints; // "http://host:port", tried in this order.
    std::string token;
    std::chrono::seconds timeout{60}; // From connecting to the answer's last byte.
};

// Not for use by several threads at once.
class OperatorClient
{
public:
    explicit OperatorClient(OperatorClientOptions options);

    // Sends the request to the first endpoint that takes the connection, and returns the answer of
    // any status. Another endpoint is tried only if no byte of a change can have left, or for a
    // read. Unreachable if no endpoint was reached, OutcomeUnknown if a change left without an
    // answer, and InvalidRequest for an endpoint that is no http or https URL.
    absl::StatusOr<OperatorAnswer> send(const OperatorRequest &request);

private:
    OperatorClientOptions options;
};

// Returns the text with everything but letters, digits, '-', '_', '.' and '~' as %XX.
std::string escapePath(std::string_view text);

} // namespace samphirebridge::samphirectl
