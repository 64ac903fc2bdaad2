// Sends the response to a request.
#pragma once

#include "samphirebridge/http/headers.h"

#include <cstdint>
#include <string_view>

struct mg_connection;

namespace samphirebridge::http
{

// Writes one response, either complete (send) or as a stream (begin, write..., end). Writing blocks
// while the caller reads slowly, for at most ServerSettings::writeTimeout; nothing is buffered
// beyond the socket. Belongs to the handler's thread. After a failed write all later ones fail too.
class ResponseWriter
{
public:
    // Called by the server for each request.
    ResponseWriter(mg_connection *connection, uint16_t localPort);

    ResponseWriter(const ResponseWriter &) = delete;
    ResponseWriter &operator=(const ResponseWriter &) = delete;

    // Sends a complete response and sets Content-Length. Returns false if a response was started
    // already, or if the caller has disconnected or reads too slowly.
    bool send(int status, const Headers &headers, std::string_view body);

    // Sends the head of a response whose body follows by write, in chunks unless the headers
    // contain Content-Length. Returns false as send does.
    bool begin(int status, const Headers &headers);

    // Sends one part of a stream at once; an empty part sends nothing. Returns false as send does,
    // or if no stream is open.
    bool write(std::string_view part);

    // Completes a stream; without it the caller sees a truncated one. Returns false as write does.
    bool end();

    // Tells whether the caller closed the connection or its sending side, or a write failed. Polls
    // the socket; meant to be called while the handler waits for something else.
    [[nodiscard]] bool callerDisconnected();

    // Tells whether send or begin was called.
    [[nodiscard]] bool started() const
    {
        return this->state != State::Untouched;
    }

    // Tells whether the complete response was written.
    [[nodiscard]] bool finished() const
    {
        return this->state == State::Finished && !this->failed;
    }

    // Returns the bytes written so far, heads and chunk framing included.
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
