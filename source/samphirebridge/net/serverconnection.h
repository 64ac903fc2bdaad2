// One accepted connection, whose requests are read one after the other and answered in order.
#pragma once

#include "samphirebridge/core/reasons.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/net/messageparser.h"
#include "samphirebridge/net/responder.h"
#include "samphirebridge/net/tcpstream.h"
#include "samphirebridge/net/timer.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>

namespace samphirebridge::net
{

// Bounds for the requests of a server's connections.
struct ServerLimits {
    MessageLimits message;
    // Bounds the time between two reads within a head.
    core::Duration headTimeout = std::chrono::seconds(5);
    // Bounds the time between two reads within a body, and between requests.
    core::Duration idleTimeout = std::chrono::seconds(30);
};

struct IncomingRequest {
    RequestHead head;
    std::string body;
};

// What is known of a connection with a caller when it ends.
struct ClosedConnection {
    core::CloseReason reason = core::CloseReason::CallerClosed;
    bool requestOpen = false; // A request was being read or answered.
    const RequestHead *head = nullptr; // Of that request; null if it was not read whole.
    size_t unreadBytes = 0; // Arrived, and belong to no request that was answered.
    size_t unsentBytes = 0; // Of answers: not accepted by the kernel yet.
    core::Duration age{};
};

// Callbacks and state that the connections of a server share.
struct ServerContext {
    std::function<void(IncomingRequest, std::shared_ptr<Responder>)> onRequest;
    std::function<ServerLimits()> limits;
    std::function<void(ServerConnection *, const ClosedConnection &)> onClosed;
    bool draining = false; // Each response closes its connection.
};

// Reads requests, passes each to ServerContext::onRequest with its Responder and closes the
// connection on malformed input, a timeout or the end of the stream.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(EventLoop &loop, std::shared_ptr<TcpStream> stream, ServerContext &context);

    // Starts reading requests.
    void start();

    // Tells whether no request is being read or answered, has arrived unread, or is expected at
    // once because the connection is new.
    [[nodiscard]] bool idle() const;

    // Closes the connection at once; calls the functions set by setOnCallerClosed and onClosed.
    void close(core::CloseReason reason);

    // Tells whether the request with that number is waiting for its response. Called by its
    // Responder, as are the functions below, which are documented there.
    [[nodiscard]] bool isAnswering(uint64_t number) const;
    void sendWhole(ResponseHead head, std::string_view body);
    void begin(ResponseHead head);
    void write(std::string_view bytes);
    void end();
    void setOnCallerClosed(std::function<void()> onCallerClosed);
    [[nodiscard]] size_t queuedBytes() const;

private:
    // Tells whether the caller opened the connection just now and has not sent a request yet.
    [[nodiscard]] bool expectsFirstRequest() const;
    void onData(std::string_view bytes);
    void readBuffered();
    void onHead(RequestHead requestHead);
    void dispatchRequest();
    void rejectMessage(const absl::Status &error);
    void onEnd(StreamEnd end);
    void onTimeout();
    void finishAnswer();
    void armTimer();
    // Returns for how long the caller's next bytes are waited for, by the limits in force.
    [[nodiscard]] core::Duration waitLimit() const;
    [[nodiscard]] ClosedConnection describe(core::CloseReason reason) const;

    std::shared_ptr<TcpStream> stream;
    ServerContext &context;
    MessageParser parser;
    Timer timer;
    core::SteadyClock clock;
    core::TimePoint openedAt;
    core::TimePoint waitingSince; // For the caller's next bytes.
    std::string buffered; // Received but not parsed yet.
    IncomingRequest incoming;
    bool headRead = false;
    bool messageReady = false;
    uint64_t requestNumber = 0;
    bool answerPending = false;
    bool chunked = false;
    bool keepAlive = true;
    bool isClosed = false;
    std::function<void()> onCallerClosed;
};

} // namespace samphirebridge::net
