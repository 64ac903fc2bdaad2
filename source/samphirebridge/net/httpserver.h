// An HTTP/1.1 server on one address and one event loop.
#pragma once

#include "samphirebridge/net/serverconnection.h"
#include "samphirebridge/net/tcplistener.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

namespace samphirebridge::net
{

// Accepts connections and passes each request, read whole, to a handler. Belongs to the loop's
// thread.
class HttpServer
{
public:
    // Called once for each connection that ends.
    using OnClosed = std::function<void(const ClosedConnection &)>;
    using OnRequest = std::function<void(IncomingRequest, std::shared_ptr<Responder>)>;

    // Starts to listen on an IPv4 address "host:port". `limits` is called again for each part of a
    // request, and before a connection is closed for its silence, so that changed limits take
    // effect; a shorter one does so for the waits that begin after the change. Errors are those of
    // TcpListener::listen.
    static absl::StatusOr<std::unique_ptr<HttpServer>> listen(EventLoop &loop,
                                                              std::string_view address,
                                                              std::function<ServerLimits()> limits,
                                                              OnRequest onRequest,
                                                              OnClosed onClosed = nullptr);

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    // Makes each response that begins from now on close its connection. Other connections stay
    // open, since their callers may be about to send a request.
    void beginDrain();

    // Closes the listening socket and every idle connection. Connections that the kernel has
    // established stay open for their first request.
    void stopAccepting();

    // Tells whether no connection is reading, answering or delivering a request.
    [[nodiscard]] bool idle() const;

    // Tells whether a request is being answered, or an answer delivered.
    [[nodiscard]] bool answering() const;

    // Tells whether a part of an answer waits until the kernel accepts it.
    [[nodiscard]] bool delivering() const;

    // Returns the memory that queued bytes of answers take, of all connections.
    [[nodiscard]] size_t queueMemory() const;

    // Returns the port, also where the address asked for any free one; 0 after stopAccepting().
    [[nodiscard]] int port() const;

private:
    explicit HttpServer(EventLoop &loop);
    void accept(std::shared_ptr<TcpStream> stream);

    EventLoop &loop;
    ServerContext context;
    std::unique_ptr<TcpListener> listener;
    absl::flat_hash_map<ServerConnection *, std::shared_ptr<ServerConnection>> connections;
};

} // namespace samphirebridge::net
