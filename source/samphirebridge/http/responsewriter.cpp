#include "samphirebridge/http/responsewriter.h"

#include <civetweb.h>
#include <dirent.h>
#include <fmt/format.h>
#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <string>

namespace samphirebridge::http
{

namespace
{

struct Endpoint {
    std::string address;
    std::string port;
};

using NameOfSocket = int (*)(int, sockaddr *, socklen_t *);

Endpoint endpointOf(int descriptor, NameOfSocket nameOfSocket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    auto *address = reinterpret_cast<sockaddr *>(&storage);
    if (nameOfSocket(descriptor, address, &length) != 0) {
        return {};
    }
    std::array<char, NI_MAXHOST> host{};
    std::array<char, NI_MAXSERV> service{};
    const int failure = ::getnameinfo(address,
                                      length,
                                      host.data(),
                                      host.size(),
                                      service.data(),
                                      service.size(),
                                      NI_NUMERICHOST | NI_NUMERICSERV);
    if (failure != 0) {
        return {};
    }
    return Endpoint{host.data(), service.data()};
}

// Finds the descriptor of the socket between these two endpoints among those of the process; -1 if
// there is none. CivetWeb does not expose it, and without it a caller that disconnects while the
// handler prepares the response would not be detected.
int findSocket(const Endpoint &peer, uint16_t localPort)
{
    const std::unique_ptr<DIR, int (*)(DIR *)> folder(::opendir("/proc/self/fd"), &::closedir);
    if (folder == nullptr) {
        return -1;
    }
    const std::string local = std::to_string(localPort);
    // NOLINTNEXTLINE(concurrency-mt-unsafe): each call has a DIR of its own.
    while (const dirent *entry = ::readdir(folder.get())) {
        const int descriptor = std::atoi(entry->d_name);
        if (descriptor <= STDERR_FILENO) {
            continue;
        }
        const Endpoint found = endpointOf(descriptor, &::getpeername);
        if (found.port != peer.port || found.address != peer.address) {
            continue;
        }
        if (endpointOf(descriptor, &::getsockname).port == local) {
            return descriptor;
        }
    }
    return -1;
}

std::string formatHead(int status, const Headers &headers)
{
    fmt::memory_buffer head;
    const char *reason = ::mg_get_response_code_text(nullptr, status);
    fmt::format_to(std::back_inserter(head), "HTTP/1.1 {} {}\r\n", status, reason);
    for (const Header &field : headers.fields()) {
        const bool splitsHead = field.name.find_first_of("\r\n:") != std::string::npos
                                || field.value.find_first_of("\r\n") != std::string::npos;
        if (!splitsHead) {
            fmt::format_to(std::back_inserter(head), "{}: {}\r\n", field.name, field.value);
        }
    }
    return fmt::to_string(head);
}

} // namespace

ResponseWriter::ResponseWriter(mg_connection *connection, uint16_t localPort)
    : connection(connection)
    , localPort(localPort)
{
}

bool ResponseWriter::send(int status, const Headers &headers, std::string_view body)
{
    if (this->state != State::Untouched) {
        return false;
    }
    this->state = State::Finished;
    std::string response = formatHead(status, headers);
    response += fmt::format("Content-Length: {}\r\nConnection: close\r\n\r\n", body.size());
    const char *method = ::mg_get_request_info(this->connection)->request_method;
    const bool isHead = method != nullptr && std::string_view(method) == "HEAD";
    if (!isHead) {
        response += body;
    }
    return this->writeAll(response);
}

bool ResponseWriter::begin(int status, const Headers &headers)
{
    if (this->state != State::Untouched) {
        return false;
    }
    this->state = State::Streaming;
    std::string head = formatHead(status, headers);
    this->chunked = !headers.find("Content-Length");
    head += this->chunked ? "Transfer-Encoding: chunked\r\n" : "";
    head += "Connection: close\r\n\r\n";
    return this->writeAll(head);
}

bool ResponseWriter::write(std::string_view part)
{
    if (this->state != State::Streaming) {
        return false;
    }
    if (part.empty()) {
        return !this->failed;
    }
    if (!this->chunked) {
        return this->writeAll(part);
    }
    return this->writeAll(fmt::format("{:x}\r\n{}\r\n", part.size(), part));
}

bool ResponseWriter::end()
{
    if (this->state != State::Streaming) {
        return false;
    }
    this->state = State::Finished;
    return this->writeAll(this->chunked ? "0\r\n\r\n" : "");
}

bool ResponseWriter::callerDisconnected()
{
    if (this->failed) {
        return true;
    }
    if (!this->searched) {
        this->searched = true;
        const mg_request_info *info = ::mg_get_request_info(this->connection);
        const Endpoint peer{info->remote_addr, std::to_string(info->remote_port)};
        this->descriptor = findSocket(peer, this->localPort);
    }
    if (this->descriptor < 0) {
        return false;
    }
    pollfd socket{this->descriptor, POLLRDHUP, 0};
    ::poll(&socket, 1, 0);
    this->failed = (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    return this->failed;
}

bool ResponseWriter::writeAll(std::string_view text)
{
    if (this->failed) {
        return false;
    }
    const int written = ::mg_write(this->connection, text.data(), text.size());
    this->failed = written < 0 || static_cast<size_t>(written) != text.size();
    this->bytes += this->failed ? 0 : text.size();
    return !this->failed;
}

} // namespace samphirebridge::http
