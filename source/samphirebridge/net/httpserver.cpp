#include "samphirebridge/net/httpserver.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphirebridge::net
{

HttpServer::HttpServer(EventLoop &eventLoop)
    : loop(eventLoop)
{
}

HttpServer::~HttpServer()
{
    this->listener.reset();
    std::vector<std::shared_ptr<ServerConnection>> open;
    for (const auto &[raw, connection] : this->connections) {
        open.push_back(connection);
    }
    for (const auto &connection : open) {
        connection->close(core::CloseReason::Stopping);
    }
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::listen(EventLoop &loop,
                                                               std::string_view address,
                                                               std::function<ServerLimits()> limits,
                                                               OnRequest onRequest,
                                                               OnClosed onClosed)
{
    std::unique_ptr<HttpServer> server(new HttpServer(loop));
    HttpServer *raw = server.get();
    server->context.onRequest = std::move(onRequest);
    server->context.limits = std::move(limits);
    server->context.onClosed = [raw, onClosed = std::move(onClosed)](
                                   ServerConnection *connection, const ClosedConnection &closed) {
        if (onClosed) {
            onClosed(closed);
        }
        raw->connections.erase(connection);
    };
    auto listener = TcpListener::listen(loop, address, [raw](std::shared_ptr<TcpStream> stream) {
        raw->accept(std::move(stream));
    });
    if (!listener.ok()) {
        return listener.status();
    }
    server->listener = std::move(*listener);
    return server;
}

void HttpServer::accept(std::shared_ptr<TcpStream> stream)
{
    auto connection
        = std::make_shared<ServerConnection>(this->loop, std::move(stream), this->context);
    this->connections.emplace(connection.get(), connection);
    connection->start();
}

void HttpServer::beginDrain()
{
    this->context.draining = true;
}

void HttpServer::stopAccepting()
{
    if (this->listener != nullptr) {
        this->listener->acceptPending();
    }
    this->listener.reset();
    std::vector<std::shared_ptr<ServerConnection>> idle;
    for (const auto &[raw, connection] : this->connections) {
        if (connection->idle()) {
            idle.push_back(connection);
        }
    }
    for (const auto &connection : idle) {
        connection->close(core::CloseReason::Stopping);
    }
}

bool HttpServer::idle() const
{
    return std::all_of(this->connections.begin(), this->connections.end(), [](const auto &item) {
        return item.second->idle() || item.second->lingering();
    });
}

bool HttpServer::answering() const
{
    return std::any_of(this->connections.begin(), this->connections.end(), [](const auto &item) {
        return item.second->answering();
    });
}

bool HttpServer::delivering() const
{
    return std::any_of(this->connections.begin(), this->connections.end(), [](const auto &item) {
        return item.second->delivering();
    });
}

size_t HttpServer::queueMemory() const
{
    return this->context.queueMemory;
}

int HttpServer::port() const
{
    return this->listener == nullptr ? 0 : this->listener->port();
}

} // namespace samphirebridge::net
