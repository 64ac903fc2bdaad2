#include "samphirebridge/net/tcplistener.h"

#include "samphirebridge/core/errors.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <uv.h>

#include <cerrno>
#include <charconv>
#include <string>
#include <utility>

namespace samphirebridge::net
{

namespace
{

// Length of the accept queue. The kernel drops further connection attempts, and their clients retry
// only after seconds.
constexpr int Backlog = 1024;

} // namespace

TcpListener::TcpListener(EventLoop &eventLoop, OnAccept accept)
    : loop(eventLoop)
    , handle(new uv_tcp_t)
    , onAccept(std::move(accept))
{
    uv_tcp_init(this->loop.handle(), this->handle);
    this->handle->data = this;
}

TcpListener::~TcpListener()
{
    this->handle->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(this->handle),
             [](uv_handle_t *closed) { delete reinterpret_cast<uv_tcp_t *>(closed); });
}

absl::StatusOr<std::unique_ptr<TcpListener>>
TcpListener::listen(EventLoop &loop, std::string_view address, OnAccept onAccept)
{
    std::unique_ptr<TcpListener> listener(new TcpListener(loop, std::move(onAccept)));
    const size_t colon = address.rfind(':');
    const std::string host(address.substr(0, colon));
    int port = 0;
    if (colon != std::string_view::npos) {
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    }
    sockaddr_in resolved{};
    int result = uv_ip4_addr(host.c_str(), port, &resolved);
    if (result == 0) {
        result = uv_tcp_bind(listener->handle, reinterpret_cast<const sockaddr *>(&resolved), 0);
    }
    if (result == 0) {
        result = uv_listen(reinterpret_cast<uv_stream_t *>(listener->handle),
                           Backlog,
                           [](uv_stream_t *server, int status) {
                               const auto *self = static_cast<TcpListener *>(server->data);
                               if (self == nullptr || status != 0) {
                                   return;
                               }
                               auto stream = TcpStream::accept(self->loop, server);
                               if (stream.ok()) {
                                   self->onAccept(std::move(*stream));
                               }
                           });
    }
    if (result != 0) {
        return core::makeError(core::ErrorCode::AddressInUse,
                               fmt::format("cannot listen on {}: {}; accepted is a free IPv4 "
                                           "address of this machine",
                                           address,
                                           uv_strerror(result)));
    }
    return listener;
}

void TcpListener::acceptPending()
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t *>(this->handle), &descriptor) != 0) {
        return;
    }
    for (;;) {
        const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0 && errno != ECONNABORTED && errno != EINTR) {
            return;
        }
        if (accepted < 0) {
            continue; // This connection is gone; there may be others behind it.
        }
        auto stream = TcpStream::adopt(this->loop, accepted);
        if (stream.ok()) {
            this->onAccept(std::move(*stream));
        }
    }
}

int TcpListener::port() const
{
    sockaddr_in bound{};
    int length = sizeof bound;
    if (uv_tcp_getsockname(this->handle, reinterpret_cast<sockaddr *>(&bound), &length) != 0) {
        return 0;
    }
    return ntohs(bound.sin_port);
}

} // namespace samphirebridge::net
