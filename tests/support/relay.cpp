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

constexpr int PollIntervalMs = 5;
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

Relay::Relay(uint16_t listenPort, uint16_t destination)
    : destinationPort(destination)
{
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const sockaddr_in address = loopback(listenPort);
    if (bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(this->listener, Backlog) != 0) {
        throw std::runtime_error("the relay cannot listen on its port");
    }
    this->thread = std::thread([this] { this->run(); });
}

Relay::~Relay()
{
    this->stopping = true;
    this->thread.join();
    for (Connection &connection : this->connections) {
        close(connection);
    }
    ::close(this->listener);
}

void Relay::blockAll()
{
    this->blocked = Blocked::Both;
}

void Relay::blockRequests()
{
    this->blocked = Blocked::Requests;
}

void Relay::delay(std::chrono::milliseconds time)
{
    this->delayTime = time;
}

void Relay::limitRate(size_t bytesPerSecond)
{
    this->rate = bytesPerSecond;
}

void Relay::reset()
{
    this->closeAll = true;
}

void Relay::heal()
{
    this->closeAll = true;
    this->delayTime = std::chrono::milliseconds(0);
    this->rate = 0;
    this->blocked = Blocked::None;
}

void Relay::run()
{
    while (!this->stopping) {
        if (this->blocked == Blocked::Both) {
            std::this_thread::sleep_for(std::chrono::milliseconds(PollIntervalMs));
            continue;
        }
        if (this->closeAll.exchange(false)) {
            std::for_each(this->connections.begin(), this->connections.end(), close);
            this->connections.clear();
        }
        this->serveConnections();
    }
}

void Relay::serveConnections()
{
    const bool forwardsRequests = this->blocked == Blocked::None;
    std::vector<pollfd> polled{{this->listener, POLLIN, 0}};
    for (const Connection &connection : this->connections) {
        // poll() ignores entries with a negative descriptor.
        polled.push_back({forwardsRequests ? connection.client : -1, POLLIN, 0});
        polled.push_back({connection.server, POLLIN, 0});
    }
    poll(polled.data(), polled.size(), PollIntervalMs);
    for (size_t index = 0; index < this->connections.size(); ++index) {
        Connection &connection = this->connections[index];
        const bool clientClosed = polled[1 + 2 * index].revents != 0
                                  && !this->receive(connection.client, connection.toServer);
        const bool serverClosed = polled[2 + 2 * index].revents != 0
                                  && !this->receive(connection.server, connection.toClient);
        const bool closed = clientClosed || serverClosed;
        // Bytes received before the connection was closed are still sent, at once.
        const Clock::time_point now = closed ? Clock::time_point::max() : Clock::now();
        const bool sentToServer = sendDue(connection.toServer, connection.server, now);
        const bool sentToClient = sendDue(connection.toClient, connection.client, now);
        if (closed || !sentToServer || !sentToClient) {
            close(connection);
        }
    }
    std::erase_if(this->connections,
                  [](const Connection &connection) { return connection.client < 0; });
    if (polled.front().revents != 0) {
        this->accept();
    }
}

void Relay::accept()
{
    Connection connection;
    connection.client = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection.client < 0) {
        return;
    }
    connection.server = connectTo(this->destinationPort);
    if (connection.server < 0) {
        ::close(connection.client);
        return;
    }
    this->connections.push_back(connection);
}

bool Relay::receive(int from, Direction &direction) const
{
    std::array<char, BufferBytes> buffer{};
    const ssize_t received = recv(from, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
        return false;
    }
    const Clock::time_point now = Clock::now();
    const size_t limit = this->rate.load();
    if (limit > 0) {
        const std::chrono::duration<double> transferTime(static_cast<double>(received)
                                                         / static_cast<double>(limit));
        direction.rateLimitedUntil = std::max(direction.rateLimitedUntil, now)
                                     + std::chrono::duration_cast<Clock::duration>(transferTime);
    }
    direction.chunks.push_back(
        {std::max(now, limit > 0 ? direction.rateLimitedUntil : now) + this->delayTime.load(),
         std::string(buffer.data(), static_cast<size_t>(received))});
    return true;
}

bool Relay::sendDue(Direction &direction, int to, Clock::time_point now)
{
    std::deque<Chunk> &chunks = direction.chunks;
    while (!chunks.empty() && chunks.front().dueAt <= now) {
        std::string_view remaining = chunks.front().bytes;
        while (!remaining.empty()) {
            const ssize_t sent = send(to, remaining.data(), remaining.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            remaining.remove_prefix(static_cast<size_t>(sent));
        }
        chunks.pop_front();
    }
    return true;
}

void Relay::close(Connection &connection)
{
    ::close(connection.client);
    ::close(connection.server);
    connection = {};
}

} // namespace samphirebridge::testing
