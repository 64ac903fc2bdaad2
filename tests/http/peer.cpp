#include "tests/http/peer.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace samphirebridge::http
{

namespace
{

sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = ::htons(port);
    address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

Peer::Peer(int descriptor)
    : descriptor(descriptor)
{
    REQUIRE(descriptor >= 0);
}

Peer::~Peer()
{
    this->close();
}

Peer::Peer(Peer &&other) noexcept
    : descriptor(std::exchange(other.descriptor, -1))
    , broken(other.broken)
{
}

Peer Peer::connect(uint16_t port)
{
    Peer peer(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = loopback(port);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    REQUIRE(::connect(peer.descriptor, generic, sizeof(address)) == 0);
    return peer;
}

void Peer::write(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            this->broken = true;
            return;
        }
        bytes.remove_prefix(static_cast<size_t>(count));
    }
}

std::string Peer::readUntil(std::string_view text) const
{
    std::string received;
    std::array<char, 4096> buffer{};
    while (text.empty() || received.find(text) == std::string::npos) {
        const ssize_t count = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            this->broken = this->broken || count < 0;
            break;
        }
        received.append(buffer.data(), static_cast<size_t>(count));
    }
    return received;
}

std::string Peer::readBytes(size_t bytes) const
{
    std::string received(bytes, '\0');
    size_t filled = 0;
    while (filled < bytes) {
        const ssize_t count = ::recv(this->descriptor, received.data() + filled, bytes - filled, 0);
        if (count <= 0) {
            this->broken = this->broken || count < 0;
            break;
        }
        filled += static_cast<size_t>(count);
    }
    received.resize(filled);
    return received;
}

std::string Peer::readToEnd() const
{
    return this->readUntil("");
}

void Peer::endWriting() const
{
    ::shutdown(this->descriptor, SHUT_WR);
}

bool Peer::wasReset() const
{
    return this->broken;
}

void Peer::close(bool reset)
{
    if (this->descriptor < 0) {
        return;
    }
    if (reset) {
        const linger abort{1, 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    }
    ::close(std::exchange(this->descriptor, -1));
}

size_t bodySize(std::string_view response)
{
    constexpr std::string_view HeadEnd = "\r\n\r\n";
    const size_t head = response.find(HeadEnd);
    return head == std::string_view::npos ? 0 : response.size() - head - HeadEnd.size();
}

Listener::Listener()
    : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    const sockaddr_in address = loopback(0);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    REQUIRE(::bind(this->descriptor, generic, sizeof(address)) == 0);
    REQUIRE(::listen(this->descriptor, SOMAXCONN) == 0);
}

Listener::~Listener()
{
    ::close(this->descriptor);
}

uint16_t Listener::port() const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ::ntohs(address.sin_port);
}

std::string Listener::address() const
{
    return "127.0.0.1:" + std::to_string(this->port());
}

std::string Listener::url() const
{
    return "http://127.0.0.1:" + std::to_string(this->port());
}

Peer Listener::accept() const
{
    return Peer(::accept(this->descriptor, nullptr, nullptr));
}

} // namespace samphirebridge::http
