// One end of a TCP connection that a test writes and reads byte by byte.
#pragma once

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

    // Connects to a port of this machine.
    static Peer connect(uint16_t port);

    void write(std::string_view bytes) const;

    // Reads until the text was seen or the other side closed; returns everything read.
    [[nodiscard]] std::string readUntil(std::string_view text) const;

    // Waits until the other side closed; returns what it had sent before.
    [[nodiscard]] std::string readToEnd() const;

    // Closes; abruptly with a reset if so asked.
    void close(bool reset = false);

private:
    int descriptor;
};

// A listening socket on a free port of this machine.
class Listener
{
public:
    Listener();
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    [[nodiscard]] uint16_t port() const;
    [[nodiscard]] std::string url() const;
    [[nodiscard]] Peer accept() const;

private:
    int descriptor;
};

} // namespace samphirebridge::http
