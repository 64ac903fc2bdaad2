// One TCP connection, accepted or opened.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/net/eventloop.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct uv_stream_s;
struct uv_tcp_s;

namespace samphirebridge::net
{

// How a connection ended at the other side.
enum class StreamEnd : uint8_t {
    Closed, // The other side sends nothing more.
    Broken, // Reset, or given up after unacknowledged data.
};

// The functions run on the loop's thread. Each may drop the last reference to the stream.
struct StreamEvents {
    std::function<void(std::string_view)> onData;
    std::function<void(StreamEnd)> onEnd; // At most once; nothing follows.
    std::function<void()> onDrained; // All that was queued has gone out.
};

class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    // Receives the stream, or Unreachable.
    using OnConnected = std::function<void(absl::StatusOr<std::shared_ptr<TcpStream>>)>;

    // Opens a connection to an IPv4 address "host:port". The attempt ends early when the returned
    // stream is closed; the function is then never called.
    static std::shared_ptr<TcpStream>
    connect(EventLoop &loop, std::string_view address, OnConnected onConnected);

    // Takes the next connection of a listening handle. Unreachable if there is none any more.
    static absl::StatusOr<std::shared_ptr<TcpStream>> accept(EventLoop &loop,
                                                             uv_stream_s *listener);

    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;
    ~TcpStream();

    void setEvents(StreamEvents events);
    void startReading();
    void stopReading();

    // Sends bytes; what the kernel does not take at once is copied and queued.
    void write(std::string_view bytes);

    // Bytes that the kernel did not take yet.
    [[nodiscard]] size_t queuedBytes() const
    {
        return this->queued;
    }

    // Closes at once; queued bytes are lost and no event follows.
    void close();

    // Closes when everything queued has gone out.
    void closeWhenDrained();

    [[nodiscard]] bool isOpen() const
    {
        return this->handle != nullptr;
    }

private:
    explicit TcpStream(EventLoop &loop);

    void setOptions();
    [[nodiscard]] bool wasReset() const;
    void end(StreamEnd end);
    void onWritten(size_t bytes, int status);
    void queueWrite(std::string_view bytes);

    uv_tcp_s *handle;
    StreamEvents events;
    size_t queued = 0;
    bool closing = false;
    bool ended = false;
};

} // namespace samphirebridge::net
