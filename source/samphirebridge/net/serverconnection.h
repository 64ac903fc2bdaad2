// One accepted connection: requests are read one after the other and answered in order.
#pragma once

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

struct ServerLimits {
    MessageLimits message;
    core::Duration headTimeout = std::chrono::seconds(5); // For a head that has begun.
    core::Duration idleTimeout = std::chrono::seconds(30); // Between requests.
};

struct IncomingRequest {
    RequestHead head;
    std::string body;
};

// What the connections of a server share.
struct ServerContext {
    std::function<void(IncomingRequest, std::shared_ptr<Responder>)> onRequest;
    std::function<ServerLimits()> limits;
    std::function<void(ServerConnection *)> onClosed;
    bool draining = false; // Every answer ends its connection.
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(EventLoop &loop, std::shared_ptr<TcpStream> stream, ServerContext &context);

    void start();

    // Tells whether no request is being read or answered.
    [[nodiscard]] bool idle() const;

    void close();

    // For the responder of the request with that number.
    [[nodiscard]] bool answering(uint64_t number) const;
    void sendWhole(ResponseHead head, std::string_view body);
    void begin(ResponseHead head);
    void write(std::string_view bytes);
    void end();
    void setOnGone(std::function<void()> onGone);
    [[nodiscard]] size_t queuedBytes() const;

private:
    void onData(std::string_view bytes);
    void readBuffered();
    void onHead(RequestHead requestHead);
    void onMessage();
    void onUnreadable(const absl::Status &error);
    void onEnd();
    void onTimeout();
    void finishAnswer();
    void armTimer();

    std::shared_ptr<TcpStream> stream;
    ServerContext &context;
    MessageParser parser;
    Timer timer;
    std::string buffered; // Read, but behind the request under way.
    IncomingRequest incoming;
    bool headRead = false;
    bool messageReady = false;
    uint64_t requestNumber = 0;
    bool answerOpen = false;
    bool chunked = false;
    bool keepAlive = true;
    bool isClosed = false;
    std::function<void()> onGone;
};

} // namespace samphirebridge::net
