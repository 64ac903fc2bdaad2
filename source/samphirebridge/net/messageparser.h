// Reads HTTP/1.1 messages off one connection, one after the other. Anything that two readers could
// frame differently is refused: a body with both a length and chunks, repeated or odd framing
// fields, names that are no tokens, folded lines.
#pragma once

#include "samphirebridge/net/httpmessage.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace samphirebridge::net
{

// What a message may measure at most.
struct MessageLimits {
    size_t headBytes = size_t{64} * 1024;
    size_t bodyBytes = size_t{16} * 1024 * 1024;
};

// One kind of the two head functions is called, by the kind of the parser.
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

    // Reads bytes and returns how many belong to the message; it takes no byte behind its end.
    // InvalidRequest for bytes that are no message, TooLarge for a head or body above the limits or
    // for too many bytes that are neither.
    // After an error, or once the message is complete, call nextMessage() first.
    absl::StatusOr<size_t> feed(std::string_view bytes);

    // The connection was closed by the other side: ends a body that lasts until then.
    // ConnectionBroken if the message was not complete.
    absl::Status finish();

    // Makes ready for the next message. For a response, tells whether its request was a HEAD, whose
    // answer has no body.
    void nextMessage(bool answersHead = false);

    // Tells whether any byte of the present message was read.
    [[nodiscard]] bool begun() const;

    // Tells whether the present message is complete.
    [[nodiscard]] bool complete() const;

    void setLimits(MessageLimits limits);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace samphirebridge::net
