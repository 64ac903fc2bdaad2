// A listening TCP socket.
#pragma once

#include "samphirebridge/net/eventloop.h"
#include "samphirebridge/net/tcpstream.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

struct uv_tcp_s;

namespace samphirebridge::net
{

// Accepts connections on one address and passes them on as streams.
class TcpListener
{
public:
    // Receives each new connection.
    using OnAccept = std::function<void(std::shared_ptr<TcpStream>)>;

    // Listens on an IPv4 address "host:port". AddressInUse if the address is invalid or can't be
    // bound.
    static absl::StatusOr<std::unique_ptr<TcpListener>>
    listen(EventLoop &loop, std::string_view address, OnAccept onAccept);

    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;
    // Closes the listening socket; accepted connections stay open.
    ~TcpListener();

    // Passes on every connection that the kernel has established and not handed out yet. Closing
    // the listener resets those that are left.
    void acceptPending();

    // Returns the bound port, also where the address asked for any free one; 0 on an error.
    [[nodiscard]] int port() const;

private:
    TcpListener(EventLoop &loop, OnAccept onAccept);

    EventLoop &loop;
    uv_tcp_s *handle;
    OnAccept onAccept;
};

} // namespace samphirebridge::net
