// A TCP relay on loopback that can fall silent, one way or both, delay what passes and reset
// connections.
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

class Relay
{
public:
    // Forwards 127.0.0.1:listenPort to 127.0.0.1:targetPort until it goes.
    Relay(uint16_t listenPort, uint16_t targetPort);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    // Holds back everything that arrives from now on, in both directions.
    void silence();

    // Holds back only what the connecting side sends; the answers pass.
    void silenceRequests();

    // Lets each piece pass this much later than it came.
    void delay(std::chrono::milliseconds time);

    // Lets each connection pass no more than so many bytes a second in each direction; 0: any
    // number.
    void limitRate(size_t bytesPerSecond);

    // Closes every connection now; new ones are taken.
    void reset();

    // Lets everything pass again, without delay or limit. Connections from the silent time are
    // closed, as a network that heals after its peers have timed out would see them.
    void heal();

private:
    using Clock = std::chrono::steady_clock;

    enum class Silence : uint8_t {
        None,
        Requests,
        Both,
    };

    struct Piece {
        Clock::time_point due;
        std::string bytes;
    };

    // One direction of a connection.
    struct Lane {
        std::deque<Piece> pieces; // Oldest first.
        Clock::time_point freeAt; // When the limited rate has let all of them through.
    };

    struct Link {
        int near = -1;
        int far = -1;
        Lane towardsFar;
        Lane towardsNear;
    };

    void run();
    // Waits a little, takes what arrived and passes on what is due.
    void serveLinks();
    void accept();
    // Takes what is there at one end. False: the connection is over.
    bool receive(int from, Lane &lane) const;
    // Passes on what is due. False: the connection is over.
    static bool pass(Lane &lane, int to, Clock::time_point now);
    static void close(Link &link);

    int listener = -1;
    uint16_t targetPort;
    std::vector<Link> links; // Of the thread alone.
    std::atomic<Silence> silent = Silence::None;
    std::atomic<std::chrono::milliseconds> delayTime{std::chrono::milliseconds(0)};
    std::atomic<size_t> rate = 0; // Bytes a second; 0: not limited.
    std::atomic<bool> closeAll = false;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace samphirebridge::testing
