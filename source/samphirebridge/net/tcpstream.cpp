#include "samphirebridge/net/tcpstream.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace samphirebridge::net
{

namespace
{

// How long sent data may stay unacknowledged before the kernel closes the connection, which detects
// a peer that lost power. To a target: three times the longest pause of a running peer under the
// load that docs/CAPACITY.md states.
constexpr unsigned TargetAcknowledgeTimeoutMs = 3000;

// The same for an accepted connection. The kernel also counts the time in which a live caller reads
// nothing, and callers pause for seconds.
constexpr unsigned CallerAcknowledgeTimeoutMs = 30'000;

// The most bytes of one queued write. The bytes of a write count as sent when it ends, so a long
// one would hide the load of the link while it lasts.
constexpr size_t MaximumWriteBytes = size_t{64} * 1024;

// Size of the read buffer. All streams of a thread share one, since data is passed on at once.
constexpr size_t ReadBufferBytes = size_t{64} * 1024;

struct WriteRequest {
    uv_write_t request{};
    std::string bytes;
    std::weak_ptr<TcpStream> stream;
};

struct ConnectRequest {
    uv_connect_t request{};
    std::weak_ptr<TcpStream> stream;
    TcpStream::OnConnected onConnected;
};

char *readBuffer()
{
    thread_local std::array<char, ReadBufferBytes> buffer{};
    return buffer.data();
}

absl::StatusOr<sockaddr_in> parseAddress(std::string_view address)
{
    const size_t colon = address.rfind(':');
    const std::string host(address.substr(0, colon));
    int port = 0;
    sockaddr_in resolved{};
    const bool hasPort = colon != std::string_view::npos;
    const char *end = address.data() + address.size();
    const bool parsed
        = hasPort && std::from_chars(address.data() + colon + 1, end, port).ptr == end;
    if (!parsed || uv_ip4_addr(host.c_str(), port, &resolved) != 0) {
        return core::makeError(core::ErrorCode::Unreachable,
                               fmt::format("found address '{}'; accepted is IPv4:PORT", address));
    }
    return resolved;
}

absl::Status unreachable(int error)
{
    return core::makeError(core::ErrorCode::Unreachable, uv_strerror(error));
}

} // namespace

TcpStream::TcpStream(EventLoop &loop)
    : traffic(&loop.traffic())
    , handle(new uv_tcp_t)
{
    uv_tcp_init(loop.handle(), this->handle);
    this->handle->data = this;
}

TcpStream::~TcpStream()
{
    this->close();
}

std::shared_ptr<TcpStream>
TcpStream::connect(EventLoop &loop, std::string_view address, OnConnected onConnected)
{
    std::shared_ptr<TcpStream> stream(new TcpStream(loop));
    const auto resolved = parseAddress(address);
    if (!resolved.ok()) {
        onConnected(resolved.status());
        return stream;
    }
    auto *connecting = new ConnectRequest{{}, stream, std::move(onConnected)};
    connecting->request.data = connecting;
    const auto finish = [](uv_connect_t *done, int status) {
        const std::unique_ptr<ConnectRequest> request(static_cast<ConnectRequest *>(done->data));
        const std::shared_ptr<TcpStream> connected = request->stream.lock();
        if (connected == nullptr || !connected->isOpen()) {
            return;
        }
        if (status != 0) {
            connected->close();
            request->onConnected(unreachable(status));
            return;
        }
        connected->setOptions(TargetAcknowledgeTimeoutMs);
        request->onConnected(connected);
    };
    const int started = uv_tcp_connect(&connecting->request,
                                       stream->handle,
                                       reinterpret_cast<const sockaddr *>(&*resolved),
                                       finish);
    if (started != 0) {
        const std::unique_ptr<ConnectRequest> request(connecting);
        stream->close();
        request->onConnected(unreachable(started));
    }
    return stream;
}

absl::StatusOr<std::shared_ptr<TcpStream>> TcpStream::accept(EventLoop &loop, uv_stream_s *listener)
{
    std::shared_ptr<TcpStream> stream(new TcpStream(loop));
    const int accepted = uv_accept(listener, reinterpret_cast<uv_stream_t *>(stream->handle));
    if (accepted != 0) {
        return unreachable(accepted);
    }
    stream->setOptions(CallerAcknowledgeTimeoutMs);
    return stream;
}

absl::StatusOr<std::shared_ptr<TcpStream>> TcpStream::adopt(EventLoop &loop, int descriptor)
{
    std::shared_ptr<TcpStream> stream(new TcpStream(loop));
    const int opened = uv_tcp_open(stream->handle, descriptor);
    if (opened != 0) {
        ::close(descriptor);
        return unreachable(opened);
    }
    stream->setOptions(CallerAcknowledgeTimeoutMs);
    return stream;
}

void TcpStream::setOptions(unsigned acknowledgeTimeoutMs)
{
    uv_tcp_nodelay(this->handle, 1);
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t *>(this->handle), &descriptor) == 0) {
        (void)setsockopt(descriptor,
                         IPPROTO_TCP,
                         TCP_USER_TIMEOUT,
                         &acknowledgeTimeoutMs,
                         sizeof acknowledgeTimeoutMs);
    }
}

void TcpStream::setEvents(StreamEvents streamEvents)
{
    this->events = std::move(streamEvents);
}

void TcpStream::startReading()
{
    if (!this->isOpen()) {
        return;
    }
    uv_read_start(
        reinterpret_cast<uv_stream_t *>(this->handle),
        [](uv_handle_t * /*reading*/, size_t /*suggested*/, uv_buf_t *buffer) {
            *buffer = uv_buf_init(readBuffer(), ReadBufferBytes);
        },
        [](uv_stream_t *reading, ssize_t count, const uv_buf_t *buffer) {
            auto *raw = static_cast<TcpStream *>(reading->data);
            if (raw == nullptr || count == 0) {
                return;
            }
            const std::shared_ptr<TcpStream> stream = raw->shared_from_this();
            if (count < 0) {
                const bool closed = count == UV_EOF && !stream->wasReset();
                stream->reportEnd(closed ? StreamEnd::Closed : StreamEnd::Broken);
                return;
            }
            stream->traffic->receivedBytes += static_cast<uint64_t>(count);
            const auto onData = stream->events.onData;
            if (onData) {
                onData(std::string_view(buffer->base, static_cast<size_t>(count)));
            }
        });
}

void TcpStream::stopReading()
{
    if (this->isOpen()) {
        uv_read_stop(reinterpret_cast<uv_stream_t *>(this->handle));
    }
}

void TcpStream::write(std::string_view bytes)
{
    if (!this->isOpen() || bytes.empty()) {
        return;
    }
    if (this->pendingBytes == 0) {
        const uv_buf_t buffer
            = uv_buf_init(const_cast<char *>(bytes.data()), static_cast<unsigned>(bytes.size()));
        const int written = uv_try_write(reinterpret_cast<uv_stream_t *>(this->handle), &buffer, 1);
        this->traffic->sentBytes += written > 0 ? static_cast<uint64_t>(written) : 0;
        if (written == static_cast<int>(bytes.size())) {
            return;
        }
        this->resetSeen = this->resetSeen || (written < 0 && written != UV_EAGAIN);
        bytes.remove_prefix(written > 0 ? static_cast<size_t>(written) : 0);
    }
    while (!bytes.empty()) {
        const size_t length = std::min(bytes.size(), MaximumWriteBytes);
        this->queueWrite(bytes.substr(0, length));
        bytes.remove_prefix(length);
    }
}

void TcpStream::queueWrite(std::string_view bytes)
{
    auto *writing = new WriteRequest{{}, std::string(bytes), this->weak_from_this()};
    writing->request.data = writing;
    this->pendingBytes += bytes.size();
    const uv_buf_t buffer
        = uv_buf_init(writing->bytes.data(), static_cast<unsigned>(writing->bytes.size()));
    const auto finish = [](uv_write_t *done, int status) {
        const std::unique_ptr<WriteRequest> request(static_cast<WriteRequest *>(done->data));
        if (const std::shared_ptr<TcpStream> stream = request->stream.lock()) {
            stream->onWritten(request->bytes.size(), status);
        }
    };
    const int started = uv_write(
        &writing->request, reinterpret_cast<uv_stream_t *>(this->handle), &buffer, 1, finish);
    if (started != 0) {
        const std::unique_ptr<WriteRequest> request(writing);
        this->pendingBytes -= bytes.size();
        this->resetSeen = true; // The read callback reports the end.
    }
}

size_t TcpStream::queuedBytes() const
{
    if (!this->isOpen()) {
        return 0;
    }
    const auto *stream = reinterpret_cast<const uv_stream_t *>(this->handle);
    return uv_stream_get_write_queue_size(stream) + this->failedBytes;
}

void TcpStream::onWritten(size_t bytes, int status)
{
    this->pendingBytes -= bytes;
    this->traffic->sentBytes += status == 0 ? bytes : 0;
    this->failedBytes += status == 0 ? 0 : bytes;
    this->resetSeen = this->resetSeen || status != 0;
    if (!this->isOpen()) {
        return;
    }
    if (status != 0) {
        this->reportEnd(StreamEnd::Broken);
        return;
    }
    if (this->pendingBytes > 0) {
        return;
    }
    const auto onDrained = this->events.onDrained;
    if (onDrained) {
        onDrained();
    }
}

// When a hang-up arrives together with the last bytes, libuv reports the end of the stream without
// another read, for a reset as for an orderly close. Only reading from the socket tells them apart,
// unless the error was taken before.
bool TcpStream::wasReset() const
{
    return this->resetSeen || this->peek() != 0;
}

bool TcpStream::hasUnreadBytes() const
{
    return this->peek() > 0;
}

bool TcpStream::isQuiet() const
{
    return this->isOpen() && this->peek() < 0 && errno == EAGAIN;
}

size_t TcpStream::unreadBytes() const
{
    return this->countBytes(FIONREAD);
}

size_t TcpStream::unacknowledgedBytes() const
{
    return this->countBytes(SIOCOUTQ);
}

size_t TcpStream::countBytes(unsigned long request) const
{
    uv_os_fd_t descriptor = -1;
    int count = 0;
    if (!this->isOpen()
        || uv_fileno(reinterpret_cast<const uv_handle_t *>(this->handle), &descriptor) != 0
        || ioctl(descriptor, request, &count) != 0) {
        return 0;
    }
    return static_cast<size_t>(std::max(count, 0));
}

ssize_t TcpStream::peek() const
{
    uv_os_fd_t descriptor = -1;
    if (!this->isOpen()
        || uv_fileno(reinterpret_cast<const uv_handle_t *>(this->handle), &descriptor) != 0) {
        return -1;
    }
    char next = 0;
    const ssize_t count = recv(descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    this->resetSeen = this->resetSeen || (count < 0 && errno != EAGAIN && errno != EINTR);
    return count;
}

void TcpStream::reportEnd(StreamEnd end)
{
    bool &reported = end == StreamEnd::Closed ? this->ended : this->broken;
    if (this->broken || std::exchange(reported, true)) {
        return;
    }
    this->stopReading();
    const auto onEnd = this->events.onEnd;
    if (onEnd) {
        onEnd(end);
    }
}

void TcpStream::close()
{
    if (!this->isOpen()) {
        return;
    }
    uv_tcp_t *closed = std::exchange(this->handle, nullptr);
    closed->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(closed),
             [](uv_handle_t *closedHandle) { delete reinterpret_cast<uv_tcp_t *>(closedHandle); });
    this->events = {};
}

void TcpStream::endWriting()
{
    if (!this->isOpen()) {
        return;
    }
    auto *shutdown = new uv_shutdown_t;
    const int started = uv_shutdown(shutdown,
                                    reinterpret_cast<uv_stream_t *>(this->handle),
                                    [](uv_shutdown_t *done, int /*status*/) { delete done; });
    if (started != 0) {
        delete shutdown;
        // The connection is broken; the read callback reports its end.
    }
}

} // namespace samphirebridge::net
