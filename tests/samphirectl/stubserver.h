// An HTTP server on loopback that gives every request the same answer and records the requests.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

class StubServer
{
public:
    // Answers every request with the given bytes. If they are empty, it closes the connection
    // without an answer.
    explicit StubServer(std::string answer);
    ~StubServer();

    StubServer(const StubServer &) = delete;
    StubServer &operator=(const StubServer &) = delete;

    [[nodiscard]] std::string endpoint() const;

    // Returns the requests so far, each with its headers and its body.
    [[nodiscard]] std::vector<std::string> requests();

private:
    void serve();

    std::string answer;
    int listener = -1;
    uint16_t port = 0;
    std::mutex mutex;
    std::vector<std::string> received;
    std::thread thread;
};

// Returns an HTTP answer with the given status and JSON body, and manifest version 7.
std::string jsonAnswer(int status, std::string_view body);

// Returns an endpoint on loopback that refuses connections.
std::string closedEndpoint();
