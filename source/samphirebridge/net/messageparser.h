// Parses the HTTP/1.1 messages of one connection, one after the other. To prevent request
// smuggling, it rejects whatever two parsers could frame differently: a body with both
// Content-Length and chunked encoding, repeated or malformed framing fields, field names that are
// not tokens, folded lines.
#pragma once

#include "samphirebridge/net/httpmessage.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace samphirebridge::net
{

// Upper bounds for the size of a message.
struct MessageLimits {
    size_t headBytes = size_t{64} * 1024;
    size_t bodyBytes = size_t{16} * 1024 * 1024;
};

// Callbacks for the parts of a message. Of the two head callbacks only the one for the parser's
// MessageKind is called.
struct MessageEvents {
    std::function<void(RequestHead)> onRequest;
    std::function<void(ResponseHead)> onResponse;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
};

enum class MessageKind : uint8_t {
    Request,
    Response,
};

class MessageParser
{
public:
    MessageParser(MessageKind kind, MessageLimits limits, MessageEvents events);
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;
    ~MessageParser();

    // Parses bytes, calls the events for what they complete and returns how many of them belong to
    // the current message; bytes after its end are not consumed. Errors: InvalidRequest for
    // malformed HTTP, TooLarge for a head or body above the limits or for too many bytes that
    // belong to neither. The head of a request whose body is announced too long is passed on before
    // the error. After an error, or once the message is complete, call nextMessage() first.
    absl::StatusOr<size_t> feed(std::string_view bytes);

    // Reports that the peer closed the connection, which completes a body with UntilClosed framing.
    // ConnectionBroken if the message is still incomplete.
    absl::Status finish();

    // Resets the parser for the next message. `isResponseToHead` says that a response answers a
    // HEAD request and therefore has no body.
    void nextMessage(bool isResponseToHead = false);

    // Tells whether any byte of the current message was read.
    [[nodiscard]] bool started() const;

    // Tells whether the current message is complete.
    [[nodiscard]] bool complete() const;

    // Applies the limits that are in force now. A message that is being read is measured by the
    // larger of these and of those in force since its first byte.
    void applyLimits(MessageLimits limits);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace samphirebridge::net
