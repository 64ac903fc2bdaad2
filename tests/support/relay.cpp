#include "tests/support/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace samphirebridge::testing
{

namespace
{

constexpr int PollMs = 5;
constexpr int Backlog = 64;
constexpr size_t BufferBytes = 65536;

sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int connectTo(uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

Relay::Relay(uint16_t listenPort, uint16_t target)
    : targetPort(target)
{
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in address = loopback(listenPort);
    if (bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(this->listener, Backlog) != 0) {
        throw std::runtime_error("the relay's port is taken");
    }
    this->thread = std::thread([this] { this->run(); });
}

Relay::~Relay()
{
    this->stopping = true;
    this->thread.join();
    for (Link &link : this->links) {
        close(link);
    }
    ::close(this->listener);
}

void Relay::silence()
{
    this->silent = true;
}

void Relay::heal()
{
    this->closeAll = true;
    this->silent = false;
}

void Relay::run()
{
    while (!this->stopping) {
        std::vector<pollfd> polled{{this->listener, POLLIN, 0}};
        for (const Link &link : this->links) {
            polled.push_back({link.near, POLLIN, 0});
            polled.push_back({link.far, POLLIN, 0});
        }
        if (this->silent) {
            std::this_thread::sleep_for(std::chrono::milliseconds(PollMs));
            continue;
        }
        if (this->closeAll.exchange(false)) {
            std::for_each(this->links.begin(), this->links.end(), close);
            this->links.clear();
            continue;
        }
        if (poll(polled.data(), polled.size(), PollMs) <= 0) {
            continue;
        }
        for (size_t index = 0; index < this->links.size(); ++index) {
            Link &link = this->links[index];
            const bool nearReady = polled[1 + 2 * index].revents != 0;
            const bool farReady = polled[2 + 2 * index].revents != 0;
            const bool over = (nearReady && !forward(link.near, link.far))
                              || (farReady && !forward(link.far, link.near));
            if (over) {
                close(link);
            }
        }
        std::erase_if(this->links, [](const Link &link) { return link.near < 0; });
        if (polled.front().revents != 0) {
            this->accept();
        }
    }
}

void Relay::accept()
{
    Link link;
    link.near = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (link.near < 0) {
        return;
    }
    link.far = connectTo(this->targetPort);
    if (link.far < 0) {
        ::close(link.near);
        return;
    }
    this->links.push_back(link);
}

bool Relay::forward(int from, int to)
{
    std::array<char, BufferBytes> buffer{};
    const ssize_t received = recv(from, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
        return false;
    }
    ssize_t sent = 0;
    while (sent < received) {
        const ssize_t part = send(to, buffer.data() + sent, received - sent, MSG_NOSIGNAL);
        if (part <= 0) {
            return false;
        }
        sent += part;
    }
    return true;
}

void Relay::close(Link &link)
{
    ::close(link.near);
    ::close(link.far);
    link = {};
}

} // namespace samphirebridge::testing
