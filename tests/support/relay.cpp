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
    this->silent = Silence::Both;
}

void Relay::silenceRequests()
{
    this->silent = Silence::Requests;
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
    this->silent = Silence::None;
}

void Relay::run()
{
    while (!this->stopping) {
        if (this->silent == Silence::Both) {
            std::this_thread::sleep_for(std::chrono::milliseconds(PollMs));
            continue;
        }
        if (this->closeAll.exchange(false)) {
            std::for_each(this->links.begin(), this->links.end(), close);
            this->links.clear();
        }
        this->serveLinks();
    }
}

void Relay::serveLinks()
{
    const bool requestsPass = this->silent == Silence::None;
    std::vector<pollfd> polled{{this->listener, POLLIN, 0}};
    for (const Link &link : this->links) {
        // poll() passes over a negative descriptor.
        polled.push_back({requestsPass ? link.near : -1, POLLIN, 0});
        polled.push_back({link.far, POLLIN, 0});
    }
    poll(polled.data(), polled.size(), PollMs);
    for (size_t index = 0; index < this->links.size(); ++index) {
        Link &link = this->links[index];
        const bool nearOver
            = polled[1 + 2 * index].revents != 0 && !this->receive(link.near, link.towardsFar);
        const bool farOver
            = polled[2 + 2 * index].revents != 0 && !this->receive(link.far, link.towardsNear);
        const bool isOver = nearOver || farOver;
        // What was taken before the end still passes.
        const Clock::time_point now = isOver ? Clock::time_point::max() : Clock::now();
        const bool farTakes = pass(link.towardsFar, link.far, now);
        const bool nearTakes = pass(link.towardsNear, link.near, now);
        if (isOver || !farTakes || !nearTakes) {
            close(link);
        }
    }
    std::erase_if(this->links, [](const Link &link) { return link.near < 0; });
    if (polled.front().revents != 0) {
        this->accept();
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

bool Relay::receive(int from, Lane &lane) const
{
    std::array<char, BufferBytes> buffer{};
    const ssize_t received = recv(from, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
        return false;
    }
    const Clock::time_point now = Clock::now();
    const size_t limit = this->rate.load();
    if (limit > 0) {
        const std::chrono::duration<double> takes(static_cast<double>(received)
                                                  / static_cast<double>(limit));
        lane.freeAt
            = std::max(lane.freeAt, now) + std::chrono::duration_cast<Clock::duration>(takes);
    }
    lane.pieces.push_back({std::max(now, limit > 0 ? lane.freeAt : now) + this->delayTime.load(),
                           std::string(buffer.data(), static_cast<size_t>(received))});
    return true;
}

bool Relay::pass(Lane &lane, int to, Clock::time_point now)
{
    std::deque<Piece> &pieces = lane.pieces;
    while (!pieces.empty() && pieces.front().due <= now) {
        std::string_view rest = pieces.front().bytes;
        while (!rest.empty()) {
            const ssize_t part = send(to, rest.data(), rest.size(), MSG_NOSIGNAL);
            if (part <= 0) {
                return false;
            }
            rest.remove_prefix(static_cast<size_t>(part));
        }
        pieces.pop_front();
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
