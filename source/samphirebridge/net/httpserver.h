// Listens on one address and hands over the requests of all its connections.
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

class HttpServer
{
public:
    using OnRequest = std::function<void(IncomingRequest, std::shared_ptr<Responder>)>;

    // Errors are those of TcpListener::listen. The limits are asked for anew for each request.
    static absl::StatusOr<std::unique_ptr<HttpServer>> listen(EventLoop &loop,
                                                              std::string_view address,
                                                              std::function<ServerLimits()> limits,
                                                              OnRequest onRequest);

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    // From now on each answer ends its connection; connections without a request stay open, since
    // their callers may be about to send one.
    void beginDrain();

    // Takes no new connections and closes those without a request.
    void stopAccepting();

    // Tells whether no connection is left with a request under way.
    [[nodiscard]] bool idle() const;

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
