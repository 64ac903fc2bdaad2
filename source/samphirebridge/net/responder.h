// The answer to one request of a connection.
#pragma once

#include "samphirebridge/net/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace samphirebridge::net
{

class ServerConnection;

// Either sendWhole(), or begin(), any number of write() and end(), or cutOff() at any time. What is
// called after the connection is gone does nothing. Belongs to the connection's thread.
class Responder
{
public:
    Responder(std::weak_ptr<ServerConnection> connection, uint64_t request);

    void sendWhole(ResponseHead head, std::string_view body);

    // Begins an answer; one without a stated length is sent in chunks.
    void begin(ResponseHead head);
    void write(std::string_view bytes);
    void end();

    // Closes the connection, so that an answer that has begun does not look complete.
    void cutOff();

    // Called once if the other side closes its connection before the answer's end.
    void setOnGone(std::function<void()> onGone);

    // Bytes of the answer that the other side did not take yet.
    [[nodiscard]] size_t queuedBytes() const;

private:
    [[nodiscard]] std::shared_ptr<ServerConnection> open() const;

    std::weak_ptr<ServerConnection> connection;
    uint64_t request; // Which request of the connection this answers.
};

} // namespace samphirebridge::net
