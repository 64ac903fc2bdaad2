// Sends the response to one request of a server connection.
#pragma once

#include "samphirebridge/net/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace samphirebridge::net
{

class ServerConnection;

// Call either sendWhole(), or begin(), any number of write() and then end(); cutOff() at any time.
// Calls after the response has ended or the connection was closed have no effect. Belongs to the
// connection's thread.
class Responder
{
public:
    Responder(std::weak_ptr<ServerConnection> connection, uint64_t request);

    // Sends a complete response with the body's length.
    void sendWhole(ResponseHead head, std::string_view body);

    // Starts a response whose body follows by write(); without Length framing it is sent in chunks.
    void begin(ResponseHead head);
    void write(std::string_view bytes);
    void end();

    // Closes the connection, so that the caller sees a started response as incomplete.
    void cutOff();

    // Sets a function that is called once if the connection closes before the response has ended.
    void setOnCallerClosed(std::function<void()> onCallerClosed);

    // Sets a function that is called each time the kernel has accepted all bytes written, until the
    // response has ended.
    void setOnDrained(std::function<void()> onDrained);

    // Returns the bytes written that the kernel has not accepted yet.
    [[nodiscard]] size_t queuedBytes() const;

private:
    // Returns the connection while it is answering this request, else null.
    [[nodiscard]] std::shared_ptr<ServerConnection> currentConnection() const;

    std::weak_ptr<ServerConnection> connection;
    uint64_t request; // Number of the request on its connection, counted from 1.
};

} // namespace samphirebridge::net
