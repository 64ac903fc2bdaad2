// TCP sockets for tests that write and read the bytes of a connection themselves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace samphirebridge::http
{

// A connected socket.
class Peer
{
public:
    explicit Peer(int descriptor);
    ~Peer();
    Peer(Peer &&other) noexcept;
    Peer &operator=(Peer &&) = delete;

    // Connects to a port on the loopback interface.
    static Peer connect(uint16_t port);

    // Sends all bytes; returns early if the connection breaks.
    void write(std::string_view bytes) const;

    // Reads until the text was received or the other side closed; returns everything read.
    [[nodiscard]] std::string readUntil(std::string_view text) const;

    // Reads that many bytes, or to the end if the other side closes before; returns them.
    [[nodiscard]] std::string readBytes(size_t bytes) const;

    // Reads until the other side closed; returns everything read.
    [[nodiscard]] std::string readToEnd() const;

    // Closes the sending side.
    void endWriting() const;

    // Tells whether a call of write() or of a reading function met a reset.
    [[nodiscard]] bool wasReset() const;

    // Closes the connection, by a reset if `reset`.
    void close(bool reset = false);

private:
    int descriptor;
    mutable bool broken = false;
};

// Returns the size of the body in what was received of one response.
size_t bodySize(std::string_view response);

// A listening socket on a free port of the loopback interface.
class Listener
{
public:
    Listener();
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    [[nodiscard]] uint16_t port() const;
    [[nodiscard]] std::string url() const;
    // Returns 127.0.0.1:PORT.
    [[nodiscard]] std::string address() const;
    // Waits for a connection and accepts it.
    [[nodiscard]] Peer accept() const;

private:
    int descriptor;
};

} // namespace samphirebridge::http
