// A TCP relay on loopback that can fall silent: connections stay open, and nothing passes.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
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

    // Lets everything pass again. Connections from the silent time are closed, as a network that
    // heals after its peers have timed out would see them.
    void heal();

private:
    struct Link {
        int near = -1;
        int far = -1;
    };

    void run();
    void accept();
    // Moves what is there from one side to the other. False: the link is over.
    static bool forward(int from, int to);
    static void close(Link &link);

    int listener = -1;
    uint16_t targetPort;
    std::vector<Link> links; // Of the thread alone.
    std::atomic<bool> silent = false;
    std::atomic<bool> closeAll = false;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace samphirebridge::testing
