// One TCP connection, accepted from a listener or opened to a peer.
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
#include <sys/types.h>

struct uv_stream_s;
struct uv_tcp_s;

namespace samphirebridge::net
{

// How a connection ended.
enum class StreamEnd : uint8_t {
    Closed, // The peer closed its sending side in order.
    Broken, // Reset, or given up since sent data stayed unacknowledged.
};

// Callbacks of a stream. They run on the loop's thread; each may drop the last reference to the
// stream.
struct StreamEvents {
    std::function<void(std::string_view)> onData;
    // At most once each; after Closed, only onDrained and Broken may follow while bytes are queued.
    std::function<void(StreamEnd)> onEnd;
    std::function<void()> onDrained; // The kernel accepted all queued bytes.
};

// Reads and writes a connection without blocking. Belongs to the loop's thread.
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    // Receives the stream, or Unreachable.
    using OnConnected = std::function<void(absl::StatusOr<std::shared_ptr<TcpStream>>)>;

    // Opens a connection to an IPv4 address "host:port". Closing or dropping the returned stream
    // cancels the attempt; the callback is then never called. An invalid address is reported before
    // this returns.
    static std::shared_ptr<TcpStream>
    connect(EventLoop &loop, std::string_view address, OnConnected onConnected);

    // Accepts the next connection of a listening handle. Unreachable if there is none.
    static absl::StatusOr<std::shared_ptr<TcpStream>> accept(EventLoop &loop,
                                                             uv_stream_s *listener);

    // Takes over the descriptor of an established connection. Unreachable, with the descriptor
    // closed, if it can't be watched.
    static absl::StatusOr<std::shared_ptr<TcpStream>> adopt(EventLoop &loop, int descriptor);

    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;
    ~TcpStream();

    void setEvents(StreamEvents events);
    // Starts or pauses reading; no data is delivered before the first start.
    void startReading();
    void stopReading();

    // Sends bytes; those that the kernel does not accept at once are copied and queued.
    void write(std::string_view bytes);

    // Returns the queued bytes that the kernel has not accepted, including those of a write that
    // failed.
    [[nodiscard]] size_t queuedBytes() const;

    // Tells whether the peer sent bytes that were not read yet. Closing the stream would reset the
    // connection.
    [[nodiscard]] bool hasUnreadBytes() const;
    // Tells whether the stream is open and neither bytes nor its end have arrived unread.
    [[nodiscard]] bool isQuiet() const;

    // Returns how many bytes the peer sent that were not read yet.
    [[nodiscard]] size_t unreadBytes() const;

    // Returns how many bytes the kernel holds because the peer's has not acknowledged them. The end
    // of the sending side counts as one.
    [[nodiscard]] size_t unacknowledgedBytes() const;

    // Returns the memory that queued bytes take: that of a write is kept until its last byte was
    // accepted.
    [[nodiscard]] size_t heldBytes() const
    {
        return this->pendingBytes;
    }

    // Closes at once; queued bytes are lost and no event follows.
    void close();

    // Closes the sending side once the kernel has accepted all queued bytes. Reading goes on.
    // Nothing may be written after that.
    void endWriting();

    [[nodiscard]] bool isOpen() const
    {
        return this->handle != nullptr;
    }

private:
    explicit TcpStream(EventLoop &loop);

    void setOptions(unsigned acknowledgeTimeoutMs);
    // Returns what reading one byte, without removing it, would return: as recv() does, -1 on any
    // error.
    [[nodiscard]] ssize_t peek() const;
    // Returns a count of bytes that the kernel knows of the socket, named by its ioctl; 0 on any
    // error.
    [[nodiscard]] size_t countBytes(unsigned long request) const;
    [[nodiscard]] bool wasReset() const;
    void reportEnd(StreamEnd end);
    void onWritten(size_t bytes, int status);
    void queueWrite(std::string_view bytes);

    Traffic *traffic; // Of the loop.
    uv_tcp_s *handle;
    StreamEvents events;
    size_t pendingBytes = 0; // Of writes that have not ended.
    size_t failedBytes = 0; // Of writes that did not succeed.
    bool ended = false; // No more bytes come.
    bool broken = false;
    // A write or a look at the socket has failed. The kernel reports a reset once only, after which
    // the end looks orderly to a read.
    mutable bool resetSeen = false;
};

} // namespace samphirebridge::net
