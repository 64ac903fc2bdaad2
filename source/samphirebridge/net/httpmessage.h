// Heads of HTTP/1.1 messages and how they are written to a connection.
#pragma once

#include "samphirebridge/http/headers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirebridge::net
{

// How the receiver of a message determines where its body ends.
enum class BodyFraming : uint8_t {
    None, // There is no body.
    Length, // By Content-Length.
    Chunked, // By the last chunk.
    UntilClosed, // By the end of the connection; only in responses.
};

// Returns the name under which the framing is logged.
std::string_view framingName(BodyFraming framing);

struct RequestHead {
    std::string method;
    std::string target; // Path and query as received, not decoded.
    http::Headers headers;
    BodyFraming framing = BodyFraming::None;
    uint64_t contentLength = 0;
    bool keepAlive = true;
    bool expectsContinue = false; // The sender waits for 100 Continue before it sends the body.
};

struct ResponseHead {
    int status = 0;
    std::string reason;
    http::Headers headers;
    BodyFraming framing = BodyFraming::None;
    uint64_t contentLength = 0;
    bool keepAlive = true;
};

// Returns the fields without the hop-by-hop ones: those that the HTTP standard defines and those
// that a Connection field lists.
http::Headers endToEndHeaders(const http::Headers &headers);

// Returns the head as text, including the empty line. Content-Length and Transfer-Encoding are
// derived from `framing`; those in `headers` are ignored.
std::string formatHead(const RequestHead &head);
std::string formatHead(const ResponseHead &head);

// Returns one chunk of a chunked body. Empty `bytes` give the terminating chunk.
std::string formatChunk(std::string_view bytes);

// Returns the standard reason phrase of a status code.
std::string_view reasonPhrase(int status);

} // namespace samphirebridge::net
