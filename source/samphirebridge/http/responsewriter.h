// The way back to the caller of a request.
#pragma once

#include "samphirebridge/http/headers.h"

#include <cstdint>
#include <string_view>

struct mg_connection;

namespace samphirebridge::http
{

// Writes one response, either whole (send) or as a stream (begin, write..., end). Writing blocks
// while the caller is slow, for at most ServerSettings::writeTimeout; nothing is buffered beyond
// the socket. Belongs to the handler's thread. After a failed write every later one fails too.
class ResponseWriter
{
public:
    // The server makes one for each request.
    ResponseWriter(mg_connection *connection, uint16_t localPort);

    ResponseWriter(const ResponseWriter &) = delete;
    ResponseWriter &operator=(const ResponseWriter &) = delete;

    // Sends a complete response; sets Content-Length. False: the caller is gone or too slow.
    bool send(int status, const Headers &headers, std::string_view body);

    // Sends the response's head; the body follows by write, in chunks unless the headers hold a
    // Content-Length. False as for send.
    bool begin(int status, const Headers &headers);

    // Sends one part of a stream at once. An empty part is left out. False as for send.
    bool write(std::string_view part);

    // Ends a stream properly. Without it the caller sees a broken stream. False as for send.
    bool end();

    // Tells whether the caller closed the connection, or its sending side, or a write failed. Costs
    // a poll of the socket; call it while waiting for something else.
    [[nodiscard]] bool callerGone();

    // Tells whether send or begin was called.
    [[nodiscard]] bool started() const
    {
        return this->state != State::Untouched;
    }

    // Tells whether the response was sent completely.
    [[nodiscard]] bool finished() const
    {
        return this->state == State::Finished && !this->failed;
    }

    [[nodiscard]] uint64_t bytesWritten() const
    {
        return this->bytes;
    }

private:
    enum class State { Untouched, Streaming, Finished };

    bool writeAll(std::string_view text);

    mg_connection *connection;
    uint16_t localPort;
    int descriptor = -1;
    bool searched = false;
    State state = State::Untouched;
    bool chunked = true;
    bool failed = false;
    uint64_t bytes = 0;
};

} // namespace samphirebridge::http
