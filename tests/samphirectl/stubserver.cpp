#include "tests/samphirectl/stubserver.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <utility>

namespace
{

struct Listener {
    int socket = -1;
    uint16_t port = 0;
};

Listener openListener()
{
    Listener listener;
    listener.socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto *socketAddress = reinterpret_cast<sockaddr *>(&address);
    REQUIRE(bind(listener.socket, socketAddress, length) == 0);
    REQUIRE(getsockname(listener.socket, socketAddress, &length) == 0);
    listener.port = ntohs(address.sin_port);
    return listener;
}

// Returns the length of the request with its body in bytes, or 0 if its headers are incomplete.
size_t completeLength(const std::string &request)
{
    constexpr std::string_view LengthHeader = "Content-Length: ";
    const size_t end = request.find("\r\n\r\n");
    if (end == std::string::npos) {
        return 0;
    }
    size_t body = 0;
    const size_t header = request.find(LengthHeader);
    if (header < end) {
        const char *digits = request.data() + header + LengthHeader.size();
        std::from_chars(digits, request.data() + end, body);
    }
    return end + 4 + body;
}

std::string receiveRequest(int connection)
{
    std::string request;
    std::array<char, 4096> chunk{};
    while (completeLength(request) == 0 || request.size() < completeLength(request)) {
        const ssize_t count = recv(connection, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            break;
        }
        request.append(chunk.data(), static_cast<size_t>(count));
    }
    return request;
}

} // namespace

StubServer::StubServer(std::string answer)
    : answer(std::move(answer))
{
    const Listener opened = openListener();
    this->listener = opened.socket;
    this->port = opened.port;
    REQUIRE(listen(this->listener, 16) == 0);
    this->thread = std::thread([this] { this->serve(); });
}

StubServer::~StubServer()
{
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
}

std::string StubServer::endpoint() const
{
    return fmt::format("http://127.0.0.1:{}", this->port);
}

std::vector<std::string> StubServer::requests()
{
    const std::lock_guard lock(this->mutex);
    return this->received;
}

void StubServer::serve()
{
    while (true) {
        const int connection = accept(this->listener, nullptr, nullptr);
        if (connection < 0) {
            return;
        }
        std::string request = receiveRequest(connection);
        {
            const std::lock_guard lock(this->mutex);
            this->received.push_back(std::move(request));
        }
        send(connection, this->answer.data(), this->answer.size(), MSG_NOSIGNAL);
        close(connection);
    }
}

std::string jsonAnswer(int status, std::string_view body)
{
    return fmt::format("HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
                       "Samphirebridge-Manifest-Version: 7\r\nConnection: close\r\n\r\n{}",
                       status,
                       body.size(),
                       body);
}

std::string closedEndpoint()
{
    const Listener listener = openListener();
    close(listener.socket);
    return fmt::format("http://127.0.0.1:{}", listener.port);
}
