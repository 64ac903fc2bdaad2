// Heads of HTTP/1.1 messages and their text on a connection.
#pragma once

#include "samphirebridge/http/headers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace samphirebridge::net
{

// How the end of a body is found.
enum class BodyFraming : uint8_t {
    None,
    Length,
    Chunked,
    UntilClosed,
};

// Returns a stable name for logs.
std::string_view framingName(BodyFraming framing);

struct RequestHead {
    std::string method;
    std::string target; // As it came: path and query.
    http::Headers headers;
    BodyFraming framing = BodyFraming::None;
    uint64_t contentLength = 0;
    bool keepAlive = true;
    bool expectsContinue = false; // The sender waits for a 100 before it sends the body.
};

struct ResponseHead {
    int status = 0;
    std::string reason;
    http::Headers headers;
    BodyFraming framing = BodyFraming::None;
    uint64_t contentLength = 0;
    bool keepAlive = true;
};

// Returns the fields without those that concern one connection only: those that the standard names
// and those that the Connection field lists.
http::Headers endToEndHeaders(const http::Headers &headers);

// Returns the head's text, the empty line included. The framing's own fields are written from the
// framing, not from the headers.
std::string formatHead(const RequestHead &head);
std::string formatHead(const ResponseHead &head);

// Returns one chunk of a chunked body; no bytes make the last one.
std::string formatChunk(std::string_view bytes);

// Returns the usual reason phrase, or an empty text.
std::string_view reasonOf(int status);

} // namespace samphirebridge::net
