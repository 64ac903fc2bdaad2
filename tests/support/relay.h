// A TCP relay on loopback for fault injection. It can block one direction or both, delay or
// throttle traffic, and close connections.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>
#include <vector>

namespace samphirebridge::testing
{

// Accepts and forwards connections in a thread of its own. The other member functions only change
// its mode and can be called from any thread.
class Relay
{
public:
    // Forwards 127.0.0.1:listenPort to 127.0.0.1:destinationPort until it is destroyed. Throws
    // std::runtime_error if it cannot listen.
    Relay(uint16_t listenPort, uint16_t destinationPort);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    // Stops reading in both directions and accepting connections; nothing is closed, so that both
    // ends only see missing answers.
    void blockAll();

    // Stops reading from the clients only; bytes from the server are still forwarded.
    void blockRequests();

    // Forwards each chunk this much later than it was received.
    void delay(std::chrono::milliseconds time);

    // Limits each direction of each connection to this rate; 0 removes the limit.
    void limitRate(size_t bytesPerSecond);

    // Closes all open connections, after blockAll() only once heal() is called; new ones are
    // accepted.
    void reset();

    // Removes every block, delay and rate limit, and closes all open connections, as happens after
    // a network partition that outlasted the timeouts of both ends.
    void heal();

private:
    using Clock = std::chrono::steady_clock;

    enum class Blocked : uint8_t {
        None,
        Requests,
        Both,
    };

    // Bytes received by one recv() call.
    struct Chunk {
        Clock::time_point dueAt; // When to send them.
        std::string bytes;
    };

    // The bytes in transit in one direction of a connection.
    struct Direction {
        std::deque<Chunk> chunks; // Oldest first.
        Clock::time_point rateLimitedUntil; // The time until which the rate limit is used up.
    };

    // A connection of a client and the relay's connection to the server for it.
    struct Connection {
        int client = -1; // Socket descriptors; -1: closed.
        int server = -1;
        Direction toServer;
        Direction toClient;
    };

    void run();
    // Polls the sockets once, forwards chunks that are due, closes finished connections and
    // accepts a new one.
    void serveConnections();
    void accept();
    // Reads available bytes from the socket and queues them. Returns false if the connection was
    // closed.
    bool receive(int from, Direction &direction) const;
    // Sends the queued chunks that are due by now. Returns false if the connection was closed.
    static bool sendDue(Direction &direction, int to, Clock::time_point now);
    static void close(Connection &connection);

    int listener = -1;
    uint16_t destinationPort;
    std::vector<Connection> connections; // Used by the relay's thread only.
    std::atomic<Blocked> blocked = Blocked::None;
    std::atomic<std::chrono::milliseconds> delayTime{std::chrono::milliseconds(0)};
    std::atomic<size_t> rate = 0; // Bytes a second; 0: not limited.
    std::atomic<bool> closeAll = false;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace samphirebridge::testing
