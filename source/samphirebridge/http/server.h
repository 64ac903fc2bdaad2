// An HTTP/1.1 server over CivetWeb, in which each connection is served by one thread.
#pragma once

#include "samphirebridge/core/time.h"
#include "samphirebridge/http/request.h"
#include "samphirebridge/http/responsewriter.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace samphirebridge::http
{

// The address to listen on, and limits for connections and requests.
struct ServerSettings {
    std::string address = "127.0.0.1";
    uint16_t port = 0; // 0: any free port, see Server::port.
    uint32_t threads = 64; // Requests and streams that can be served at once.
    uint32_t waitingConnections = 64; // Accepted connections that wait for a thread.
    uint64_t maximumBodyBytes = uint64_t{4} << 20U; // More is answered with 413.
    uint32_t maximumHeaderBytes = 16384; // More, or 64 fields or more, is answered with an error.
    // CivetWeb has a single timeout for reading and writing: the longer of the two applies.
    core::Duration readTimeout = std::chrono::seconds(15); // Bounds a slow sender.
    core::Duration writeTimeout = std::chrono::seconds(15); // Bounds a slow reader.
};

// Serves one request; called from many threads concurrently. If it throws or returns without a
// response, the caller gets 500.
using Handler = std::function<void(const Request &, ResponseWriter &)>;

// A running server.
class Server
{
public:
    // Starts to listen and to serve requests. Errors: AddressInUse, InvalidSettings.
    static absl::StatusOr<std::unique_ptr<Server>> start(const ServerSettings &settings,
                                                         Handler handler);

    // Stops as `stop` does.
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    // Waits for the running handlers, without a timeout, and then closes. Requests that arrive
    // meanwhile are answered with 503 and code `stopping`. The owner must first cancel handlers
    // that are to end early.
    void stop();

    // Returns the port that the server listens on.
    [[nodiscard]] uint16_t port() const;

    // Returns the number of running handlers.
    [[nodiscard]] uint32_t running() const;

private:
    struct Implementation;

    explicit Server(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace samphirebridge::http
